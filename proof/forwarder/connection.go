package forwarder

import (
	"context"
	"net"
	"sync"
	"time"
)

// chunkBytes bounds one read. A request or reply head fits.
const chunkBytes = 64 << 10

// connection is one forwarded connection: client opened it to server.
type connection struct {
	network        *Network
	client, server net.Conn
	from, to       string

	mu      sync.Mutex
	request request
	// cut is set when the client's side was broken on purpose. The reply is
	// then read and dropped, so that the server finishes as usual.
	cut bool
}

func (n *Network) accept(listener net.Listener, to, bound string) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		go n.carry(client, to, bound)
	}
}

func (n *Network) carry(client net.Conn, to, bound string) {
	if !n.track(client) {
		_ = client.Close()
		return
	}
	defer n.drop(client)
	c := &connection{network: n, client: client, from: n.source(client), to: to}
	if c.from == "" {
		return
	}
	// A connection over a cut is not established before the cut is healed.
	if _, ok := n.pass(flow{c.from, to}); !ok {
		return
	}
	server, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", bound)
	if err != nil {
		return
	}
	if !n.track(server) {
		_ = server.Close()
		return
	}
	defer n.drop(server)
	c.server = server
	var wg sync.WaitGroup
	wg.Go(c.requests)
	wg.Go(c.replies)
	wg.Wait()
}

// requests copies from the client to the server.
func (c *connection) requests() {
	buf := make([]byte, chunkBytes)
	for {
		size, err := c.client.Read(buf)
		if size > 0 {
			if !c.wait(flow{c.from, c.to}) {
				return
			}
			if _, err := c.server.Write(buf[:size]); err != nil {
				_ = c.client.Close()
				return
			}
			if path, whole := c.note(buf[:size]); whole && c.network.take(flow{c.from, c.to}, path, AfterRequest) {
				c.breakClient()
				return
			}
		}
		if err != nil {
			c.endRequests()
			return
		}
	}
}

// endRequests passes the client's close on, unless the reply is to be dropped.
func (c *connection) endRequests() {
	c.mu.Lock()
	broken := c.cut
	c.mu.Unlock()
	if !broken && c.wait(flow{c.from, c.to}) {
		_ = c.server.Close()
	}
}

// replies copies from the server to the client.
func (c *connection) replies() {
	buf := make([]byte, chunkBytes)
	for {
		size, err := c.server.Read(buf)
		if size > 0 && !c.reply(buf[:size]) {
			_ = c.server.Close()
			return
		}
		if err != nil {
			if c.wait(flow{c.to, c.from}) {
				_ = c.client.Close()
			}
			return
		}
	}
}

// reply passes one part of a reply on. It returns false if the connection has
// ended.
func (c *connection) reply(data []byte) bool {
	if !c.wait(flow{c.to, c.from}) {
		return false
	}
	c.mu.Lock()
	path, broken := c.request.path, c.cut
	c.mu.Unlock()
	if broken {
		return false
	}
	if c.network.take(flow{c.from, c.to}, path, AtReply) {
		c.breakClient()
		return false
	}
	_, err := c.client.Write(data)
	return err == nil
}

func (c *connection) breakClient() {
	c.mu.Lock()
	c.cut = true
	c.mu.Unlock()
	_ = c.client.Close()
}

func (c *connection) note(data []byte) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.request.add(data)
}

func (c *connection) wait(f flow) bool {
	delay, ok := c.network.pass(f)
	if delay > 0 {
		time.Sleep(delay)
	}
	return ok
}
