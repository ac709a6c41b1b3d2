package listener

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"
)

// LimitListener is a [net.Listener] that limits the number of open connections
// and can be closed and reopened. Connections above the limit are accepted and
// closed immediately. Use [Listen] to create one.
type LimitListener struct {
	address string
	limit   int

	mu       sync.Mutex
	reopened *sync.Cond
	socket   net.Listener
	closed   bool
	conns    map[*trackedConn]bool
	accepted int64
	rejected int64
}

// ConnCounters counts the connections of a target. Open is the current number;
// Accepted and Rejected are cumulative.
type ConnCounters struct {
	Open     int   `json:"open"`
	Accepted int64 `json:"accepted"`
	Rejected int64 `json:"rejected"`
}

// trackedConn is an open connection. Its value in LimitListener.conns reports
// whether it is idle, which means that no request is in progress.
type trackedConn struct {
	net.Conn
	listener *LimitListener
}

// Listen listens on address and allows at most limit concurrent connections.
func Listen(address string, limit int) (*LimitListener, error) {
	l := &LimitListener{address: address, limit: limit, conns: map[*trackedConn]bool{}}
	l.reopened = sync.NewCond(&l.mu)
	if err := l.SetRefusing(false); err != nil {
		return nil, err
	}
	return l, nil
}

// Accept waits for a connection and rejects those above the limit.
func (l *LimitListener) Accept() (net.Conn, error) {
	for {
		socket := l.waitSocket()
		if socket == nil {
			return nil, net.ErrClosed
		}
		c, err := socket.Accept()
		if err != nil {
			if l.currentSocket() != socket {
				continue
			}
			return nil, err
		}
		if conn := l.track(c, socket); conn != nil {
			return conn, nil
		}
		c.Close()
	}
}

// SetRefusing closes the socket and all idle connections, or reopens the socket.
// While it is closed, the kernel refuses new connections.
func (l *LimitListener) SetRefusing(refusing bool) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.closed || refusing == (l.socket == nil):
		return nil
	case refusing:
		err := l.socket.Close()
		l.socket = nil
		l.closeConns(func(idle bool) bool { return idle })
		return errors.Wrap(err, "closing socket")
	}
	socket, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", l.address)
	if err != nil {
		return errors.Wrap(err, "opening socket")
	}
	l.socket = socket
	l.reopened.Broadcast()
	return nil
}

// CloseAllConns closes all connections, including those with a request in
// progress.
func (l *LimitListener) CloseAllConns() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closeConns(func(bool) bool { return true })
}

// Close closes the listener permanently. Open connections are not affected.
func (l *LimitListener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.reopened.Broadcast()
	if l.socket == nil {
		return nil
	}
	socket := l.socket
	l.socket = nil
	return socket.Close()
}

// Addr returns the listen address, whether or not the socket is open.
func (l *LimitListener) Addr() net.Addr {
	address, err := net.ResolveTCPAddr("tcp", l.address)
	if err != nil {
		return &net.TCPAddr{}
	}
	return address
}

// Counters returns the connection counters.
func (l *LimitListener) Counters() ConnCounters {
	l.mu.Lock()
	defer l.mu.Unlock()
	return ConnCounters{Open: len(l.conns), Accepted: l.accepted, Rejected: l.rejected}
}

// ConnState records which connections are idle, and closes those that become
// idle while the socket is closed. Use it as [http.Server.ConnState].
func (l *LimitListener) ConnState(c net.Conn, state http.ConnState) {
	conn, ok := c.(*trackedConn)
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, known := l.conns[conn]; !known {
		return
	}
	l.conns[conn] = state == http.StateIdle || state == http.StateNew
	if l.socket == nil && state == http.StateIdle {
		conn.Conn.Close()
	}
}

func (l *LimitListener) waitSocket() net.Listener {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.socket == nil && !l.closed {
		l.reopened.Wait()
	}
	return l.socket
}

func (l *LimitListener) currentSocket() net.Listener {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.socket
}

// track registers a connection. It returns nil if the limit is reached or if the
// socket was closed while the connection was being accepted.
func (l *LimitListener) track(c net.Conn, socket net.Listener) net.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.conns) >= l.limit || l.socket != socket {
		l.rejected++
		return nil
	}
	l.accepted++
	conn := &trackedConn{Conn: c, listener: l}
	l.conns[conn] = true
	return conn
}

// closeConns closes only the underlying connections. The HTTP server then closes
// each trackedConn, which removes it from conns.
func (l *LimitListener) closeConns(match func(idle bool) bool) {
	for conn, idle := range l.conns {
		if match(idle) {
			conn.Conn.Close()
		}
	}
}

// Close closes the connection and stops counting it towards the limit.
func (c *trackedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
