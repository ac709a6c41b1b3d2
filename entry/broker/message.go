package broker

import (
	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/core/planner"
)

// Msg is an event that [State.Update] takes.
type Msg interface{ brokerMsg() }

// Slots is a message from an entry, this one included: requests for slots,
// releases, cancellations, or a registration in full.
type Slots struct{ Request messenger.SlotsRequest }

// Configure puts a configuration in force. Domain is the own failure domain.
type Configure struct {
	Configuration planner.Configuration
	Domain        string
}

// Assign tells which services this entry is the broker of, and the live
// members of the failure domain, this entry included.
type Assign struct {
	Services []string
	Members  []messenger.Member
}

// Targets is the platform's present list of targets of the failure domain. A
// target that is missing from the list stays usable while it answers.
type Targets struct{ VMs []messenger.VM }

// Probed is the result of a [Probe]: the target's status, or Failed.
type Probed struct {
	Target string
	Status messenger.TargetStatus
	Failed bool
}

// Usage is the platform's total of slot milliseconds used by a service in the
// present day, over all failure domains.
type Usage struct {
	Service string
	SlotMs  int64
}

// Undelivered tells that a [Send] may not have reached the entry To. The entry
// is asked to register in full, which settles what became of the grants.
type Undelivered struct{ To messenger.Member }

// Tick lets time pass: leases end, jobs pass their deadlines, probes fall due.
type Tick struct{}

func (Slots) brokerMsg()       {}
func (Configure) brokerMsg()   {}
func (Assign) brokerMsg()      {}
func (Targets) brokerMsg()     {}
func (Probed) brokerMsg()      {}
func (Usage) brokerMsg()       {}
func (Undelivered) brokerMsg() {}
func (Tick) brokerMsg()        {}

// Cmd is an effect that [State.Update] asks for.
type Cmd interface{ brokerCmd() }

// Send carries grants and refusals to an entry. Several for the same entry may
// travel in one message. NeedFull asks the entry to register in full.
type Send struct {
	To       messenger.Member
	NeedFull bool
	Grants   []messenger.Grant
	Refusals []messenger.SlotRefusal
}

// Probe asks for the status of a target.
type Probe struct{ Target string }

// Count adds one to the counter of a reason. Group is "refusal", "retry" or
// "target".
type Count struct {
	Group  string
	Reason string
}

func (Send) brokerCmd()  {}
func (Probe) brokerCmd() {}
func (Count) brokerCmd() {}
