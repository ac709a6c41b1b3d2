package elector

import "time"

// Msg is an input event of [State.Update].
type Msg interface{ isMsg() }

// AddressesFound adds entry addresses from the settings.
type AddressesFound struct{ Addresses []string }

// MembersFound adds entries from the store.
type MembersFound struct{ Members []Member }

// GroupAssigned sets the worker group of this entry: the workers whose owner it
// helps to elect and, if CanOwn is set, can become. No owner is elected before it
// arrives. FailureDomain is the failure domain of the group, or empty if the group
// spans all of them.
type GroupAssigned struct {
	Group, FailureDomain string
	CanOwn               bool
}

// PingReceived reports a ping from another entry.
type PingReceived struct{ View View }

// PingAnswered reports the reply to a [Ping].
type PingAnswered struct{ View View }

// PingFailed reports a [Ping] without a reply. Refused is set if nothing
// listens on the address.
type PingFailed struct {
	Address string
	Refused bool
}

// WorkerTakenOver reports that another owner took over a worker of this one.
type WorkerTakenOver struct{}

// Drain starts a planned stop.
type Drain struct{}

// ProcessResumed reports that the process was suspended.
type ProcessResumed struct{}

// Tick advances time. WallMs is the wall clock in Unix milliseconds.
type Tick struct{ WallMs int64 }

func (AddressesFound) isMsg()  {}
func (MembersFound) isMsg()    {}
func (GroupAssigned) isMsg()   {}
func (PingReceived) isMsg()    {}
func (PingAnswered) isMsg()    {}
func (PingFailed) isMsg()      {}
func (WorkerTakenOver) isMsg() {}
func (Drain) isMsg()           {}
func (ProcessResumed) isMsg()  {}
func (Tick) isMsg()            {}

// Cmd is an effect requested by [State.Update].
type Cmd interface{ isCmd() }

// Ping sends this entry's view to another entry.
type Ping struct{ Address string }

// Claim makes this entry the owner of the workers, or makes an owner reclaim the
// workers that another owner took over. Contested is set if only this entry or
// at most half of the entries were heard, so that the others may have an owner
// too.
type Claim struct {
	WallMs    int64
	Contested bool
	// Heard and Known are the counts of entries heard recently and known,
	// including this one.
	Heard, Known int
	// PreviousOwnerHeardAt is a time at which the previous owner was still alive, and
	// before which no run that may still be in progress lost its job, or zero if none is
	// known.
	PreviousOwnerHeardAt time.Time
}

// Release gives up the workers. Moved is set if another owner takes over the
// jobs at once.
type Release struct {
	Moved  bool
	Reason string
}

// EntryLost reports that an entry has sent this owner no ping for entryTimeout.
// OtherGroup is set for an entry of another worker group. Such an entry pings
// this owner only while a job of its callers runs here.
type EntryLost struct {
	Address    string
	OtherGroup bool
}

// OwnerChanged reports the entry to which jobs are sent from now on. Address is
// empty if there is none.
type OwnerChanged struct{ Address, Previous, Reason string }

func (Ping) isCmd()         {}
func (Claim) isCmd()        {}
func (Release) isCmd()      {}
func (EntryLost) isCmd()    {}
func (OwnerChanged) isCmd() {}
