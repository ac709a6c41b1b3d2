package listener

import (
	"net"
	"sync"
	"sync/atomic"
)

// limitedListener immediately closes connections over a limit, so that one
// caller that opens many does not exhaust the process's file descriptors.
type limitedListener struct {
	net.Listener
	limit int64
	open  atomic.Int64
}

// LimitListener returns a listener that keeps at most limit connections open.
func LimitListener(ln net.Listener, limit int64) net.Listener {
	return &limitedListener{Listener: ln, limit: limit}
}

// Accept returns the next connection within the limit.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.limit {
			return &limitedConn{Conn: c, release: func() { l.open.Add(-1) }}, nil
		}
		l.open.Add(-1)
		_ = c.Close()
	}
}

// limitedConn is a connection accepted by a limitedListener.
type limitedConn struct {
	net.Conn
	once    sync.Once
	release func()
}

// Close closes the connection and stops counting it towards the limit.
func (c *limitedConn) Close() error {
	c.once.Do(c.release)
	return c.Conn.Close()
}
