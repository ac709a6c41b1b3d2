package messenger

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/cockroachdb/errors"
)

// maxReplyBytes limits the size of a reply; the rest of a longer one is not
// read.
const maxReplyBytes = 64 << 20

// maxReplyHeaderBytes limits the head of a reply, which has some hundred bytes.
const maxReplyHeaderBytes = 64 << 10

// ErrNotSent marks errors of requests that were not sent, usually because no
// connection was established. Test for it with errors.Is. After any other
// transport error the request may have reached the server.
var ErrNotSent = errors.New("no connection was established")

// nonRewindableBody is a request body that can be read only once: it hides all
// other methods of the reader, and http.Request.GetBody is not set.
// http.Transport cannot read such a body again and therefore never resends the
// request on its own.
type nonRewindableBody struct{ io.Reader }

// Close does nothing.
func (nonRewindableBody) Close() error { return nil }

// NewTransport returns a transport for calls between processes: HTTP/1.1 with
// keep-alive and without a proxy. It keeps at most maxIdlePerHost idle
// connections per address and gives up on a new connection after dialTimeout.
func NewTransport(maxIdlePerHost int, dialTimeout time.Duration) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: 15 * time.Second}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdlePerHost,
		IdleConnTimeout:     90 * time.Second,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxReplyHeaderBytes,
	}
}

// Client sends JSON requests. A request with a body is never resent;
// http.Transport may resend one without a body. The zero value uses
// http.DefaultTransport.
type Client struct {
	Transport http.RoundTripper
}

// Call sends the value request as a JSON body, or no body if request is nil. It
// returns the HTTP status of the reply. Whatever the status is, Call decodes the
// JSON body of the reply into reply, unless reply is nil or the body is empty. If
// errors.Is(err, ErrNotSent) holds, nothing was sent.
func (c Client) Call(ctx context.Context, method, url string, request, reply any) (int, error) {
	var body []byte
	if request != nil {
		var err error
		if body, err = json.Marshal(request); err != nil {
			return 0, errors.Mark(errors.Wrap(err, "encoding the request"), ErrNotSent)
		}
	}
	connected := false
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, url, nil)
	if err != nil {
		return 0, errors.Mark(errors.Wrap(err, "building the request"), ErrNotSent)
	}
	if request != nil {
		req.Body = nonRewindableBody{bytes.NewReader(body)}
		req.ContentLength = int64(len(body))
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := c.transport().RoundTrip(req)
	if err != nil {
		if !connected {
			err = errors.Mark(err, ErrNotSent)
		}
		return 0, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes))
	if err != nil {
		return resp.StatusCode, errors.Wrap(err, "reading the reply")
	}
	if reply == nil || len(data) == 0 {
		return resp.StatusCode, nil
	}
	if err := json.Unmarshal(data, reply); err != nil {
		return resp.StatusCode, errors.Wrapf(err, "decoding the reply with status %d", resp.StatusCode)
	}
	return resp.StatusCode, nil
}

// transport returns the transport to use.
func (c Client) transport() http.RoundTripper {
	if c.Transport == nil {
		return http.DefaultTransport
	}
	return c.Transport
}

// StartTask sends a task to the target at address (IP:port) and returns its
// reply. The task may have started unless the error is marked ErrNotSent or the
// reply has an Error with Started false.
func (c Client) StartTask(ctx context.Context, address string, task TaskRequest) (TaskReply, error) {
	var reply TaskReply
	status, err := c.Call(ctx, http.MethodPost, "http://"+address+"/v1/tasks", task, &reply)
	if err != nil {
		return TaskReply{}, err
	}
	if reply.TaskID != task.TaskID {
		return TaskReply{}, errors.Newf("target %s answered with status %d and task id %q instead of %q", address, status, reply.TaskID, task.TaskID)
	}
	return reply, nil
}
