package relayer

import "net/http"

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
