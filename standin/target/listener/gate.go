package listener

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"
)

// Gate is a listening socket that bounds its connections and can be closed and
// opened again. A connection above the limit is accepted and closed at once.
// Make one with [Open].
type Gate struct {
	address string
	limit   int

	mu       sync.Mutex
	reopened *sync.Cond
	socket   net.Listener
	closed   bool
	open     map[*gateConn]bool
	accepted int64
	rejected int64
}

// GateCounters tell about the connections of a target.
type GateCounters struct {
	Open     int   `json:"open"`
	Accepted int64 `json:"accepted"`
	Rejected int64 `json:"rejected"`
}

// gateConn is an open connection. The value in Gate.open tells whether it is
// idle: connected, with no request in progress.
type gateConn struct {
	net.Conn
	gate *Gate
}

// Open listens on address and allows limit connections at a time.
func Open(address string, limit int) (*Gate, error) {
	g := &Gate{address: address, limit: limit, open: map[*gateConn]bool{}}
	g.reopened = sync.NewCond(&g.mu)
	if err := g.SetRefusing(false); err != nil {
		return nil, err
	}
	return g, nil
}

// Accept waits for a connection within the limit.
func (g *Gate) Accept() (net.Conn, error) {
	for {
		socket := g.waitOpen()
		if socket == nil {
			return nil, net.ErrClosed
		}
		c, err := socket.Accept()
		if err != nil {
			if g.current() != socket {
				continue
			}
			return nil, err
		}
		if conn := g.admit(c, socket); conn != nil {
			return conn, nil
		}
		c.Close()
	}
}

// SetRefusing closes the socket and all idle connections, or opens the socket
// again. While it is closed, new connections are refused by the system.
func (g *Gate) SetRefusing(refusing bool) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.closed || refusing == (g.socket == nil):
		return nil
	case refusing:
		err := g.socket.Close()
		g.socket = nil
		g.closeConns(func(idle bool) bool { return idle })
		return errors.Wrap(err, "closing the socket")
	}
	socket, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", g.address)
	if err != nil {
		return errors.Wrap(err, "listening")
	}
	g.socket = socket
	g.reopened.Broadcast()
	return nil
}

// CutAll closes every open connection, whatever it is doing.
func (g *Gate) CutAll() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closeConns(func(bool) bool { return true })
}

// Close ends the gate for good. Open connections stay open.
func (g *Gate) Close() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	g.reopened.Broadcast()
	if g.socket == nil {
		return nil
	}
	socket := g.socket
	g.socket = nil
	return socket.Close()
}

// Addr returns the address of the gate, open or not.
func (g *Gate) Addr() net.Addr {
	address, err := net.ResolveTCPAddr("tcp", g.address)
	if err != nil {
		return &net.TCPAddr{}
	}
	return address
}

// Counters returns the counters of connections.
func (g *Gate) Counters() GateCounters {
	g.mu.Lock()
	defer g.mu.Unlock()
	return GateCounters{Open: len(g.open), Accepted: g.accepted, Rejected: g.rejected}
}

// ConnState follows the states of connections; set it in http.Server.
func (g *Gate) ConnState(c net.Conn, state http.ConnState) {
	conn, ok := c.(*gateConn)
	if !ok {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, known := g.open[conn]; !known {
		return
	}
	g.open[conn] = state == http.StateIdle || state == http.StateNew
	if g.socket == nil && state == http.StateIdle {
		conn.Conn.Close()
	}
}

func (g *Gate) waitOpen() net.Listener {
	g.mu.Lock()
	defer g.mu.Unlock()
	for g.socket == nil && !g.closed {
		g.reopened.Wait()
	}
	return g.socket
}

func (g *Gate) current() net.Listener {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.socket
}

// admit returns nil for a connection above the limit, or one that was accepted
// while the socket was being closed.
func (g *Gate) admit(c net.Conn, socket net.Listener) net.Conn {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.open) >= g.limit || g.socket != socket {
		g.rejected++
		return nil
	}
	g.accepted++
	conn := &gateConn{Conn: c, gate: g}
	g.open[conn] = true
	return conn
}

// closeConns closes the network connections only; the server then closes each
// gateConn, which removes it.
func (g *Gate) closeConns(which func(idle bool) bool) {
	for conn, idle := range g.open {
		if which(idle) {
			conn.Conn.Close()
		}
	}
}

// Close closes the connection and frees its place.
func (c *gateConn) Close() error {
	c.gate.mu.Lock()
	delete(c.gate.open, c)
	c.gate.mu.Unlock()
	return c.Conn.Close()
}
