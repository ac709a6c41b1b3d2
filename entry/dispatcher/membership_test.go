package dispatcher

import (
	"testing"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

// TestRefusedHeartbeats guards against a killed broker that is replaced only
// after the suspicion timeout, and against the replacement of one that is slow
// to answer. A refused connection distinguishes the two.
func TestRefusedHeartbeats(t *testing.T) {
	peer := messenger.Member{Address: "127.0.0.1:7002", Incarnation: 12}
	for _, refused := range []bool{true, false} {
		e := newEntry(t)
		e.update(Heard{Heartbeat: messenger.Heartbeat{
			From: peer, FailureDomain: "patan", Members: []messenger.MemberState{{Member: peer, Counter: 1}},
		}})
		if !e.s.isLive(peer) {
			t.Fatal("the peer is not live")
		}
		for range 2 {
			e.update(BeatFailed{Address: peer.Address, Refused: refused})
		}
		if e.s.isLive(peer) == refused {
			t.Errorf("heartbeats refused %t: peer is live %t", refused, e.s.isLive(peer))
		}
	}
}
