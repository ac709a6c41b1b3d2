// Package router finds the queue for a request in the active configuration.
package router

import (
	"slices"
	"strings"
)

// Configuration is the configuration that operators have activated. Version
// numbers only increase.
type Configuration struct {
	Version      int64   `json:"version"`
	Queues       []Queue `json:"queues"`
	MaxBodyBytes int64   `json:"maxBodyBytes"`
	// MaxHeaderBytes and HeaderTimeoutMs limit the head of a request, and
	// IdleTimeoutMs the time between two requests. 0 means the default.
	MaxHeaderBytes  int64 `json:"maxHeaderBytes,omitempty"`
	HeaderTimeoutMs int64 `json:"headerTimeoutMs,omitempty"`
	IdleTimeoutMs   int64 `json:"idleTimeoutMs,omitempty"`
}

// Queue receives jobs of one kind. A request belongs to the queue of its host
// with the longest matching path prefix.
type Queue struct {
	Name        string `json:"name"`
	Host        string `json:"host"`
	Prefix      string `json:"prefix"`
	Service     string `json:"service"`
	Priority    int    `json:"priority"`
	MaxAttempts int    `json:"maxAttempts"`
	// Stretch and TargetLatencyMs define the latency objective of a job: Stretch
	// times the run time of its longest task, plus TargetLatencyMs.
	Stretch         float64 `json:"stretch"`
	TargetLatencyMs int64   `json:"targetLatencyMs"`
	// GuardedCapacity is set if the workers of the service refuse starts that
	// exceed their capacity.
	GuardedCapacity bool `json:"guardedCapacity,omitempty"`
	// TimeoutMs is the maximum duration of a request.
	TimeoutMs int64 `json:"timeoutMs"`
}

// Rank returns the number of priorities among the queues that are before the priority p. It
// counts up to three.
func (c *Configuration) Rank(p int) int {
	var before [3]int
	n := 0
	for i := range c.Queues {
		if q := c.Queues[i].Priority; q < p && !slices.Contains(before[:n], q) {
			before[n] = q
			if n++; n == len(before) {
				break
			}
		}
	}
	return n
}

// Match returns the queue of a request and the remainder of its path after the
// prefix, or nil if there is none. The host may include a port.
func (c *Configuration) Match(host, path string) (*Queue, string) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	var best *Queue
	for i := range c.Queues {
		q := &c.Queues[i]
		if strings.EqualFold(q.Host, host) && strings.HasPrefix(path, q.Prefix) && (best == nil || len(q.Prefix) > len(best.Prefix)) {
			best = q
		}
	}
	if best == nil {
		return nil, ""
	}
	return best, path[len(best.Prefix):]
}
