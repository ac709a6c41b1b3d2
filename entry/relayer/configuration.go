package relayer

import (
	"context"
	"time"

	"golang.org/x/sys/unix"

	"github.com/godwitrelay/godwitrelay/entry/confirmer"
	"github.com/godwitrelay/godwitrelay/entry/router"
)

// confirmTimeout bounds how long a request waits for the configuration to be
// confirmed.
const confirmTimeout = 500 * time.Millisecond

// Configuration returns the active configuration, or nil before the first one
// has been loaded.
func (r *Relayer) Configuration() *router.Configuration { return r.configuration.Load() }

// ConfirmedConfiguration returns the active configuration for a request, and
// whether it contains every change that the request must see. After a pause of
// the process it first waits for a read. If it is not confirmed, for example
// because the store is down, queues that it lacks may exist.
func (r *Relayer) ConfirmedConfiguration(ctx context.Context) (*router.Configuration, bool) {
	if r.configuration.Load() == nil {
		return nil, false
	}
	decision := r.confirmations.Decide(timeSinceBoot())
	if decision == confirmer.Ask {
		ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
		defer cancel()
		select {
		case <-r.configurationReads.DoChan("", r.confirm):
		case <-ctx.Done():
		}
		decision = r.confirmations.Decide(timeSinceBoot())
	}
	return r.configuration.Load(), decision == confirmer.Confirmed
}

// confirm reads the configuration on behalf of all requests that wait for it. The
// first read may fail because its connection ended while the process was paused.
func (r *Relayer) confirm() (any, error) {
	for failures := range 2 {
		if r.readConfiguration(context.Background(), readTimeout(failures)) {
			break
		}
	}
	return nil, nil
}

// catchUp fetches the configuration from another entry if that one has a newer
// version, and reports whether the active version is at least the given one.
// Workers see the effect of a version through their owner, so an owner must not
// start a job of a version that it would then deny to its own callers.
func (r *Relayer) catchUp(address string, version int64) bool {
	has := func() bool {
		cfg := r.configuration.Load()
		return version <= 0 || (cfg != nil && cfg.Version >= version)
	}
	if has() {
		return true
	}
	_, _, _ = r.configurationReads.Do(address, func() (any, error) {
		var cfg router.Configuration
		if !has() && r.fetch(address, "/peer/v1/configuration", &cfg) {
			r.applyConfiguration(cfg, address)
		}
		return nil, nil
	})
	return has()
}

// confirmAs records what another entry reported about its configuration in the
// reply to a heartbeat sent at the given time since boot.
func (r *Relayer) confirmAs(sentAt time.Duration, b heartbeat) {
	cfg := r.configuration.Load()
	if b.ConfigAgeMs != nil && cfg != nil && cfg.Version >= b.ConfigVersion {
		r.confirmations.Confirm(sentAt - time.Duration(*b.ConfigAgeMs)*time.Millisecond)
	}
}

// timeSinceBoot returns the time since the machine was started, including the
// time for which it was suspended.
func timeSinceBoot() time.Duration { return readClock(unix.CLOCK_BOOTTIME) }

func readClock(id int32) time.Duration {
	var t unix.Timespec
	if unix.ClockGettime(id, &t) != nil {
		return 0
	}
	return time.Duration(t.Nano())
}
