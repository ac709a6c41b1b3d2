package messenger

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// Guards against a row that means another member or counter after it was sent.
func TestHeartbeatCodec(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(17)
	properties := gopter.NewProperties(params)
	row := gopter.CombineGens(gen.Identifier(), gen.UInt64(), gen.UInt64(), gen.Int64Range(0, 1<<40), gen.Bool()).Map(func(v []any) MemberState {
		return MemberState{
			Member:  Member{Address: v[0].(string) + ":7100", Incarnation: v[1].(uint64)},
			Counter: v[2].(uint64), AgeMs: v[3].(int64) % 3, Stopping: v[4].(bool),
		}
	})
	properties.Property("a heartbeat is read as it was written", prop.ForAll(func(rows []MemberState, digest uint32, counters []uint64, own bool) string {
		want := Heartbeat{
			From: Member{Address: "10.0.0.1:7100", Incarnation: 1 << 63}, FailureDomain: "patan", ConfigVersion: 12,
			Digest: digest, Refused: []string{"10.0.0.9:7100"},
		}
		if own && len(rows) > 0 {
			want.From = rows[0].Member
		}
		if len(rows) > 0 {
			want.Members = rows
		}
		if len(counters) > 0 {
			want.Counters, want.AgesMs = counters, make([]int64, len(counters))
		}
		data, err := json.Marshal(want)
		if err != nil {
			return err.Error()
		}
		var got Heartbeat
		if err := DecodeBytes(data, &got); err != nil {
			return err.Message
		}
		if !reflect.DeepEqual(got, want) {
			return string(data)
		}
		return ""
	}, gen.SliceOf(row), gen.UInt32(), gen.SliceOf(gen.UInt64()), gen.Bool()))
	properties.TestingRun(t)

	for _, text := range []string{
		`{}`, `{"from":""}`, `{"from":"a"}`, `{"from":"a !"}`, `{"from":"a 1 !"}`, `{"from":"a 1 2 !"}`, `{"from":"a 1 2 3 leaving"}`,
		`{"from":"a 1 2 3 stopping 4"}`, `{"from":"a 1","members":["b 1"]}`, `{"from":"a 1","members":["b  2"]}`, `{"from":"a 1","odd":1}`,
	} {
		if err := DecodeBytes([]byte(text), &Heartbeat{}); err == nil || err.Kind != BadRequest {
			t.Errorf("%s: got %v, want a bad request", text, err)
		}
	}
}

// Header fields that nobody reads would take a third of the control traffic.
func TestHeartbeatHead(t *testing.T) {
	beat := Heartbeat{From: Member{Address: "10.0.0.1:7100", Incarnation: 5}, FailureDomain: "patan"}
	t.Run("of the request", func(t *testing.T) {
		var fields http.Header
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			fields = r.Header
			ReplyHeartbeat(w, beat)
		}))
		t.Cleanup(server.Close)
		client := Client{Transport: NewTransport(1, time.Second)}
		reply, err := client.Beat(t.Context(), strings.TrimPrefix(server.URL, "http://"), beat)
		if err != nil || !reflect.DeepEqual(reply, beat) {
			t.Fatalf("got %v, %v", reply, err)
		}
		if len(fields) != 1 || fields.Get("Content-Length") == "" {
			t.Errorf("got the fields %v, want only the length", fields)
		}
	})
	t.Run("of the reply", func(t *testing.T) {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { ReplyHeartbeat(w, beat) }))
		t.Cleanup(server.Close)
		conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", strings.TrimPrefix(server.URL, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n")
		in := bufio.NewReader(conn)
		var head []string
		for {
			line, err := in.ReadString('\n')
			if err != nil {
				t.Fatal(err)
			}
			if line == "\r\n" {
				break
			}
			head = append(head, strings.TrimSpace(line))
		}
		if len(head) != 2 || !strings.HasPrefix(head[1], "Content-Length: ") {
			t.Errorf("got the head %q, want only the length", head)
		}
	})
}

// Guards against a failed heartbeat that is taken for one that was answered.
func TestBeatFails(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	address := strings.TrimPrefix(server.URL, "http://")
	client := Client{Transport: NewTransport(1, time.Second)}
	if _, err := client.Beat(t.Context(), address, Heartbeat{}); err == nil || errors.Is(err, ErrNotSent) {
		t.Errorf("status 404: error %v", err)
	}
	server.Close()
	// A pooled connection breaks while the request is written, which does not
	// prove that nothing arrived: a new client has to dial.
	if _, err := client.Beat(t.Context(), address, Heartbeat{}); err == nil {
		t.Error("a closed server answered")
	}
	client = Client{Transport: NewTransport(1, time.Second)}
	if _, err := client.Beat(t.Context(), address, Heartbeat{}); !errors.Is(err, ErrNotSent) {
		t.Errorf("refused connection: error %v is not ErrNotSent", err)
	}
}
