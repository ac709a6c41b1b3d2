package driver

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

// pathSamples is the number of requests whose fastest counts as the network
// path. The minimum settles after a few dozen.
const pathSamples = 50

// roundTrip returns the shortest time in which the process at address answered
// GET path.
func roundTrip(ctx context.Context, c messenger.Client, address, path string) (time.Duration, error) {
	shortest := time.Hour
	for range pathSamples {
		begin := time.Now()
		if _, err := c.Call(ctx, http.MethodGet, "http://"+address+path, nil, nil); err != nil {
			return 0, errors.Wrapf(err, "measuring the network path to %s", address)
		}
		shortest = min(shortest, time.Since(begin))
	}
	return shortest, nil
}

// networkPath returns the minimum network path of a job in the given mode: a
// round trip to a target, and in mode entries also one to an entry. Processes
// that can't be reached are skipped, because a run may begin with dead ones.
// Without any target address the round trip to a target is left out, which
// makes the ideal shorter and the figures worse.
func networkPath(ctx context.Context, c messenger.Client, mode string, s *Settings) time.Duration {
	path := shortest(ctx, c, s.Targets, "/v1/status")
	if mode == Entries {
		path += shortest(ctx, c, s.Entries, "/readyz")
	}
	return path
}

func shortest(ctx context.Context, c messenger.Client, addresses []string, path string) time.Duration {
	// A few processes suffice; all of them run on one machine or network.
	const processes = 4
	best := time.Duration(0)
	for _, address := range addresses[:min(len(addresses), processes)] {
		d, err := roundTrip(ctx, c, address, path)
		if err != nil {
			log.Warnf("%v", err)
			continue
		}
		if best == 0 || d < best {
			best = d
		}
	}
	return best
}
