package broker

import (
	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/core/planner"
)

// Msg is an event handled by [State.Update].
type Msg interface{ brokerMsg() }

// SlotsReceived is a message from an entry, including this one: slot requests,
// releases, cancellations, or a registration.
type SlotsReceived struct{ Request messenger.SlotsRequest }

// ConfigurationChanged applies a configuration. FailureDomain is that of the
// broker.
type ConfigurationChanged struct {
	Configuration planner.Configuration
	FailureDomain string
}

// ServicesAssigned sets the services for which this entry is the broker, and
// the live members of the failure domain, including this entry.
type ServicesAssigned struct {
	Services []string
	Members  []messenger.Member
}

// TargetsListed is the platform's current list of targets in the failure
// domain. A target that is missing from the list stays usable while it replies.
type TargetsListed struct{ VMs []messenger.VM }

// Probed is the result of a [Probe]: the target's status, or Failed if there
// was no reply.
type Probed struct {
	Target string
	Status messenger.TargetStatus
	Failed bool
}

// UsageReported is the platform's total of slot milliseconds that a service has
// used on the current day, across all failure domains.
type UsageReported struct {
	Service string
	SlotMs  int64
}

// SendFailed reports that a [Send] may not have reached the entry To. The
// broker asks the entry for a registration, which shows which grants it received.
type SendFailed struct{ To messenger.Member }

// Tick advances the clock: it frees expired grants of holders that have left,
// refuses jobs that can no longer meet their deadline, and requests due probes.
type Tick struct{}

func (SlotsReceived) brokerMsg()        {}
func (ConfigurationChanged) brokerMsg() {}
func (ServicesAssigned) brokerMsg()     {}
func (TargetsListed) brokerMsg()        {}
func (Probed) brokerMsg()               {}
func (UsageReported) brokerMsg()        {}
func (SendFailed) brokerMsg()           {}
func (Tick) brokerMsg()                 {}

// Cmd is an effect returned by [State.Update] for the caller to carry out.
type Cmd interface{ brokerCmd() }

// Send delivers grants and refusals to an entry. Several Sends to the same entry
// may be combined into one message. NeedRegistration asks the entry for a
// registration.
type Send struct {
	To               messenger.Member
	NeedRegistration bool
	Grants           []messenger.Grant
	Refusals         []messenger.SlotRefusal
}

// Probe requests the status of a target.
type Probe struct{ Target string }

// Count increments the counter for Reason in one group of metrics: "refusal",
// "retry" or "target".
type Count struct {
	Group  string
	Reason string
}

func (Send) brokerCmd()  {}
func (Probe) brokerCmd() {}
func (Count) brokerCmd() {}
