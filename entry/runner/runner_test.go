package runner

import (
	"testing"

	"github.com/godwitrelay/godwitrelay/entry/dispatcher"
)

// TestSecondReply guards against an event loop that blocks forever on a second
// reply to a waiter that has received the first.
func TestSecondReply(t *testing.T) {
	var r Runner
	r.Init()
	ch := make(chan any, 1)
	r.waiters.Store(dispatcher.Waiter(1), ch)
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.execute(dispatcher.Reply{Waiter: 1, Value: "first"})
		r.execute(dispatcher.Reply{Waiter: 1, Value: "second"})
	}()
	<-done
	if v := <-ch; v != "first" {
		t.Errorf("got reply %v, want the first", v)
	}
}
