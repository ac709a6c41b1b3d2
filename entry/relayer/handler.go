package relayer

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/godwitrelay/godwitrelay/entry/placer"
)

// ReadyHandler serves readiness probes of the load balancer at path.
func (r *Relayer) ReadyHandler(path string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+path, func(w http.ResponseWriter, _ *http.Request) {
		if !r.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// MetricsHandler serves the Prometheus metrics.
func (r *Relayer) MetricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", r.Metrics.Handler())
	return mux
}

// Cancel cancels a job at the request of its caller and reports whether it was
// in progress. It also returns false if no owner is known, if forwarding the
// request to the owner fails, or if this process is ending.
func (r *Relayer) Cancel(ctx context.Context, jobID string) bool {
	o := r.ownership.Load()
	if o.address == r.Self.Address {
		return r.cancelLocally(jobID)
	}
	if o.address == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var known bool
	status, err := r.Peers.Call(ctx, http.MethodDelete, "http://"+o.address+"/peer/v1/jobs/"+jobID, nil, &known)
	if err != nil || status != http.StatusOK {
		if err == nil {
			err = errors.Newf("the owner replied with status %d", status)
		}
		r.Log.WithField("job", jobID).WithField("owner", o.address).WithField("status", status).WithError(err).Warn("relayer: forwarding a cancellation failed")
		return false
	}
	return known
}

func (r *Relayer) cancelLocally(jobID string) bool {
	known := make(chan bool, 1)
	select {
	case r.submissions <- cancelRequest{jobID, known}:
	case <-r.done:
		return false
	}
	select {
	case v := <-known:
		return v
	case <-r.done:
		return false
	}
}

// cancelRequest asks the event loop to cancel a job and to report whether it
// was known.
type cancelRequest struct {
	jobID string
	known chan bool
}

func (r *Relayer) cancelMsg(c cancelRequest) placer.Cancel {
	c.known <- r.placer.HasJob(c.jobID)
	return placer.Cancel{JobID: c.jobID}
}
