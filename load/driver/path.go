package driver

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

// roundTripSamples is the number of requests over which the minimum round trip
// is taken. The minimum is stable after a few dozen requests.
const roundTripSamples = 50

// minRoundTrip returns the shortest time in which the process at address
// answered GET path.
func minRoundTrip(ctx context.Context, c messenger.Client, address, path string) (time.Duration, error) {
	shortest := time.Hour
	for range roundTripSamples {
		begin := time.Now()
		if _, err := c.Call(ctx, http.MethodGet, "http://"+address+path, nil, nil); err != nil {
			return 0, errors.Wrapf(err, "measuring the round trip to %s", address)
		}
		shortest = min(shortest, time.Since(begin))
	}
	return shortest, nil
}

// networkRoundTrip returns the minimum network time of a job in the given mode:
// a round trip to a target and, in mode entries, one to an entry. Unreachable
// processes are skipped, because a run may start with some of them down. Without
// target addresses the round trip to a target is omitted, which lowers the ideal
// response time (see package meter) and so raises the ratios to it.
func networkRoundTrip(ctx context.Context, c messenger.Client, mode string, s *Settings) time.Duration {
	roundTrip := minRoundTripToAny(ctx, c, s.Targets, "/v1/status")
	if mode == Entries {
		roundTrip += minRoundTripToAny(ctx, c, s.Entries, "/readyz")
	}
	return roundTrip
}

func minRoundTripToAny(ctx context.Context, c messenger.Client, addresses []string, path string) time.Duration {
	// A few processes suffice because all run on the same machine or network.
	const processes = 4
	best := time.Duration(0)
	for _, address := range addresses[:min(len(addresses), processes)] {
		d, err := minRoundTrip(ctx, c, address, path)
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
