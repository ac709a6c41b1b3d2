package broker

import (
	"fmt"
	"testing"
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/core/planner"
)

var (
	self  = messenger.Member{Address: "127.0.0.1:1", Incarnation: 11}
	other = messenger.Member{Address: "127.0.0.1:2", Incarnation: 22}
	epoch = time.Unix(1_000_000, 0)
)

// testConfiguration returns a configuration with one service and two teams. Each
// team may use all slots of the service.
func testConfiguration(slots int) planner.Configuration {
	return planner.Configuration{
		BudgetSlots:    slots,
		FailureDomains: []string{"a"},
		Services: map[string]planner.Service{"orders": {Slots: slots, RequestTypes: map[string]planner.RequestType{
			"check": {Priority: messenger.Urgent, MaxRunMs: 1000},
			"batch": {Priority: messenger.Bulk, MaxRunMs: 1000},
		}}},
		Teams: map[string]planner.Team{"red": {Slots: slots}, "blue": {Slots: slots}},
	}
}

// testBroker is a broker with the entries self and other registered.
type testBroker struct {
	*State
	at       time.Time
	sequence map[messenger.Member]uint64
}

func newTestBroker(c planner.Configuration, settings Settings, targets, slots int) *testBroker {
	b := &testBroker{State: New(self, settings), at: epoch, sequence: map[messenger.Member]uint64{}}
	b.do(ConfigurationChanged{Configuration: c, FailureDomain: "a"})
	b.do(ServicesAssigned{Services: []string{"orders"}, Members: []messenger.Member{self, other}})
	b.do(TargetsListed{VMs: testTargets(targets, slots)})
	b.receive(self, messenger.SlotsRequest{Full: true})
	b.receive(other, messenger.SlotsRequest{Full: true})
	return b
}

func testTargets(n, slots int) []messenger.VM {
	vms := make([]messenger.VM, n)
	for i := range vms {
		vms[i] = messenger.VM{Role: messenger.TargetVM, Address: fmt.Sprintf("10.0.0.%d:80", i+1), FailureDomain: "a", Service: "orders", Slots: slots, MemoryMB: 1000}
	}
	return vms
}

func (b *testBroker) do(m Msg) []Cmd { return b.Update(b.at, m) }

// receive passes a message from the member to the broker, with the next sequence
// number.
func (b *testBroker) receive(m messenger.Member, r messenger.SlotsRequest) []Cmd {
	b.sequence[m]++
	r.From, r.Sequence = m, b.sequence[m]
	return b.do(SlotsReceived{r})
}

func testRequest(id, requestType string, tasks int) messenger.SlotRequest {
	r := messenger.SlotRequest{JobID: id, Service: "orders", RequestType: requestType, Team: "red", Priority: messenger.Urgent, DeadlineInMs: 10_000, DeclaredRunMs: 100}
	for i := range tasks {
		r.Tasks = append(r.Tasks, i)
	}
	return r
}

// collectSent returns the grants, refusals and registration requests in the
// commands.
func collectSent(cmds []Cmd) (grants []messenger.Grant, refusals []messenger.SlotRefusal, needRegistration []messenger.Member) {
	for _, c := range cmds {
		if s, ok := c.(Send); ok {
			grants, refusals = append(grants, s.Grants...), append(refusals, s.Refusals...)
			if s.NeedRegistration {
				needRegistration = append(needRegistration, s.To)
			}
		}
	}
	return grants, refusals, needRegistration
}

// TestNeedFull guards against applying a message twice, and against applying a
// message for another incarnation or from a sender that has not registered.
func TestNeedFull(t *testing.T) {
	b := newTestBroker(testConfiguration(100), Settings{}, 1, 2)
	request := []messenger.SlotRequest{testRequest("j", "check", 1)}
	stranger := messenger.Member{Address: "127.0.0.1:3", Incarnation: 33}
	cases := map[string]messenger.SlotsRequest{
		"repeat":       {From: self, Sequence: 1, Requests: request},
		"unknown":      {From: stranger, Sequence: 1, Requests: request},
		"misaddressed": {From: self, To: 99, Sequence: 9, Requests: request},
	}
	for name, r := range cases {
		t.Run(name, func(t *testing.T) {
			grants, refusals, needRegistration := collectSent(b.do(SlotsReceived{r}))
			if len(grants)+len(refusals) != 0 || len(needRegistration) != 1 || needRegistration[0] != r.From {
				t.Fatalf("got %v, %v, %v, want only a request for a registration", grants, refusals, needRegistration)
			}
		})
	}
}
