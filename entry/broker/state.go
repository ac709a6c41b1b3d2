// Package broker decides which task starts on which target in one failure
// domain. It is a reducer: [State.Update] takes one event and returns effects
// as data.
package broker

import (
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

// State is the broker's memory. Make one with [New].
type State struct {
	Self     messenger.Member
	Settings Settings
}

// New returns the state of the entry self.
func New(self messenger.Member, settings Settings) *State {
	return &State{Self: self, Settings: settings.WithDefaults()}
}

// Update takes one event at the time now and returns the effects it asks for.
func (s *State) Update(now time.Time, msg Msg) []Cmd {
	_, _ = now, msg
	return nil
}

// Services reports the state of the services that this entry brokers.
func (s *State) Services() []messenger.ServiceState { return nil }
