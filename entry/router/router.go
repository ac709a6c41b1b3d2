// Package router finds the queue of a request in the configuration in force.
package router

import (
	"strings"
)

// Configuration is what operators have put into force. Versions only rise.
type Configuration struct {
	Version      int64   `json:"version"`
	Queues       []Queue `json:"queues"`
	MaxBodyBytes int64   `json:"maxBodyBytes"`
}

// Queue takes jobs of one kind. Requests belong to the queue of their host
// whose prefix is the longest that their path begins with.
type Queue struct {
	Name        string `json:"name"`
	Host        string `json:"host"`
	Prefix      string `json:"prefix"`
	Service     string `json:"service"`
	Priority    int    `json:"priority"`
	MaxAttempts int    `json:"maxAttempts"`
	// Stretch and TargetLatencyMs give the latency objective of a job.
	Stretch         float64 `json:"stretch"`
	TargetLatencyMs int64   `json:"targetLatencyMs"`
	// TimeoutMs is the most time that a request may take.
	TimeoutMs int64 `json:"timeoutMs"`
}

// Match returns the queue of a request and the rest of its path, or nil. The
// host may carry a port.
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
