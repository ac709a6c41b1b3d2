package listener

import (
	"net/http"
	"path"
)

// withCanonicalPath refuses paths that are not in canonical form, which the mux would
// redirect.
func (l *Listener) withCanonicalPath(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "" || r.URL.Path[0] != '/' || path.Clean(r.URL.Path) != r.URL.Path {
			l.notFound(w, r)
			return
		}
		next.ServeHTTP(w, r)
	})
}
