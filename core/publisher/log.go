// Package publisher reads and writes the platform's log: it follows the
// configuration stream, publishes snapshots, and applies changes so that their
// fate is known even when replies of the log are lost.
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

// ErrRefused marks an append that the log refused for good: the record was not
// written, and the same record never will be.
var ErrRefused = errors.New("the log refused the record")

// ErrBusy marks an append that the log refused because of its limit of appends
// per second: the record was not written, and may be sent again.
var ErrBusy = errors.New("the log takes no more appends at present")

// errBadReply marks a successful reply that could not be read or decoded, as
// when it is over the client's size limit.
var errBadReply = errors.New("the log's reply can't be read")

// callTimeout bounds one call by default. A log that takes a request and never
// answers must not use up the time in which it could be asked again.
const callTimeout = 3 * time.Second

// Log is a client of one stream of the platform's log. Platform is the
// platform's IP:port. Timeout bounds one call; 0 means 3 s.
type Log struct {
	Client   messenger.Client
	Platform string
	Stream   string
	Timeout  time.Duration
}

// Read returns at most limit records from the offset from on.
func (l Log) Read(ctx context.Context, from int64, limit int) (messenger.LogPage, error) {
	url := l.url() + "?from=" + strconv.FormatInt(from, 10) + "&limit=" + strconv.Itoa(limit)
	var page messenger.LogPage
	err := l.call(ctx, http.MethodGet, url, nil, &page)
	return page, errors.Wrap(err, "reading the log")
}

// Append writes record and returns its offset. An error marked
// messenger.ErrNotSent, ErrRefused or ErrBusy proves that nothing was written;
// after any other error the record may have been written.
func (l Log) Append(ctx context.Context, record any) (int64, error) {
	var reply messenger.AppendReply
	err := l.call(ctx, http.MethodPost, l.url(), record, &reply)
	return reply.Offset, errors.Wrap(err, "appending to the log")
}

func (l Log) url() string { return "http://" + l.Platform + "/v1/log/" + l.Stream }

func (l Log) call(ctx context.Context, method, url string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(l.Timeout, callTimeout))
	defer cancel()
	var body json.RawMessage
	status, err := l.Client.Call(ctx, method, url, in, &body)
	switch {
	case status == http.StatusTooManyRequests:
		return errors.Mark(errors.Newf("status %d: %s", status, reason(body)), ErrBusy)
	case status >= 400 && status < 500:
		return errors.Mark(errors.Newf("status %d: %s", status, reason(body)), ErrRefused)
	case status >= 300:
		return errors.Newf("status %d: %s", status, reason(body))
	case err == nil:
		err = errors.Wrap(json.Unmarshal(body, out), "decoding the reply")
	}
	if err != nil && status != 0 {
		err = errors.Mark(err, errBadReply)
	}
	return err
}

// reason returns what an error body says, cut to a length that fits a message.
func reason(body []byte) string {
	var e messenger.Error
	if json.Unmarshal(body, &e) == nil && e.Message != "" {
		return e.Error()
	}
	const longest = 200
	return string(body[:min(len(body), longest)])
}
