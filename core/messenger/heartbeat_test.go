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

// Guards against a heartbeat that is decoded with another member, counter or
// age than was sent, and against accepting malformed rows.
func TestHeartbeatCodec(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(17)
	properties := gopter.NewProperties(params)
	row := gopter.CombineGens(gen.Identifier(), gen.UInt64(), gen.UInt64(), gen.Int64Range(0, 1<<40), gen.Bool()).Map(func(v []any) MemberState {
		return MemberState{
			Member:  Member{Address: v[0].(string) + ":7100", Incarnation: v[1].(uint64)},
			Counter: v[2].(uint64), AgeMs: v[3].(int64) % 3, Stopping: v[4].(bool),
		}
	})
	properties.Property("decoding a heartbeat restores it", prop.ForAll(func(rows []MemberState, digest uint32, counters []uint64, hasOwnRow bool) string {
		want := Heartbeat{
			From: Member{Address: "10.0.0.1:7100", Incarnation: 1 << 63}, FailureDomain: "patan", ConfigVersion: 12,
			Digest: digest, Refused: []string{"10.0.0.9:7100"},
		}
		if hasOwnRow && len(rows) > 0 {
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
		if err := DecodeJSONBytes(data, &got); err != nil {
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
		if err := DecodeJSONBytes([]byte(text), &Heartbeat{}); err == nil || err.Kind != BadRequest {
			t.Errorf("%s: got %v, want a bad request", text, err)
		}
	}
}

// Guards against header fields that no receiver needs: they would account for a
// third of the control traffic.
func TestHeartbeatHeaders(t *testing.T) {
	heartbeat := Heartbeat{From: Member{Address: "10.0.0.1:7100", Incarnation: 5}, FailureDomain: "patan"}
	t.Run("request", func(t *testing.T) {
		var headers http.Header
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			headers = r.Header
			WriteHeartbeat(w, heartbeat)
		}))
		t.Cleanup(server.Close)
		client := Client{Transport: NewTransport(1, time.Second)}
		reply, err := client.SendHeartbeat(t.Context(), strings.TrimPrefix(server.URL, "http://"), heartbeat)
		if err != nil || !reflect.DeepEqual(reply, heartbeat) {
			t.Fatalf("got %v, %v", reply, err)
		}
		if len(headers) != 1 || headers.Get("Content-Length") == "" {
			t.Errorf("got header %v, want only Content-Length", headers)
		}
	})
	t.Run("reply", func(t *testing.T) {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { WriteHeartbeat(w, heartbeat) }))
		t.Cleanup(server.Close)
		conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", strings.TrimPrefix(server.URL, "http://"))
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n")
		in := bufio.NewReader(conn)
		var lines []string
		for {
			line, err := in.ReadString('\n')
			if err != nil {
				t.Fatal(err)
			}
			if line == "\r\n" {
				break
			}
			lines = append(lines, strings.TrimSpace(line))
		}
		if len(lines) != 2 || !strings.HasPrefix(lines[1], "Content-Length: ") {
			t.Errorf("got status line and header %q, want only Content-Length", lines)
		}
	})
}

// Guards against treating a failed heartbeat as answered.
func TestBeatErrors(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	address := strings.TrimPrefix(server.URL, "http://")
	client := Client{Transport: NewTransport(1, time.Second)}
	if _, err := client.SendHeartbeat(t.Context(), address, Heartbeat{}); err == nil || errors.Is(err, ErrNotSent) {
		t.Errorf("status 404: error %v", err)
	}
	server.Close()
	// The pooled connection may break while the request is written, which does
	// not prove that nothing arrived. Only a new client, which has to dial, is
	// certain to get ErrNotSent.
	if _, err := client.SendHeartbeat(t.Context(), address, Heartbeat{}); err == nil {
		t.Error("no error although the server is closed")
	}
	client = Client{Transport: NewTransport(1, time.Second)}
	if _, err := client.SendHeartbeat(t.Context(), address, Heartbeat{}); !errors.Is(err, ErrNotSent) {
		t.Errorf("refused connection: error %v is not ErrNotSent", err)
	}
}
