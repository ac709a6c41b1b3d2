package gossiper_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/entry/gossiper"
)

// messageKind is a request or a response. headBytes is the size of the start
// line and the header that the client and the listener of entries write,
// defaultHeadBytes of those that net/http writes by default.
type messageKind struct{ headBytes, defaultHeadBytes int }

// noContent is a complete response without a body. Its size is used for
// traffic.bytesNoContent.
const noContent = "HTTP/1.1 204 No Content\r\n\r\n"

var (
	request  = messageKind{requestHeadBytes(http.Header{"User-Agent": {""}}), requestHeadBytes(http.Header{"Content-Type": {"application/json"}})}
	response = messageKind{
		len("HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n"),
		len("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nDate: Thu, 01 Jan 1970 00:00:00 GMT\r\nContent-Length: 400\r\n\r\n"),
	}
)

func requestHeadBytes(header http.Header) int {
	body := bytes.Repeat([]byte("x"), 400)
	r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+address(0)+"/peer/v1/heartbeat", bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	r.Header = header
	var out bytes.Buffer
	if err := r.Write(&out); err != nil {
		panic(err)
	}
	return out.Len() - len(body)
}

var sizes = []int{2, 3, 4, 5, 8, 12, 16, 32, 64}

// BenchmarkTraffic reports what one entry sends per second in a failure domain
// of n entries that have found each other, and how often entries change their
// lists of live members per minute although all are live. The design allows
// 4096 bytes per second for all control traffic.
func BenchmarkTraffic(b *testing.B) {
	const minutes = 5
	for _, n := range sizes {
		for _, loss := range []int{0, 1, 5} {
			b.Run(fmt.Sprintf("members=%d/loss=%d", n, loss), func(b *testing.B) {
				for b.Loop() {
					w := newNetworkWith(n, float64(loss)/100, 1, benchSettings(b))
					w.advance(10 * time.Second)
					before := w.totalChanges()
					sent := w.measureTraffic(minutes * time.Minute)
					per := float64(n * minutes * 60)
					b.ReportMetric(float64(sent.messages)/per, "messages/s/node")
					b.ReportMetric(float64(sent.bytes)/per, "bytes/s/node")
					b.ReportMetric(float64(sent.bytesDefaultHead)/per, "bytesDefaultHead/s/node")
					b.ReportMetric(float64(sent.bytesNoContent)/per, "bytesWith204/s/node")
					b.ReportMetric(float64(w.totalChanges()-before)/minutes, "changes/min")
				}
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

// BenchmarkFailureDetection reports how long an entry takes to detect that
// another one died. With refuses=false the whole VM is gone and connections time
// out; with refuses=true only the process is gone and its VM refuses
// connections.
func BenchmarkFailureDetection(b *testing.B) {
	const rounds = 20
	for _, refuses := range []bool{false, true} {
		for _, n := range sizes {
			b.Run(fmt.Sprintf("refuses=%t/members=%d", refuses, n), func(b *testing.B) {
				var times []float64
				for b.Loop() {
					times = times[:0]
					for seed := range uint64(rounds) {
						w := newNetworkWith(n, 0, seed, benchSettings(b))
						w.advance(10*time.Second + time.Duration(seed)*25*time.Millisecond)
						w.nodes[0].down, w.nodes[0].refuses = true, refuses
						times = append(times, w.detectionTimes(0)...)
					}
				}
				slices.Sort(times)
				b.ReportMetric(times[len(times)/2], "median-ms")
				b.ReportMetric(times[len(times)-1], "worst-ms")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

// benchSettings returns the settings for a benchmark: those in the environment
// variable GOSSIPER, as JSON, or the defaults. It allows other settings to be
// compared with the defaults.
func benchSettings(b *testing.B) (s gossiper.Settings) {
	b.Helper()
	if text := os.Getenv("GOSSIPER"); text != "" {
		if err := json.Unmarshal([]byte(text), &s); err != nil {
			b.Fatal(err)
		}
	}
	return s
}

// BenchmarkUpdate measures single events in a failure domain of 32 entries and,
// in Second, an upper bound for the load of one entry in one second: 200 ticks
// (the runner sends 50) and 25 received heartbeats with their replies. The design
// allows 1.2 percent of a core, 12 ms.
func BenchmarkUpdate(b *testing.B) {
	const members = 32
	newFullDomain := func() (*gossiper.State, func(now time.Time)) {
		s := gossiper.New(member(0, 1), domain, gossiper.Settings{}, 1)
		h := messenger.Heartbeat{From: member(1, 1), FailureDomain: domain}
		for i := range members - 1 {
			h.Members = append(h.Members, memberState(i+1, 1, 0))
		}
		return s, func(now time.Time) {
			for i := range h.Members {
				h.Members[i].Counter++
			}
			s.Update(now, gossiper.HeartbeatReceived{Heartbeat: h})
		}
	}
	b.Run("Tick", func(b *testing.B) {
		s, receive := newFullDomain()
		receive(start)
		b.ReportAllocs()
		for b.Loop() {
			s.Update(start, gossiper.Tick{})
		}
	})
	b.Run("Heard", func(b *testing.B) {
		_, receive := newFullDomain()
		b.ReportAllocs()
		for b.Loop() {
			receive(start)
		}
	})
	b.Run("Second", func(b *testing.B) {
		s, receive := newFullDomain()
		now := start
		b.ReportAllocs()
		for b.Loop() {
			for tick := range 200 {
				now = now.Add(5 * time.Millisecond)
				if tick%8 == 0 {
					receive(now)
					s.Reply(now, messenger.Heartbeat{From: member(1, 1), FailureDomain: domain})
				}
				s.Update(now, gossiper.Tick{})
			}
		}
		if n := len(s.Members()); n != members {
			b.Fatalf("%d members, want %d", n, members)
		}
	})
}
