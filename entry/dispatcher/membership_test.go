package dispatcher

import (
	"testing"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

// A broker whose process was killed must be replaced before the time of
// suspicion ends, one that is slow to answer must not.
func TestRefusedHeartbeats(t *testing.T) {
	peer := messenger.Member{Address: "127.0.0.1:7002", Incarnation: 12}
	for _, refused := range []bool{true, false} {
		e := newEntry(t)
		e.do(Heard{Heartbeat: messenger.Heartbeat{
			From: peer, FailureDomain: "patan", Members: []messenger.MemberState{{Member: peer, Counter: 1}},
		}})
		if !e.s.live(peer) {
			t.Fatal("the peer is not live")
		}
		for range 2 {
			e.do(BeatFailed{Address: peer.Address, Refused: refused})
		}
		if e.s.live(peer) == refused {
			t.Errorf("refused %t: live %t", refused, e.s.live(peer))
		}
	}
}
