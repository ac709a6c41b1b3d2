package main

import (
	"context"
	"net"
	"net/http"
	_ "net/http/pprof" // served on profileAddress only
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/godwitrelay/godwitrelay/entry/listener"
)

const idleTimeout = 2 * time.Minute

// server is an HTTP server of an entry together with its open listener.
type server struct {
	*http.Server
	listener net.Listener
}

// listen opens all listeners before serving any of them, so that an address in
// use aborts the startup.
func listen(cfg settings, l *listener.Listener) ([]server, error) {
	type endpoint struct {
		field, address string
		handler        http.Handler
		connections    int64
	}
	endpoints := []endpoint{
		{"callerAddress", cfg.CallerAddress, l.Callers(), cfg.Limits.Connections},
		{"peerListen", cfg.PeerListen, l.Peers(), cfg.Limits.PeerConnections},
		{"operatorAddress", cfg.OperatorAddress, l.Operators(), cfg.Limits.OperatorConnections},
	}
	if cfg.ProfileAddress != "" {
		endpoints = append(endpoints, endpoint{"profileAddress", cfg.ProfileAddress, http.DefaultServeMux, cfg.Limits.OperatorConnections})
	}
	var servers []server
	for _, p := range endpoints {
		ln, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", p.address)
		if err != nil {
			for _, s := range servers {
				_ = s.listener.Close()
			}
			return nil, errors.Wrapf(err, "%s %s", p.field, p.address)
		}
		servers = append(servers, server{newServer(cfg, p.address, p.handler), listener.LimitListener(ln, p.connections)})
	}
	return servers, nil
}

// newServer returns a server whose handler receives every request, including
// OPTIONS *.
func newServer(cfg settings, address string, handler http.Handler) *http.Server {
	return &http.Server{
		Addr: address, Handler: handler, IdleTimeout: idleTimeout, DisableGeneralOptionsHandler: true,
		MaxHeaderBytes: int(cfg.Limits.HeaderBytes), ReadHeaderTimeout: ms(cfg.Limits.HeaderReadMs),
	}
}

// serve accepts connections until the server is shut down.
func (s server) serve(log *logrus.Logger) {
	if err := s.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		log.Errorf("entry: serving %s: %v", s.Addr, err)
	}
}
