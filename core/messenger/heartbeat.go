package messenger

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// MemberState is one row of a heartbeat: a member of the failure domain, the
// highest heartbeat counter of it that the sender knows, the time since the
// member incremented that counter as estimated by the sender, and whether the
// member is stopping.
type MemberState struct {
	Member   Member `json:"member"`
	Counter  uint64 `json:"counter"`
	AgeMs    int64  `json:"ageMs,omitempty"`
	Stopping bool   `json:"stopping,omitempty"`
}

// Heartbeat is the body of POST /peer/v1/heartbeat and of its reply. Between
// failure domains only From and ConfigVersion are used.
//
// Digest is a hash of the set of active members, whose counters the sender has
// seen advance within the suspicion timeout. If the receiver has the same digest,
// Counters holds the counters of these members in the order of their addresses,
// without the sender and the receiver, and 0 in place of a counter that the
// receiver already has. AgesMs holds the ages of the counters that are not 0.
// Members holds the sender's own row and, if the sets may differ, rows of other
// members. Refused lists addresses that refuse the sender's connections.
type Heartbeat struct {
	From          Member
	FailureDomain string
	ConfigVersion int64
	Digest        uint32
	Members       []MemberState
	Counters      []uint64
	AgesMs        []int64
	Refused       []string
}

// heartbeatBody is the JSON encoding of a heartbeat. Rows are encoded as
// strings to keep control traffic small: as nested objects they would take most
// of its bytes.
type heartbeatBody struct {
	From          string   `json:"from"`
	FailureDomain string   `json:"domain,omitempty"`
	ConfigVersion int64    `json:"version,omitempty"`
	Digest        uint32   `json:"digest,omitempty"`
	Members       []string `json:"members,omitempty"`
	Counters      []uint64 `json:"counters,omitempty"`
	AgesMs        []int64  `json:"agesMs,omitempty"`
	Refused       []string `json:"refused,omitempty"`
}

// MarshalJSON encodes a member as "address incarnation" and a row as "address
// incarnation counter", followed by " ageMs" if the age is not 0 or the member
// is stopping, and by " stopping" if the member is stopping. Numbers in these
// strings are in base 36. The field "from" holds the sender's own row if
// Members starts with it, otherwise only the sender.
func (h Heartbeat) MarshalJSON() ([]byte, error) {
	body := heartbeatBody{
		FailureDomain: h.FailureDomain, ConfigVersion: h.ConfigVersion,
		Digest: h.Digest, Counters: h.Counters, AgesMs: h.AgesMs, Refused: h.Refused,
	}
	rows := h.Members
	if len(rows) > 0 && rows[0].Member == h.From {
		body.From = formatRow(rows[0])
		rows = rows[1:]
	} else {
		body.From = formatMember(h.From)
	}
	for _, r := range rows {
		body.Members = append(body.Members, formatRow(r))
	}
	return json.Marshal(body)
}

// UnmarshalJSON decodes the output of MarshalJSON. Unknown fields are errors.
func (h *Heartbeat) UnmarshalJSON(data []byte) error {
	var body heartbeatBody
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&body); err != nil {
		return err
	}
	from, hasOwnRow, err := parseRow(body.From)
	if err != nil {
		return errors.Wrap(err, "from")
	}
	*h = Heartbeat{
		From: from.Member, FailureDomain: body.FailureDomain, ConfigVersion: body.ConfigVersion,
		Digest: body.Digest, Counters: body.Counters, AgesMs: body.AgesMs, Refused: body.Refused,
	}
	if hasOwnRow {
		h.Members = append(h.Members, from)
	}
	for _, text := range body.Members {
		r, hasCounter, err := parseRow(text)
		if err != nil {
			return errors.Wrapf(err, "members: row %q", text)
		}
		if !hasCounter {
			return errors.Newf("members: %q has no counter", text)
		}
		h.Members = append(h.Members, r)
	}
	return nil
}

const (
	rowBase      = 36
	stoppingMark = "stopping"
)

// formatMember encodes a member without a counter, see Heartbeat.MarshalJSON.
func formatMember(m Member) string {
	return m.Address + " " + strconv.FormatUint(m.Incarnation, rowBase)
}

// formatRow encodes a row, see Heartbeat.MarshalJSON.
func formatRow(r MemberState) string {
	text := formatMember(r.Member) + " " + strconv.FormatUint(r.Counter, rowBase)
	if r.AgeMs != 0 || r.Stopping {
		text += " " + strconv.FormatInt(r.AgeMs, rowBase)
	}
	if r.Stopping {
		text += " " + stoppingMark
	}
	return text
}

// parseRow parses a row, or a member without a counter.
func parseRow(text string) (r MemberState, hasCounter bool, err error) {
	parts := strings.Split(text, " ")
	if len(parts) < 2 || len(parts) > 5 || len(parts) == 5 && parts[4] != stoppingMark {
		return r, false, errors.Newf("%q is neither a member nor a row", text)
	}
	r.Member.Address = parts[0]
	if r.Member.Incarnation, err = strconv.ParseUint(parts[1], rowBase, 64); err != nil {
		return r, false, errors.Wrap(err, "incarnation")
	}
	if len(parts) == 2 {
		return r, false, nil
	}
	if r.Counter, err = strconv.ParseUint(parts[2], rowBase, 64); err != nil {
		return r, false, errors.Wrap(err, "counter")
	}
	if len(parts) > 3 {
		if r.AgeMs, err = strconv.ParseInt(parts[3], rowBase, 64); err != nil {
			return r, false, errors.Wrap(err, "age")
		}
	}
	r.Stopping = len(parts) == 5
	return r, true, nil
}

// minimalHeaderTransport sends requests without the header fields that the
// receiver of a heartbeat does not need.
type minimalHeaderTransport struct{ base http.RoundTripper }

// RoundTrip sends a copy of req without these fields.
func (t minimalHeaderTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	minimal := *req
	// An empty User-Agent prevents net/http from adding its default.
	minimal.Header = http.Header{"User-Agent": {""}}
	return t.base.RoundTrip(&minimal)
}

// SendHeartbeat sends a heartbeat to the entry at address (IP:port) and returns its
// reply. It returns the errors of [Client.Call], and an error if the HTTP
// status is 300 or higher.
func (c Client) SendHeartbeat(ctx context.Context, address string, heartbeat Heartbeat) (Heartbeat, error) {
	var reply Heartbeat
	client := Client{Transport: minimalHeaderTransport{c.transport()}}
	status, err := client.Call(ctx, http.MethodPost, "http://"+address+"/peer/v1/heartbeat", heartbeat, &reply)
	if err == nil && status >= http.StatusMultipleChoices {
		err = errors.Newf("heartbeat to %s: status %d", address, status)
	}
	return reply, err
}

// WriteHeartbeat writes h without the header fields that the sender of a
// heartbeat does not need. Write errors are ignored: they mean that the client
// has disconnected.
func WriteHeartbeat(w http.ResponseWriter, h Heartbeat) {
	w.Header()["Date"] = nil
	w.Header()["Content-Type"] = nil
	data, err := json.Marshal(h)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(data)
}
