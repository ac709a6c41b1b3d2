package limiter

import (
	"bytes"
	"container/list"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// freeHeadBytes is the part of a head that is not counted. The heads of ordinary
	// requests have some hundred bytes.
	freeHeadBytes = 1 << 10
	// parsedHeadFactor is how many times its size a head of short fields takes in
	// memory: a field of 6 bytes about parsedFieldBytes.
	parsedHeadFactor = 18
	// parsedFieldBytes is what a field takes besides its text: its entry in the map of
	// http.Header, which may be half empty, and the slice of its values.
	parsedFieldBytes = 128
)

var headEnd = []byte("\r\n\r\n")

var errHeadLimit = errors.New("the request heads that the server is reading exceed its memory limit")

// conn is a connection of a client. It has all methods of a TCP connection:
// messenger.ClientGone needs its descriptor, and net/http closes one direction of it.
type conn struct {
	*net.TCPConn
	pool *pool
	// answerTime limits the time of each write, unless it is 0.
	answerTime time.Duration
	// writesSince is the time at which the write in progress began, in nanoseconds since
	// the Unix epoch, or 0 if there is none.
	writesSince atomic.Int64

	// headMu guards the fields about the head. net/http may read the first byte of a
	// pipelined request while the request before it is handled.
	headMu sync.Mutex
	// inHead is set while the head of the next request is awaited or read, and head
	// counts its bytes. An end of the head that is split between two reads is not seen;
	// then bytes of the body count as well, until the request is served.
	inHead bool
	head   int64
	// begun is set once the head has more than the empty lines that may precede it.
	begun bool
	// buffered is the number of bytes that were read together with the end of the head
	// and follow it.
	buffered int64

	// The pool's lock guards these fields.
	element *list.Element
	// waitsSince is when the last complete request was answered, or the connection
	// accepted.
	waitsSince time.Time
	serving    bool
	counted    int64
}

// Read reads from the connection and counts the bytes of heads.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 && !c.readHead(p[:n]) {
		_ = c.Close()
		return 0, errHeadLimit
	}
	return n, err
}

// Write writes to the connection. It fails if the client does not take the data within
// answerTime.
func (c *conn) Write(p []byte) (int, error) {
	now := time.Now()
	if c.answerTime > 0 {
		_ = c.SetWriteDeadline(now.Add(c.answerTime))
	}
	c.writesSince.Store(now.UnixNano())
	defer c.writesSince.Store(0)
	return c.TCPConn.Write(p)
}

// isUnread reports whether the client has not taken what is written to it for some time.
func (c *conn) isUnread(now time.Time) bool {
	since := c.writesSince.Load()
	return since != 0 && now.Sub(time.Unix(0, since)) >= stalledAfter
}

// readHead counts bytes of the head, and reports whether they are within the limit. It
// ignores bytes that follow the head.
func (c *conn) readHead(data []byte) bool {
	excess := c.addToHead(data)
	return excess == 0 || c.pool.countHead(time.Now(), c, excess*parsedHeadFactor)
}

// addToHead counts bytes of the head, and returns how many of them are above freeHeadBytes.
func (c *conn) addToHead(data []byte) int64 {
	c.headMu.Lock()
	defer c.headMu.Unlock()
	if !c.inHead {
		return 0
	}
	size := int64(len(data))
	text := data
	if !c.begun {
		text = bytes.TrimLeft(data, "\r\n")
		c.begun = len(text) > 0
	}
	if end := bytes.Index(text, headEnd); end >= 0 {
		c.inHead = false
		c.buffered = int64(len(text) - end - len(headEnd))
		size -= c.buffered
	}
	c.head += size
	return max(min(size, c.head-freeHeadBytes), 0)
}

// awaitHead records that the next bytes are those of a head.
func (c *conn) awaitHead() {
	c.headMu.Lock()
	defer c.headMu.Unlock()
	c.inHead, c.head, c.begun, c.buffered = true, 0, false, 0
}

// endHead records that the head has been read. It returns its size, and the number of bytes
// that were read together with its end and follow it.
func (c *conn) endHead() (size, buffered int64) {
	c.headMu.Lock()
	defer c.headMu.Unlock()
	c.inHead = false
	return c.head, c.buffered
}

// Close closes the connection and removes it from its pool.
func (c *conn) Close() error {
	c.pool.remove(c)
	return c.TCPConn.Close()
}

// pool holds the open connections of a server.
type pool struct {
	limit     int
	headLimit int64
	report    func(now time.Time, reason string)

	mu sync.Mutex
	// waiting holds all connections. Those that are not being served are ordered by
	// waitsSince.
	waiting list.List
	heads   int64
}

// add adds a new connection. It returns the one to close if there are too many now,
// which is c itself if all others are being served and read their answers.
func (p *pool) add(now time.Time, c *conn) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	var surplus *conn
	if p.waiting.Len() >= p.limit {
		if surplus = p.leastProgressed(func(*conn) bool { return true }); surplus == nil {
			surplus = p.longestUnread(now)
		}
		if surplus == nil {
			return c
		}
		p.drop(surplus)
	}
	c.waitsSince = now
	c.element = p.waiting.PushBack(c)
	return surplus
}

// leastProgressed returns the connection without a complete request for the longest
// of those that may be closed, or nil. It answers the load of clients that open
// connections without end and complete no request: to refuse new connections instead
// would refuse ordinary callers for as long as those stay open.
func (p *pool) leastProgressed(may func(*conn) bool) *conn {
	for e := p.waiting.Front(); e != nil; e = e.Next() {
		if c := e.Value.(*conn); !c.serving && may(c) {
			return c
		}
	}
	return nil
}

// longestUnread returns the connection whose client has not taken its answer for the
// longest, or nil. It answers the load of clients that send requests and read nothing.
func (p *pool) longestUnread(now time.Time) *conn {
	var longest *conn
	for e := p.waiting.Front(); e != nil; e = e.Next() {
		c := e.Value.(*conn)
		if c.isUnread(now) && (longest == nil || c.writesSince.Load() < longest.writesSince.Load()) {
			longest = c
		}
	}
	return longest
}

// unanswered returns the number of connections that are being served and read their
// answers.
func (p *pool) unanswered(now time.Time) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for e := p.waiting.Front(); e != nil; e = e.Next() {
		if c := e.Value.(*conn); c.serving && !c.isUnread(now) {
			n++
		}
	}
	return n
}

// countHead counts n bytes of the head of c, and closes connections with unfinished
// heads if they are too many. It returns false if c itself is to be closed. It answers
// the load of heads that stop short of their end, each within the limit for one.
func (p *pool) countHead(now time.Time, c *conn, n int64) bool {
	p.mu.Lock()
	var surplus []*conn
	for p.heads+n > p.headLimit {
		other := p.leastProgressed(func(o *conn) bool { return o != c && o.counted > 0 && now.Sub(o.waitsSince) >= stalledAfter })
		if other == nil {
			break
		}
		p.drop(other)
		surplus = append(surplus, other)
	}
	fits := p.heads+n <= p.headLimit && c.element != nil
	if fits {
		c.counted += n
		p.heads += n
	}
	p.mu.Unlock()
	for _, o := range surplus {
		_ = o.TCPConn.Close()
		p.report(now, headClosed)
	}
	if !fits {
		p.report(now, headClosed)
	}
	return fits
}

// headParsed replaces the estimate for the head of c, of the given size, by what the parsed
// one takes.
func (p *pool) headParsed(c *conn, size int64, h http.Header) {
	if size <= freeHeadBytes {
		return
	}
	n := copies * size
	for _, values := range h {
		n += parsedFieldBytes * int64(len(values))
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	n = min(n, c.counted)
	p.heads += n - c.counted
	c.counted = n
}

// startServing records that the request of c is complete. It returns false if the
// connection has been closed for another one.
func (p *pool) startServing(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.serving = c.element != nil
	return c.serving
}

// endServing records that the answer to a request of c, complete or not, has been
// written.
func (p *pool) endServing(now time.Time, c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heads -= c.counted
	c.counted = 0
	if c.serving && c.element != nil {
		c.waitsSince = now
		p.waiting.MoveToBack(c.element)
	}
	c.serving = false
}

func (p *pool) remove(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.drop(c)
}

// drop removes a connection. The caller holds the lock and closes it afterwards.
func (p *pool) drop(c *conn) {
	if c.element == nil {
		return
	}
	p.waiting.Remove(c.element)
	c.element = nil
	p.heads -= c.counted
	c.counted = 0
}
