package reporter

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

const logPrefix = "reporter: "

// lastCall bounds the calls that a stopping target still makes.
const lastCall = time.Second

// Target is what the reporter needs of a target.
type Target interface {
	// Row returns the row for the VM list, and whether the lease is renewed.
	Row() (vm messenger.VM, renew bool)
	// Granted records a lease asked for at the time sent.
	Granted(sent time.Time, ttl time.Duration)
	// CloseReport turns the usage so far into a report.
	CloseReport()
	// NextReport returns the oldest report that is not confirmed.
	NextReport() (messenger.UsageReport, bool)
	// ConfirmReport removes a report that the platform has taken.
	ConfirmReport(id string)
}

// Reporter reports one target to the platform at the address Platform.
type Reporter struct {
	Client   messenger.Client
	Platform string
	Target   Target
	// LeaseTTL is the lease asked for each LeaseEvery; 0 for no lease.
	LeaseTTL    time.Duration
	LeaseEvery  time.Duration
	ReportEvery time.Duration
	// Changed asks for a renewal at once, because the row has changed.
	Changed <-chan struct{}
}

// Run renews the lease and sends reports until ctx ends.
func (r *Reporter) Run(ctx context.Context) {
	go r.reportLoop(ctx)
	if r.LeaseTTL <= 0 {
		return
	}
	ticker := time.NewTicker(r.LeaseEvery)
	defer ticker.Stop()
	for {
		if vm, renew := r.Target.Row(); renew {
			r.renew(ctx, vm, r.LeaseTTL)
		}
		select {
		case <-ticker.C:
		case <-r.Changed:
		case <-ctx.Done():
			return
		}
	}
}

// Finish sends the last reports and gives the lease back. Call it once Run has
// ended and no task is left.
func (r *Reporter) Finish(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, lastCall)
	defer cancel()
	r.report(ctx)
	if r.LeaseTTL > 0 {
		vm, _ := r.Target.Row()
		r.renew(ctx, vm, 0)
	}
}

func (r *Reporter) reportLoop(ctx context.Context) {
	ticker := time.NewTicker(r.ReportEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			r.report(ctx)
		case <-ctx.Done():
			return
		}
	}
}

func (r *Reporter) renew(ctx context.Context, vm messenger.VM, ttl time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, r.LeaseEvery)
	defer cancel()
	sent := time.Now()
	var reply messenger.LeaseReply
	err := r.call(ctx, "/v1/leases", messenger.LeaseRequest{VM: vm, TTLMs: ttl.Milliseconds()}, &reply)
	if err != nil {
		logrus.Debugf("%slease of %s: %v", logPrefix, vm.Address, err)
		return
	}
	if ttl > 0 {
		r.Target.Granted(sent, time.Duration(reply.TTLMs)*time.Millisecond)
	}
}

// report closes the open batch and sends waiting reports until one fails; that one is sent again later
// with the same id.
func (r *Reporter) report(ctx context.Context) {
	r.Target.CloseReport()
	for {
		next, ok := r.Target.NextReport()
		if !ok {
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, r.ReportEvery)
		err := r.call(callCtx, "/v1/usage", next, nil)
		cancel()
		if err != nil {
			logrus.Debugf("%susage report %s: %v", logPrefix, next.ID, err)
			return
		}
		r.Target.ConfirmReport(next.ID)
	}
}

func (r *Reporter) call(ctx context.Context, path string, in, out any) error {
	status, err := r.Client.Call(ctx, http.MethodPost, "http://"+r.Platform+path, in, out)
	if err != nil {
		return err
	}
	if status/100 != 2 {
		return errors.Newf("the platform answered status %d", status)
	}
	return nil
}
