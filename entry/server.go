package main

import (
	"context"
	"net"
	"net/http"
	_ "net/http/pprof" // served on profileAddress only
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/godwitrelay/godwitrelay/entry/exporter"
	"github.com/godwitrelay/godwitrelay/entry/limiter"
	"github.com/godwitrelay/godwitrelay/entry/listener"
)

const (
	idleTimeout = 2 * time.Minute
	// callerBuffer is the size of the buffers of a caller's connection, whose contents
	// count towards the memory of the VM. At a round trip of 2 ms it carries 32 MB/s.
	callerBuffer = 64 << 10
)

// server is an HTTP server of an entry together with its open listener.
type server struct {
	*limiter.Server
	listener net.Listener
}

// listen opens all listeners before serving any of them, so that an address in
// use aborts the startup.
func listen(cfg settings, l *listener.Listener, metrics *exporter.Exporter, log *logrus.Logger) ([]server, error) {
	type endpoint struct {
		name, field, address string
		handler              http.Handler
		connections          int64
		share                limiter.Share
	}
	plan := cfg.Limits.plan()
	endpoints := []endpoint{
		{"callers", "callerAddress", cfg.CallerAddress, l.Callers(), cfg.Limits.Connections, plan.Callers},
		{"peers", "peerListen", cfg.PeerListen, l.Peers(), cfg.Limits.PeerConnections, plan.Peers},
		{"operators", "operatorAddress", cfg.OperatorAddress, l.Operators(), cfg.Limits.OperatorConnections, plan.Metrics},
	}
	if cfg.ProfileAddress != "" {
		endpoints = append(endpoints, endpoint{"profile", "profileAddress", cfg.ProfileAddress, http.DefaultServeMux, cfg.Limits.OperatorConnections, plan.Ready})
	}
	reporter := &limiter.Reporter{}
	var servers []server
	for _, p := range endpoints {
		p.share.Connections = int(p.connections)
		s := newServer(cfg, p.address, p.handler, p.share)
		s.Report = reporter.ForServer(p.name, metrics, log)
		if p.name == "callers" {
			s.ReceiveBuffer, s.SendBuffer = callerBuffer, callerBuffer
		}
		ln, err := s.Listen(context.Background())
		if err != nil {
			for _, s := range servers {
				_ = s.listener.Close()
			}
			return nil, errors.Wrapf(err, "%s %s", p.field, p.address)
		}
		servers = append(servers, server{s, ln})
	}
	return servers, nil
}

// newServer returns a server whose handler receives every request, including
// OPTIONS *.
func newServer(cfg settings, address string, handler http.Handler, share limiter.Share) *limiter.Server {
	limits := limiter.Limits{
		HeaderBytes: int(cfg.Limits.HeaderBytes), HeaderTime: ms(cfg.Limits.HeaderReadMs), IdleTime: idleTimeout,
		BodyTime: ms(cfg.Limits.BodyReadMs), AnswerTime: ms(cfg.Limits.AnswerWriteMs),
	}
	return &limiter.Server{
		Addr: address, Handler: handler, Limits: func() limiter.Limits { return limits },
		Connections: share.Connections, HeadBytes: share.HeadBytes, Bodies: limiter.NewBudget(share.BodyBytes),
	}
}

// serve accepts connections until the server is shut down.
func (s server) serve(log *logrus.Logger) {
	if err := s.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		log.Errorf("entry: serving %s: %v", s.Addr, err)
	}
}
