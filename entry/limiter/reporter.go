package limiter

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// logInterval is the time for which the log lines of a kind are counted.
const logInterval = 5 * time.Second

// Reporter decides which events are logged, so that clients that are refused without
// end do not fill the log. The zero value is ready to use.
type Reporter struct {
	mu   sync.Mutex
	last map[string]*reported
}

// counter counts events by group and reason.
type counter interface {
	Count(group, reason string)
}

// ForServer returns a function for [Server.Report] that counts every event of a server, and
// logs a line in 5 s for each reason.
func (r *Reporter) ForServer(name string, metrics counter, log logrus.FieldLogger) func(now time.Time, reason string) {
	return func(now time.Time, reason string) {
		metrics.Count("limit", name+"."+reason)
		if n := r.Report(now, name+"."+reason, 1); n > 0 {
			log.WithFields(logrus.Fields{"server": name, "reason": reason, "count": n}).Warn("limiter: limit for clients reached")
		}
	}
}

// reported counts the events of a kind: the lines since the begin of an interval, and
// the events since the last line.
type reported struct {
	began  time.Time
	lines  int
	events int64
}

// Report counts an event. It returns how many there were of this kind since the last
// log line, or 0 if maxLines have been written within 5 s. The set of kinds must be
// bounded.
func (r *Reporter) Report(now time.Time, kind string, maxLines int) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.last == nil {
		r.last = map[string]*reported{}
	}
	l := r.last[kind]
	if l == nil {
		l = &reported{}
		r.last[kind] = l
	}
	l.events++
	if now.Sub(l.began) >= logInterval {
		l.began, l.lines = now, 0
	}
	if l.lines >= maxLines {
		return 0
	}
	n := l.events
	l.lines, l.events = l.lines+1, 0
	return n
}
