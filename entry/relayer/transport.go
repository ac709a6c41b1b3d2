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
	// ackTimeout is the time without an acknowledgement after which a
	// connection is closed. A network failure may stop a connection without a
	// reset.
	ackTimeout    = 1200 * time.Millisecond
	probeInterval = 500 * time.Millisecond
	probeCount    = 2
)

// NewTransport returns [messenger.NewTransport] adapted to networks in which a
// peer may stop responding without closing its connections. Connections come from the
// address from, or from one that the system chooses if from is nil.
func NewTransport(perHost int, dialTimeout time.Duration, from net.IP) *http.Transport {
	t := messenger.NewTransport(perHost, dialTimeout)
	dialer := &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probeCount},
		Control: func(_, _ string, c syscall.RawConn) error {
			return c.Control(func(fd uintptr) {
				// Without this option, a dead connection is only detected by
				// the timeout of a call.
				_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
			})
		},
	}
	if from != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: from}
	}
	t.DialContext = dialer.DialContext
	return t
}
