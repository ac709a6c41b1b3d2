package runner

import (
	"testing"

	"github.com/godwitrelay/godwitrelay/entry/dispatcher"
)

// Guards against a loop that blocks for good on a second reply to a waiter that
// has taken the first.
func TestSecondReply(t *testing.T) {
	var r Runner
	r.Init()
	ch := make(chan any, 1)
	r.waiters.Store(dispatcher.Waiter(1), ch)
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.perform(dispatcher.Reply{Waiter: 1, Value: "first"})
		r.perform(dispatcher.Reply{Waiter: 1, Value: "second"})
	}()
	<-done
	if v := <-ch; v != "first" {
		t.Errorf("got %v", v)
	}
}
