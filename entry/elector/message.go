package elector

// Msg is an event for [State.Update].
type Msg interface{ isMsg() }

// Known adds addresses from the settings or the store.
type Known struct{ Addresses []string }

// Grouped tells which group of workers this entry takes part in owning: all,
// or those of its failure domain. There is no owner before it is known.
type Grouped struct{ Group string }

// Called is a call by another entry.
type Called struct{ View View }

// Answered is the answer to [Ping].
type Answered struct{ View View }

// Unanswered is a ping without an answer. Refused tells that nothing listens.
type Unanswered struct {
	Address string
	Refused bool
}

// Deposed tells that another owner took a worker of this one.
type Deposed struct{}

// Drain begins the planned stop.
type Drain struct{}

// Resumed tells that the process stood still.
type Resumed struct{}

// Tick lets time pass. WallMs is the wall clock in Unix milliseconds.
type Tick struct{ WallMs int64 }

func (Known) isMsg()      {}
func (Grouped) isMsg()    {}
func (Called) isMsg()     {}
func (Answered) isMsg()   {}
func (Unanswered) isMsg() {}
func (Deposed) isMsg()    {}
func (Drain) isMsg()      {}
func (Resumed) isMsg()    {}
func (Tick) isMsg()       {}

// Cmd is an effect that [State.Update] asks for.
type Cmd interface{ isCmd() }

// Ping calls an entry.
type Ping struct{ Address string }

// Own makes this entry the owner of the workers, or has it claim again those
// that were taken.
type Own struct {
	WallMs    int64
	Contested bool
	// Heard and Known count entries, this one included.
	Heard, Known int
}

// Disown gives the workers up; with Moved to a successor that knows.
type Disown struct {
	Moved  bool
	Reason string
}

// Lost tells that an entry was not heard for too long.
type Lost struct{ Address string }

// OwnerChanged tells where jobs go from now on; empty for nowhere.
type OwnerChanged struct{ Address, Before, Reason string }

func (Ping) isCmd()         {}
func (Own) isCmd()          {}
func (Disown) isCmd()       {}
func (Lost) isCmd()         {}
func (OwnerChanged) isCmd() {}
