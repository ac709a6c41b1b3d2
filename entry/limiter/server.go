package limiter

import (
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// What is refused or closed, as reported to [Server.Report].
const (
	connectionClosed  = "connectionClosed"
	connectionRefused = "connectionRefused"
	headClosed        = "headClosed"
	bodyRefused       = "bodyRefused"
	bodyTooSlow       = "bodyTooSlow"
)

// The limits of the platform's configuration before it is known.
const (
	DefaultHeaderBytes = 16 << 10
	DefaultHeaderTime  = 3 * time.Second
	DefaultIdleTime    = 15 * time.Second
)

// Limits are limits that may change while a server runs. 0 means the default.
type Limits struct {
	// HeaderBytes limits the size of a head, and HeaderTime the time in which it must
	// arrive.
	HeaderBytes int
	HeaderTime  time.Duration
	// IdleTime limits the time between two requests, and the time in which each 16 KB
	// of a body must arrive.
	IdleTime time.Duration
	// BodyTime limits the time in which a body must arrive, unless it is 0.
	BodyTime time.Duration
	// AnswerTime limits the time in which a client must take each part of an answer. Its
	// default is IdleTime.
	AnswerTime time.Duration
}

// Server is an HTTP server with limits. Set the exported fields before use.
type Server struct {
	Addr    string
	Handler http.Handler
	// ConnContext is that of http.Server.
	ConnContext func(context.Context, net.Conn) context.Context
	// Limits returns the limits for new connections.
	Limits func() Limits
	// Connections limits the open connections, and HeadBytes the memory for heads
	// beyond freeHeadBytes each.
	Connections int
	HeadBytes   int64
	// Bodies bounds the bodies that are being read.
	Bodies *Budget
	// ReceiveBuffer and SendBuffer are the sizes of the buffers of each connection, or 0
	// for those of the system.
	ReceiveBuffer, SendBuffer int
	// Report is called for everything that is refused or closed.
	Report func(now time.Time, reason string)

	pool pool

	// newest is the generation for new connections.
	newest atomic.Pointer[generation]
	mu     sync.Mutex
	// generations holds a server for each set of limits that was in force.
	generations []*generation
	listener    net.Listener
	stopped     bool
}

// generation serves connections that were accepted under the same limits. The limits
// of an http.Server must not change while it serves.
type generation struct {
	limits Limits
	server *http.Server
	conns  *handover
}

// Listen opens the listener for Serve.
func (s *Server) Listen(ctx context.Context) (net.Listener, error) {
	cfg := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		// Accepted connections inherit the sizes.
		for option, size := range map[int]int{unix.SO_RCVBUF: s.ReceiveBuffer, unix.SO_SNDBUF: s.SendBuffer} {
			if size == 0 {
				continue
			}
			var err error
			if controlErr := c.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, option, size) }); controlErr != nil {
				return controlErr
			}
			if err != nil {
				return err
			}
		}
		return nil
	}}
	ln, err := cfg.Listen(ctx, "tcp", s.Addr)
	return ln, errors.Wrapf(err, "listening on %s", s.Addr)
}

// Serve accepts connections until the server is shut down or closed.
func (s *Server) Serve(ln net.Listener) error {
	s.pool.limit, s.pool.headLimit, s.pool.report = s.Connections, s.HeadBytes, s.Report
	s.mu.Lock()
	s.listener = ln
	stopped := s.stopped
	s.mu.Unlock()
	if stopped {
		_ = ln.Close()
		return http.ErrServerClosed
	}
	var delay time.Duration
	for {
		accepted, err := ln.Accept()
		if err != nil {
			s.mu.Lock()
			stopped := s.stopped
			s.mu.Unlock()
			switch {
			case stopped:
				return http.ErrServerClosed
			case errors.IsAny(err, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED):
				// Not enough descriptors or memory, or the client is gone already.
				delay = min(max(2*delay, minAcceptDelay), maxAcceptDelay)
				time.Sleep(delay)
				continue
			}
			return err
		}
		delay = 0
		if c := s.admit(time.Now(), accepted.(*net.TCPConn)); c != nil && !s.current().take(c) {
			_ = c.Close()
		}
	}
}

const (
	// minAcceptDelay and maxAcceptDelay bound the wait after a failed accept, as in
	// net/http.
	minAcceptDelay, maxAcceptDelay = 5 * time.Millisecond, time.Second
)

// refusal is sent to a connection that is closed while all others are being served.
const refusal = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// admit adds an accepted connection, closing another one if there are too many. It
// returns nil if the new one was closed.
func (s *Server) admit(now time.Time, accepted *net.TCPConn) *conn {
	c := &conn{TCPConn: accepted, pool: &s.pool}
	c.awaitHead()
	switch surplus := s.pool.add(now, c); surplus {
	case nil:
	case c:
		_, _ = io.WriteString(accepted, refusal)
		_ = accepted.Close()
		s.Report(now, connectionRefused)
		return nil
	default:
		_ = surplus.TCPConn.Close()
		s.Report(now, connectionClosed)
	}
	return c
}

// current returns the generation for the present limits.
func (s *Server) current() *generation {
	limits := s.Limits()
	limits.HeaderBytes = cmp.Or(limits.HeaderBytes, DefaultHeaderBytes)
	limits.HeaderTime = cmp.Or(limits.HeaderTime, DefaultHeaderTime)
	limits.IdleTime = cmp.Or(limits.IdleTime, DefaultIdleTime)
	limits.AnswerTime = cmp.Or(limits.AnswerTime, limits.IdleTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range s.generations {
		if g.limits == limits {
			s.newest.Store(g)
			return g
		}
	}
	g := &generation{limits: limits, conns: &handover{conns: make(chan net.Conn), done: make(chan struct{}), address: s.listener.Addr()}}
	g.server = &http.Server{
		Handler:           http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, g) }),
		MaxHeaderBytes:    limits.HeaderBytes,
		ReadHeaderTimeout: limits.HeaderTime, IdleTimeout: limits.IdleTime,
		DisableGeneralOptionsHandler: true,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			if s.ConnContext != nil {
				ctx = s.ConnContext(ctx, c)
			}
			return context.WithValue(ctx, connKey{}, c)
		},
		ConnState: func(c net.Conn, state http.ConnState) {
			// The answer has been written.
			if state == http.StateIdle {
				s.pool.endServing(time.Now(), c.(*conn))
			}
		},
	}
	if s.stopped {
		_ = g.conns.Close()
		return g
	}
	s.generations = append(s.generations, g)
	s.newest.Store(g)
	go func() { _ = g.server.Serve(g.conns) }()
	return g
}

// take passes a connection on to the server, and reports whether it took it.
func (g *generation) take(c *conn) bool {
	c.answerTime = g.limits.AnswerTime
	return g.conns.offer(c)
}

type connKey struct{}

// serve serves a request whose head has been read. It does not call the handler for a
// complete request whose connection has been closed.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, g *generation) {
	c := r.Context().Value(connKey{}).(*conn)
	headBytes, buffered := c.endHead()
	s.pool.headParsed(c, headBytes, r.Header)
	if s.newest.Load() != g {
		w.Header().Set("Connection", "close")
	}
	if r.ContentLength >= 0 && r.ContentLength <= buffered {
		// The whole request has been read, at most the 4 KB of one read.
		if !s.pool.startServing(c) {
			panic(http.ErrAbortHandler)
		}
		s.Handler.ServeHTTP(w, r)
	} else {
		s.serveBody(c, w, r, g)
	}
	c.awaitHead()
}

// serveBody serves a request with a body.
func (s *Server) serveBody(c *conn, w http.ResponseWriter, r *http.Request, g *generation) {
	body := NewBody(time.Now(), w, r, s.Bodies)
	body.PieceTime, body.TotalTime = g.limits.IdleTime, g.limits.BodyTime
	body.onEnd = func() bool { return s.pool.startServing(c) }
	defer body.Release()
	// The server uses the body of its own request.
	r = r.WithContext(r.Context())
	r.Body = body
	s.Handler.ServeHTTP(&AnswerWriter{ResponseWriter: w, Body: body}, r)
	if body.Complete() {
		return
	}
	// Reads the rest of the body no further: the server would wait for it.
	body.interrupt()
	switch {
	case errors.Is(body.err, ErrNoCredit):
		s.Report(time.Now(), bodyRefused)
	case errors.Is(body.err, ErrTooSlow):
		s.Report(time.Now(), bodyTooSlow)
	}
}

// Shutdown stops accepting connections, closes idle ones and waits until all requests that
// have been read are answered. Connections that are still open then belong to clients that
// have not sent a whole request or do not read their answers; [Server.Close] closes them.
func (s *Server) Shutdown(ctx context.Context) error {
	for _, g := range s.stop() {
		go func() { _ = g.server.Shutdown(ctx) }()
	}
	return s.AwaitAnswers(ctx)
}

// AwaitAnswers waits until all requests that have been read are answered, except those of
// clients that do not read their answers.
func (s *Server) AwaitAnswers(ctx context.Context) error {
	poll := time.NewTicker(answerPollInterval)
	defer poll.Stop()
	for s.pool.unanswered(time.Now()) > 0 {
		select {
		case <-poll.C:
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "waiting for the answers in progress")
		}
	}
	return nil
}

// answerPollInterval is short compared with the time of a request.
const answerPollInterval = 5 * time.Millisecond

// Close closes all connections.
func (s *Server) Close() error {
	var all error
	for _, g := range s.stop() {
		all = errors.CombineErrors(all, g.server.Close())
	}
	return all
}

// stop stops accepting connections and returns the generations to stop.
func (s *Server) stop() []*generation {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	if s.listener != nil {
		_ = s.listener.Close()
	}
	return append([]*generation(nil), s.generations...)
}

// handover is the listener of a generation. It returns the connections offered to it.
type handover struct {
	conns   chan net.Conn
	done    chan struct{}
	once    sync.Once
	address net.Addr
}

// offer hands a connection to the server, and reports whether it took it.
func (h *handover) offer(c net.Conn) bool {
	select {
	case h.conns <- c:
		return true
	case <-h.done:
		return false
	}
}

// Accept implements net.Listener.
func (h *handover) Accept() (net.Conn, error) {
	select {
	case c := <-h.conns:
		return c, nil
	case <-h.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (h *handover) Close() error {
	h.once.Do(func() { close(h.done) })
	return nil
}

// Addr implements net.Listener.
func (h *handover) Addr() net.Addr { return h.address }
