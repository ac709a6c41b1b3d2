// Package publisher reads and writes the platform's log. It follows the
// configuration stream, publishes snapshots, and proposes changes. It finds out
// whether a proposed change was accepted even if replies of the log are lost.
package publisher

import (
	"cmp"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

// ErrRefused marks an append that the log rejected permanently. The record was not
// written, and retrying it will not succeed.
var ErrRefused = errors.New("log rejected the record")

// ErrRateLimited marks an append that exceeded the log's limit of appends per
// second. The record was not written, and the append can be retried.
var ErrRateLimited = errors.New("log append rate limit exceeded")

// errInvalidReply marks a reply with a success status that could not be read or
// decoded, for example because it exceeds the client's size limit.
var errInvalidReply = errors.New("invalid log reply")

// callTimeout is the default timeout of one call. It is shorter than the time for
// which operators retry, so that [Applier.Apply] can retry when the log accepts a
// request but never replies.
const callTimeout = 3 * time.Second

// Log is a client for one stream of the platform's log. Platform is the address of
// the platform as IP:port. Timeout limits one call; 0 means 3 s.
type Log struct {
	Client   messenger.Client
	Platform string
	Stream   string
	Timeout  time.Duration
}

// Read returns a page of at most limit records, starting at offset from.
func (l Log) Read(ctx context.Context, from int64, limit int) (messenger.LogPage, error) {
	url := l.url() + "?from=" + strconv.FormatInt(from, 10) + "&limit=" + strconv.Itoa(limit)
	var page messenger.LogPage
	err := l.call(ctx, http.MethodGet, url, nil, &page)
	return page, errors.Wrap(err, "reading log")
}

// Append writes record and returns its offset. If the error is marked as
// messenger.ErrNotSent, ErrRefused or ErrRateLimited, the record was not written.
// After any other error the record may have been written.
func (l Log) Append(ctx context.Context, record any) (int64, error) {
	var reply messenger.AppendReply
	err := l.call(ctx, http.MethodPost, l.url(), record, &reply)
	return reply.Offset, errors.Wrap(err, "appending to log")
}

func (l Log) url() string { return "http://" + l.Platform + "/v1/log/" + l.Stream }

// call sends a request and decodes the reply into out. It marks the errors that
// callers distinguish.
func (l Log) call(ctx context.Context, method, url string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(l.Timeout, callTimeout))
	defer cancel()
	var body json.RawMessage
	status, err := l.Client.Call(ctx, method, url, in, &body)
	switch {
	case status == http.StatusTooManyRequests:
		return errors.Mark(errors.Newf("status %d: %s", status, errorText(body)), ErrRateLimited)
	case status >= 400 && status < 500:
		return errors.Mark(errors.Newf("status %d: %s", status, errorText(body)), ErrRefused)
	case status >= 300:
		return errors.Newf("status %d: %s", status, errorText(body))
	case err == nil:
		err = errors.Wrap(json.Unmarshal(body, out), "decoding reply")
	}
	if err != nil && status != 0 {
		err = errors.Mark(err, errInvalidReply)
	}
	return err
}

// errorText returns the kind and the message of a JSON error body, or another
// JSON body as text, truncated to fit an error message. body is empty if the
// reply was not JSON, because [messenger.Client.Call] could not decode it.
func errorText(body []byte) string {
	var e messenger.Error
	if json.Unmarshal(body, &e) == nil && e.Message != "" {
		return e.Error()
	}
	const maxBytes = 200
	return string(body[:min(len(body), maxBytes)])
}
