package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// network forwards connections between machines, and holds them up between machines that
// are cut off from each other. Bytes and ends of connections that are held up arrive when
// the cut ends, as TCP delivers them.
type network struct {
	mu sync.Mutex
	// zones holds the zone of each machine by its IP address.
	zones map[string]string
	// cutZone is the zone that is partitioned from the others, or empty.
	cutZone string
}

func (n *network) setZone(ip, zone string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.zones[ip] = zone
}

func (n *network) cut(zone string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cutZone = zone
}

func (n *network) isCut(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cutZone != "" && (n.zones[a] == n.cutZone) != (n.zones[b] == n.cutZone)
}

func (n *network) awaitPath(a, b string) {
	for n.isCut(a, b) {
		time.Sleep(2 * time.Millisecond)
	}
}

// forward accepts connections at front and passes them on to back, which sees the address
// of the machine that opened them.
func (n *network) forward(front, back string) error {
	ln, err := net.Listen("tcp", front)
	if err != nil {
		return err
	}
	to, _, _ := net.SplitHostPort(front)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go n.pass(c, to, back)
		}
	}()
	return nil
}

func (n *network) pass(c net.Conn, to, back string) {
	from, _, _ := net.SplitHostPort(c.RemoteAddr().String())
	n.awaitPath(from, to)
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}, Timeout: time.Second}
	b, err := dialer.Dial("tcp", back)
	if err != nil {
		// Nothing listens: the connection is reset.
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
		return
	}
	var both sync.WaitGroup
	both.Add(2)
	go func() { defer both.Done(); n.pump(b, c, from, to) }()
	go func() { defer both.Done(); n.pump(c, b, from, to) }()
	both.Wait()
}

func (n *network) pump(dst, src net.Conn, a, b string) {
	buffer := make([]byte, 32<<10)
	for {
		count, err := src.Read(buffer)
		n.awaitPath(a, b)
		if count > 0 {
			if _, writeErr := dst.Write(buffer[:count]); writeErr != nil {
				err = writeErr
			}
		}
		if err == io.EOF {
			_ = dst.(*net.TCPConn).CloseWrite()
			return
		}
		if err != nil {
			_ = dst.Close()
			_ = src.Close()
			return
		}
	}
}
