// Package forwarder carries the connections between the processes of a
// scenario and breaks them on demand, without privileges: every announced
// address is a forwarder's, and each connection is known by the process that
// opened it.
package forwarder

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// flow is data on its way from one process to another, whichever of them
// opened the connection.
type flow struct{ from, to string }

// When says at which moment a connection breaks.
type When int

// The moments. After the request: the server has read it all. At the reply:
// the server has sent the first part of its reply.
const (
	AfterRequest When = iota
	AtReply
)

// loss breaks the connection of the next count requests whose path begins with
// path.
type loss struct {
	path  string
	when  When
	count int
}

// Network holds the forwarders and the faults between processes. Make one with
// [New] and end it with [Network.Close].
type Network struct {
	source func(net.Conn) string

	mu        sync.Mutex
	changed   *sync.Cond
	held      map[flow]bool
	delays    map[flow]time.Duration
	losses    map[flow][]*loss
	lost      int
	listeners map[string][]net.Listener
	open      map[net.Conn]bool
	closed    bool
}

// New returns a network without faults. source names the process that opened
// an accepted connection, "" if it is not known. A
// connection of an unknown process is closed, as no cut would hold it.
func New(source func(net.Conn) string) *Network {
	n := &Network{
		source: source, held: map[flow]bool{}, delays: map[flow]time.Duration{},
		losses: map[flow][]*loss{}, open: map[net.Conn]bool{}, listeners: map[string][]net.Listener{},
	}
	n.changed = sync.NewCond(&n.mu)
	return n
}

// Forward carries connections to the announced address on to the process at
// address bound, until [Network.Refuse] or Close.
func (n *Network) Forward(to, announced, bound string) error {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", announced)
	if err != nil {
		return errors.Wrapf(err, "listening for %s", to)
	}
	n.mu.Lock()
	n.listeners[to] = append(n.listeners[to], listener)
	n.mu.Unlock()
	go n.accept(listener, to, bound)
	return nil
}

// Refuse ends the forwarders of a process that is about to end, so that its
// addresses refuse connections as those of a dead process do.
func (n *Network) Refuse(to string) { n.change(func() { n.refuse(to) }) }

func (n *Network) refuse(to string) {
	for _, l := range n.listeners[to] {
		_ = l.Close()
	}
	delete(n.listeners, to)
}

// Cut holds all data between a and b. What is on its way arrives after
// [Network.Heal], as on a TCP connection over a healed partition.
func (n *Network) Cut(a, b string) {
	n.change(func() { n.held[flow{a, b}], n.held[flow{b, a}] = true, true })
}

// CutOneWay holds the data from one process to another, not that in the other
// direction.
func (n *Network) CutOneWay(from, to string) {
	n.change(func() { n.held[flow{from, to}] = true })
}

// Heal ends all cuts, delays and losses.
func (n *Network) Heal() {
	n.change(func() { clear(n.held); clear(n.delays); clear(n.losses) })
}

// Delay holds back each piece of data between a and b for d.
func (n *Network) Delay(a, b string, d time.Duration) {
	n.change(func() { n.delays[flow{a, b}], n.delays[flow{b, a}] = d, d })
}

// Lose breaks the connections of the next count requests of one process to
// another whose path begins with path. The server has the request; the client
// gets no reply.
func (n *Network) Lose(from, to, path string, when When, count int) {
	n.change(func() {
		f := flow{from, to}
		n.losses[f] = append(n.losses[f], &loss{path: path, when: when, count: count})
	})
}

// Lost returns the number of connections that [Network.Lose] has broken.
func (n *Network) Lost() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.lost
}

// Faulty reports whether data between a and b is held, or connections from a to
// b are or were to break.
func (n *Network) Faulty(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.held[flow{a, b}] || n.held[flow{b, a}] || len(n.losses[flow{a, b}]) > 0
}

// Close ends all forwarders and connections.
func (n *Network) Close() {
	n.change(func() {
		n.closed = true
		for to := range n.listeners {
			n.refuse(to)
		}
		for c := range n.open {
			_ = c.Close()
		}
	})
}

func (n *Network) change(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
	n.changed.Broadcast()
}

// pass waits until data may flow, and returns how long it takes on its way.
// It returns false if the network is closed.
func (n *Network) pass(f flow) (time.Duration, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for n.held[f] && !n.closed {
		n.changed.Wait()
	}
	return n.delays[f], !n.closed
}

// take reports whether a request of the flow breaks at the moment, and counts
// it.
func (n *Network) take(f flow, path string, when When) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.losses[f] {
		if l.count > 0 && l.when == when && len(path) >= len(l.path) && path[:len(l.path)] == l.path {
			l.count--
			n.lost++
			return true
		}
	}
	return false
}

func (n *Network) track(c net.Conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return false
	}
	n.open[c] = true
	return true
}

func (n *Network) drop(c net.Conn) {
	_ = c.Close()
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.open, c)
}
