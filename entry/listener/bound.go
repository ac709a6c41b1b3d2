package listener

import (
	"net"
	"sync"
	"sync/atomic"
)

// boundListener closes connections over a limit at once, so that one caller
// that opens many does not use up the process's files.
type boundListener struct {
	net.Listener
	limit int64
	open  atomic.Int64
}

// Bound returns a listener that keeps at most limit connections open.
func Bound(ln net.Listener, limit int64) net.Listener {
	return &boundListener{Listener: ln, limit: limit}
}

// Accept waits for the next connection within the limit.
func (b *boundListener) Accept() (net.Conn, error) {
	for {
		c, err := b.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if b.open.Add(1) <= b.limit {
			return &boundConn{Conn: c, release: func() { b.open.Add(-1) }}, nil
		}
		b.open.Add(-1)
		_ = c.Close()
	}
}

type boundConn struct {
	net.Conn
	once    sync.Once
	release func()
}

// Close closes the connection and frees its place.
func (c *boundConn) Close() error {
	c.once.Do(c.release)
	return c.Conn.Close()
}
