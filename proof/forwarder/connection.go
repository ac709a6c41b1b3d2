package forwarder

import (
	"context"
	"net"
	"sync"
	"time"
)

// readBufferBytes is the size of the buffer for one read. The headers of a request
// or reply fit into it.
const readBufferBytes = 64 << 10

// connection is one proxied connection. The field from names the process that
// opened it, the field to the process that it was opened to.
type connection struct {
	network        *Network
	client, server net.Conn
	from, to       string

	mu       sync.Mutex
	requests requestTracker
	// replyDropped is set when a drop rule closes the client side. The server
	// side stays open until the server has replied, so that it completes the
	// request as usual.
	replyDropped bool
}

// accept proxies the connections of a listener until the listener is closed.
func (n *Network) accept(listener net.Listener, to, backend string) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		go n.relay(client, to, backend)
	}
}

// relay proxies one connection to the backend address until it ends.
func (n *Network) relay(client net.Conn, to, backend string) {
	if !n.track(client) {
		_ = client.Close()
		return
	}
	defer n.closeAndUntrack(client)
	c := &connection{network: n, client: client, from: n.clientName(client), to: to}
	if c.from == "" {
		return
	}
	// During a partition the connection is not established until the partition
	// is healed.
	if _, ok := n.waitUnblocked(c, flow{c.from, to}); !ok {
		return
	}
	n.add(c)
	defer n.remove(c)
	server, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", backend)
	if err != nil {
		return
	}
	if !n.track(server) {
		_ = server.Close()
		return
	}
	defer n.closeAndUntrack(server)
	c.server = server
	var wg sync.WaitGroup
	wg.Go(c.copyRequests)
	wg.Go(c.copyReplies)
	wg.Wait()
}

// copyRequests copies data from the client to the server.
func (c *connection) copyRequests() {
	buf := make([]byte, readBufferBytes)
	for {
		size, err := c.client.Read(buf)
		if size > 0 {
			if !c.waitToSend(flow{c.from, c.to}) {
				return
			}
			drop := c.trackRequest(buf[:size])
			if _, err := c.server.Write(buf[:size]); err != nil {
				_ = c.client.Close()
				return
			}
			if drop {
				_ = c.client.Close()
				return
			}
		}
		if err != nil {
			c.propagateClose()
			return
		}
	}
}

// propagateClose closes the server side after the client has closed, unless the
// reply is still to be read and dropped.
func (c *connection) propagateClose() {
	c.mu.Lock()
	dropped := c.replyDropped
	c.mu.Unlock()
	if !dropped && c.waitToSend(flow{c.from, c.to}) {
		_ = c.server.Close()
	}
}

// copyReplies copies data from the server to the client.
func (c *connection) copyReplies() {
	buf := make([]byte, readBufferBytes)
	for {
		size, err := c.server.Read(buf)
		if size > 0 && !c.relayReply(buf[:size]) {
			_ = c.server.Close()
			return
		}
		if err != nil {
			if c.waitToSend(flow{c.to, c.from}) {
				_ = c.client.Close()
			}
			return
		}
	}
}

// relayReply writes part of a reply to the client. It returns false if the
// connection has ended.
func (c *connection) relayReply(data []byte) bool {
	if !c.waitToSend(flow{c.to, c.from}) {
		return false
	}
	c.mu.Lock()
	path, dropped := c.requests.path, c.replyDropped
	c.mu.Unlock()
	if dropped {
		return false
	}
	if c.network.applyDropRule(flow{c.from, c.to}, path, AtReply) {
		c.closeClient()
		return false
	}
	_, err := c.client.Write(data)
	return err == nil
}

// closeClient closes the client side so that the client gets no reply.
func (c *connection) closeClient() {
	c.mu.Lock()
	c.replyDropped = true
	c.mu.Unlock()
	_ = c.client.Close()
}

// trackRequest records data that is about to be written to the server. It
// returns true if data completes a request whose reply is to be dropped. It must
// be called before the write, because the server may reply before the write
// returns.
func (c *connection) trackRequest(data []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	path, complete := c.requests.feed(data)
	if complete && c.network.applyDropRule(flow{c.from, c.to}, path, AfterRequest) {
		c.replyDropped = true
	}
	return c.replyDropped
}

// waitToSend blocks during a partition and for the configured delay. It returns
// false if the network is closed.
func (c *connection) waitToSend(f flow) bool {
	delay, ok := c.network.waitUnblocked(c, f)
	if delay > 0 {
		time.Sleep(delay)
	}
	return ok
}
