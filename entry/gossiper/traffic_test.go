package gossiper_test

import (
	"bytes"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/entry/gossiper"
)

// requestHead and replyHead are the bytes of HTTP around the body of a
// heartbeat and of its reply.
var requestHead, replyHead = heads()

func heads() (request, reply int) {
	body := bytes.Repeat([]byte("x"), 400)
	r, err := http.NewRequest(http.MethodPost, "http://"+address(0)+"/peer/v1/heartbeat", bytes.NewReader(body)) //nolint:noctx // It is only written to a buffer.
	if err != nil {
		panic(err)
	}
	r.Header.Set("Content-Type", "application/json")
	var out bytes.Buffer
	if err := r.Write(&out); err != nil {
		panic(err)
	}
	const answer = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nDate: Thu, 01 Jan 1970 00:00:00 GMT\r\nContent-Length: 400\r\n\r\n"
	return out.Len() - len(body), len(answer)
}

// BenchmarkTraffic prints what one entry sends per second in a failure domain
// of n entries that have found each other, and how often an entry wrongly
// suspects another within a minute when 5 percent of the messages are lost.
// The design allows 4096 bytes per second for all control traffic.
func BenchmarkTraffic(b *testing.B) {
	const seconds = 60
	for _, n := range []int{2, 4, 8, 16, 32} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			for b.Loop() {
				w := newNetwork(n, 0, 1)
				w.pass(10 * time.Second)
				w.messages, w.bytes, w.bodies = 0, 0, 0
				w.pass(seconds * time.Second)
				per := float64(n * seconds)
				b.ReportMetric(float64(w.messages)/per, "messages/s/node")
				b.ReportMetric(float64(w.bytes)/per, "bytes/s/node")
				b.ReportMetric(float64(w.bodies)/per, "bodyBytes/s/node")
				lossy := newNetwork(n, 0.05, 1)
				lossy.pass(10 * time.Second)
				before := 0
				for _, x := range lossy.nodes {
					before -= x.changes
				}
				lossy.pass(seconds * time.Second)
				for _, x := range lossy.nodes {
					before += x.changes
				}
				b.ReportMetric(float64(before), "changes")
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkUpdate measures one event in a failure domain of 32 entries.
// Second is what one entry handles in a second there: 200 ticks, and 25
// heartbeats with their replies. The design allows 1.2 percent of a core, 12 ms.
func BenchmarkUpdate(b *testing.B) {
	const members = 32
	newBusy := func() (*gossiper.State, func(now time.Time)) {
		s := gossiper.New(member(0, 1), domain, gossiper.Settings{}, 1)
		h := messenger.Heartbeat{From: member(1, 1), FailureDomain: domain}
		for i := range members - 1 {
			h.Members = append(h.Members, at(i+1, 1, 0))
		}
		return s, func(now time.Time) {
			for i := range h.Members {
				h.Members[i].Counter++
			}
			s.Update(now, gossiper.Heard{Heartbeat: h})
		}
	}
	b.Run("Tick", func(b *testing.B) {
		s, hear := newBusy()
		hear(start)
		b.ReportAllocs()
		for b.Loop() {
			s.Update(start, gossiper.Tick{})
		}
	})
	b.Run("Heard", func(b *testing.B) {
		_, hear := newBusy()
		b.ReportAllocs()
		for b.Loop() {
			hear(start)
		}
	})
	b.Run("Second", func(b *testing.B) {
		s, hear := newBusy()
		now := start
		b.ReportAllocs()
		for b.Loop() {
			for tick := range 200 {
				now = now.Add(5 * time.Millisecond)
				if tick%8 == 0 {
					hear(now)
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
