package messenger

import (
	"context"
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
)

type connectionKey struct{}

// WithConnection adds the connection of a request to its context. It is a ConnContext
// of http.Server.
func WithConnection(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}

// ClientGone reports whether the client has closed or reset the connection of a request,
// which has the context ctx. A request can be read after that, and its client may have
// sent it again to another process by then. The server cancels ctx only some time after
// the request was read.
func ClientGone(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	c, ok := ctx.Value(connectionKey{}).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return true
	}
	gone := false
	err = raw.Control(func(fd uintptr) {
		n, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		gone = err == nil && n == 0 || err != nil && !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR)
	})
	return err != nil || gone
}
