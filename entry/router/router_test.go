package router_test

import (
	"testing"

	"github.com/godwitrelay/godwitrelay/entry/router"
)

// TestRank guards against ranks by the number of a priority, which may be any.
func TestRank(t *testing.T) {
	cfg := router.Configuration{Queues: []router.Queue{{Priority: 5}, {Priority: -3}, {Priority: 5}, {Priority: 90}, {Priority: 91}, {Priority: 92}}}
	for priority, want := range map[int]int{-3: 0, 5: 1, 90: 2, 91: 3, 92: 3} {
		if got := cfg.Rank(priority); got != want {
			t.Errorf("priority %d has rank %d, want %d", priority, got, want)
		}
	}
}

// TestMatch guards against routing a request to a queue of another host or with
// a shorter prefix.
func TestMatch(t *testing.T) {
	cfg := router.Configuration{Queues: []router.Queue{
		{Name: "all", Host: "a.example", Prefix: "/"},
		{Name: "orders", Host: "a.example", Prefix: "/orders/"},
		{Name: "urgent", Host: "a.example", Prefix: "/orders/urgent/"},
		{Name: "other", Host: "b.example", Prefix: "/orders/"},
	}}
	for _, c := range []struct{ host, path, queue, rest string }{
		{"a.example", "/orders/1", "orders", "1"},
		{"a.example:8161", "/orders/1", "orders", "1"},
		{"A.Example", "/orders/urgent/1", "urgent", "1"},
		{"a.example", "/orders/", "orders", ""},
		{"a.example", "/orders", "all", "orders"},
		{"b.example", "/orders/1", "other", "1"},
		{"b.example", "/1", "", ""},
		{"c.example", "/orders/1", "", ""},
		{"", "/orders/1", "", ""},
	} {
		q, rest := cfg.Match(c.host, c.path)
		name := ""
		if q != nil {
			name = q.Name
		}
		if name != c.queue || rest != c.rest {
			t.Errorf("%s%s: queue %q, rest %q, want %q, %q", c.host, c.path, name, rest, c.queue, c.rest)
		}
	}
}
