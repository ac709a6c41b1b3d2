// Package forwarder proxies the TCP connections between the processes of a
// scenario and injects network faults. It needs no privileges: it listens on
// every announced address and identifies each connection by the process that
// opened it.
package forwarder

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// flow is the traffic in one direction between two processes, regardless of
// which of them opened the connection.
type flow struct{ from, to string }

// DropPoint is the point in a request at which its connection is closed.
type DropPoint int

const (
	// AfterRequest closes the connection once the whole request has been
	// forwarded to the server.
	AfterRequest DropPoint = iota
	// AtReply closes the connection once the server has sent the first part of
	// its reply.
	AtReply
)

// dropRule closes the connections of further requests whose path starts with
// pathPrefix. remaining is the number of requests that it still applies to.
type dropRule struct {
	pathPrefix string
	point      DropPoint
	remaining  int
}

// Network holds the forwarders and the injected faults between processes. Create
// one with [New] and close it with [Network.Close].
type Network struct {
	clientName func(net.Conn) string

	mu      sync.Mutex
	changed *sync.Cond
	blocked map[flow]bool
	delays  map[flow]time.Duration
	// dropRules are keyed by the client and the server of the request.
	dropRules map[flow][]*dropRule
	dropped   int
	listeners map[string][]net.Listener
	conns     map[net.Conn]bool
	// relayed are the open connections, and silenced those that transfer nothing more.
	relayed, silenced map[*connection]bool
	closed            bool
}

// New returns a network without faults. clientName returns the process that
// opened an accepted connection, or "" if it is unknown. Connections of unknown
// processes are closed, since no partition would apply to them.
func New(clientName func(net.Conn) string) *Network {
	n := &Network{
		clientName: clientName, blocked: map[flow]bool{}, delays: map[flow]time.Duration{},
		dropRules: map[flow][]*dropRule{}, conns: map[net.Conn]bool{}, listeners: map[string][]net.Listener{},
		relayed: map[*connection]bool{}, silenced: map[*connection]bool{},
	}
	n.changed = sync.NewCond(&n.mu)
	return n
}

// Forward listens on an announced address of a process and proxies the
// connections to its backend address, until [Network.StopForwarding] or
// [Network.Close].
func (n *Network) Forward(process, announced, backend string) error {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", announced)
	if err != nil {
		return errors.Wrapf(err, "listening for %s", process)
	}
	n.mu.Lock()
	n.listeners[process] = append(n.listeners[process], listener)
	n.mu.Unlock()
	go n.accept(listener, process, backend)
	return nil
}

// StopForwarding closes the listeners of a process that is about to exit or has
// exited, so that its announced addresses refuse connections. Open connections
// are left alone.
func (n *Network) StopForwarding(to string) { n.update(func() { n.closeListeners(to) }) }

func (n *Network) closeListeners(to string) {
	for _, l := range n.listeners[to] {
		_ = l.Close()
	}
	delete(n.listeners, to)
}

// Partition blocks all data between a and b. Data in transit is delivered after
// [Network.Heal], as on a TCP connection that survives a network partition.
func (n *Network) Partition(a, b string) {
	n.update(func() { n.blocked[flow{a, b}], n.blocked[flow{b, a}] = true, true })
}

// PartitionOneWay blocks the data from one process to another, but not in the
// opposite direction.
func (n *Network) PartitionOneWay(from, to string) {
	n.update(func() { n.blocked[flow{from, to}] = true })
}

// Silence makes the open connections between a and b transfer nothing more, not even
// their end, as if the network had forgotten them. Connections that are opened later
// work.
func (n *Network) Silence(a, b string) {
	n.update(func() {
		for c := range n.relayed {
			if (c.from == a && c.to == b) || (c.from == b && c.to == a) {
				n.silenced[c] = true
			}
		}
	})
}

// Restore ends the partition between a and b, in both directions.
func (n *Network) Restore(a, b string) {
	n.update(func() { delete(n.blocked, flow{a, b}); delete(n.blocked, flow{b, a}) })
}

// Heal removes all partitions, delays and drop rules.
func (n *Network) Heal() {
	n.update(func() { clear(n.blocked); clear(n.delays); clear(n.dropRules) })
}

// Delay delays each chunk of data between a and b by d.
func (n *Network) Delay(a, b string, d time.Duration) {
	n.update(func() { n.delays[flow{a, b}], n.delays[flow{b, a}] = d, d })
}

// DropReplies closes the connections of the next count requests from one process
// to another whose path starts with pathPrefix. The server receives the request;
// the client gets no reply.
func (n *Network) DropReplies(from, to, pathPrefix string, point DropPoint, count int) {
	n.update(func() {
		f := flow{from, to}
		n.dropRules[f] = append(n.dropRules[f], &dropRule{pathPrefix: pathPrefix, point: point, remaining: count})
	})
}

// DroppedReplies returns the number of connections that the rules of
// [Network.DropReplies] have closed.
func (n *Network) DroppedReplies() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dropped
}

// HasFault reports whether data between a and b is blocked in either direction,
// or whether drop rules for requests from a to b, used up or not, were added
// since the last [Network.Heal]. Delays do not count.
func (n *Network) HasFault(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.blocked[flow{a, b}] || n.blocked[flow{b, a}] || len(n.dropRules[flow{a, b}]) > 0
}

// Close closes all listeners and connections.
func (n *Network) Close() {
	n.update(func() {
		n.closed = true
		for to := range n.listeners {
			n.closeListeners(to)
		}
		for c := range n.conns {
			_ = c.Close()
		}
	})
}

// update runs f under the lock and wakes up the connections that are blocked.
func (n *Network) update(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
	n.changed.Broadcast()
}

// waitUnblocked waits while the flow is blocked by a partition or the connection is
// silenced, and returns the delay of its data. It returns false if the network is
// closed.
func (n *Network) waitUnblocked(c *connection, f flow) (time.Duration, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for (n.blocked[f] || n.silenced[c]) && !n.closed {
		n.changed.Wait()
	}
	return n.delays[f], !n.closed
}

// applyDropRule reports whether a drop rule matches the request at this point,
// and uses up one count of the rule if so.
func (n *Network) applyDropRule(f flow, path string, point DropPoint) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, rule := range n.dropRules[f] {
		if rule.remaining > 0 && rule.point == point && len(path) >= len(rule.pathPrefix) && path[:len(rule.pathPrefix)] == rule.pathPrefix {
			rule.remaining--
			n.dropped++
			return true
		}
	}
	return false
}

// track registers a connection to be closed by [Network.Close]. It returns false
// if the network is already closed.
func (n *Network) track(c net.Conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return false
	}
	n.conns[c] = true
	return true
}

func (n *Network) closeAndUntrack(c net.Conn) {
	_ = c.Close()
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
}

// add registers a proxied connection that [Network.Silence] applies to.
func (n *Network) add(c *connection) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.relayed[c] = true
}

func (n *Network) remove(c *connection) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.relayed, c)
	delete(n.silenced, c)
}
