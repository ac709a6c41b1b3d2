package relayer

import (
	"net"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

const (
	// silentConnection is the time without an acknowledgement after which a
	// connection is closed. Connections may go silent without a reset.
	silentConnection = 1200 * time.Millisecond
	probeInterval    = 500 * time.Millisecond
	probeCount       = 2
)

// NewTransport returns [messenger.NewTransport] for networks on which a peer
// may fall silent.
func NewTransport(perHost int, dialTimeout time.Duration) *http.Transport {
	t := messenger.NewTransport(perHost, dialTimeout)
	dialer := &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probeCount},
		Control: func(_, _ string, c syscall.RawConn) error {
			return c.Control(func(fd uintptr) {
				// Without the option a silent connection is found later, by the
				// time-out of a call.
				_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silentConnection.Milliseconds()))
			})
		},
	}
	t.DialContext = dialer.DialContext
	return t
}
