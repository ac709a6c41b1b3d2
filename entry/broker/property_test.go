package broker

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

// step encodes one generated event: the low bits select its kind, the others its
// arguments.
type step uint32

var outcomes = []messenger.GrantOutcome{
	messenger.GrantDone, messenger.GrantDone, messenger.GrantFailed, messenger.GrantLost, messenger.GrantUnreachable,
	messenger.GrantBusy, messenger.GrantLeaving, messenger.GrantUnused,
}

func (w *world) step(s step) {
	kind, a, b, c := s%20, int(s>>5%64), int(s>>11%64), int(s>>17%64)
	e := w.entries[a%len(w.entries)]
	vm := &w.vms[b%len(w.vms)]
	switch {
	case kind < 5:
		w.submit(e, b, c)
	case kind < 11:
		w.finish(e, b, outcomes[c%len(outcomes)])
	case kind == 11:
		w.cancel(e, b)
	case kind == 12:
		e.needRegistration = true
	case kind == 13 && e.lastRequest != nil && e.alive:
		w.transmit(e, *e.lastRequest)
	case kind == 14:
		e.delayNextRequest, e.loseNextSend, e.delaySends = b%4 == 0, b%4 == 1, b%4 >= 2
		if !e.delaySends {
			w.deliverLate(e)
		}
	case kind == 15 && a%len(w.entries) != 0:
		e.alive = !e.alive
		w.assign(true)
	case kind == 16:
		if c%2 == 0 {
			vm.Leaving = !vm.Leaving
			w.update(TargetsListed{VMs: slices.Clone(w.vms)})
		} else {
			w.unreachable[vm.Address] = !w.unreachable[vm.Address]
		}
	case kind == 17 && c%4 == 0:
		w.assign(false)
		w.assign(true)
	default:
		w.at = w.at.Add(time.Duration(20+b*10) * time.Millisecond)
		w.update(Tick{})
	}
	w.sendRegistrations()
}

// deliverLate delivers the messages that were held back. A message held back as
// long as a tombstone lasts counts as lost, as after a timeout.
func (w *world) deliverLate(e *entry) {
	e.delaySends = false
	late := e.lateSends
	e.lateSends = nil
	for _, c := range late {
		if w.at.Sub(c.at).Milliseconds() < tombstoneTTLMs {
			w.receive(e, c.Send)
		} else {
			w.update(SendFailed{To: e.member})
		}
	}
}

// sendRegistrations lets entries answer requests for a registration.
func (w *world) sendRegistrations() {
	for range 5 {
		for _, e := range w.entries {
			if e.alive && e.needRegistration {
				w.register(e)
			}
		}
	}
}

func (w *world) submit(e *entry, b, c int) {
	if !e.alive {
		return
	}
	w.jobCount++
	r := testRequest(fmt.Sprint("job", w.jobCount), []string{"check", "batch"}[b%2], 1+c%5)
	r.Team = []string{"red", "blue"}[b>>1%2]
	r.DeadlineInMs = int64(500 + 300*(c%40))
	if b%8 == 7 {
		r.DeclaredMemoryMB = 2000
	}
	if b%2 == 1 {
		r.Priority = messenger.Bulk
	}
	e.jobs = append(e.jobs, &entryJob{SlotRequest: r, waiting: slices.Clone(r.Tasks), deadline: w.at.Add(time.Duration(r.DeadlineInMs+1) * time.Millisecond)})
	w.send(e, messenger.SlotsRequest{Requests: []messenger.SlotRequest{r}})
}

func (w *world) finish(e *entry, b int, outcome messenger.GrantOutcome) {
	if !e.alive || len(e.heldGrants) == 0 {
		return
	}
	i := b % len(e.heldGrants)
	g := e.heldGrants[i]
	e.heldGrants = slices.Delete(e.heldGrants, i, i+1)
	j := e.job(g.JobID)
	if w.unreachable[g.Target] {
		outcome = messenger.GrantUnreachable
	}
	r := messenger.Release{Grant: g, Team: j.Team, RequestType: j.RequestType, Outcome: outcome, RunMs: int64(50 + b)}
	r.Requeue = !startedOutcome(outcome) && !j.refused && !j.canceled
	if r.Requeue {
		j.waiting = append(j.waiting, g.Task)
	}
	if outcome == messenger.GrantBusy {
		r.Status = &messenger.TargetStatus{Slots: 2, InFlight: 2}
	}
	w.send(e, messenger.SlotsRequest{Releases: []messenger.Release{r}})
}

func (w *world) cancel(e *entry, b int) {
	if !e.alive || len(e.jobs) == 0 {
		return
	}
	j := e.jobs[b%len(e.jobs)]
	j.canceled, j.waiting = true, nil
	delayed := e.delayedRequest != nil || e.delayNextRequest
	w.send(e, messenger.SlotsRequest{Cancels: []string{j.JobID}})
	if !delayed && e.registered {
		w.forbidGrants(j.JobID, foreverMs)
	}
}

// drain ends all faults, lets all tasks finish and checks that no task was lost
// and no job, grant or slot remains.
func (w *world) drain() {
	clear(w.unreachable)
	for i := range w.vms {
		w.vms[i].Leaving = false
	}
	for _, e := range w.entries {
		e.delayNextRequest, e.loseNextSend = false, false
		w.deliverLate(e)
		w.send(e, messenger.SlotsRequest{Full: false})
	}
	w.update(TargetsListed{VMs: w.vms})
	for range 300 {
		w.sendRegistrations()
		for _, e := range w.entries {
			for e.alive && len(e.heldGrants) > 0 {
				w.finish(e, 0, messenger.GrantDone)
			}
		}
		w.at = w.at.Add(200 * time.Millisecond)
		w.update(Tick{})
	}
	state := w.broker.Services()[0]
	if state.InUse+state.Waiting != 0 {
		w.violation("%d slots in use and %d tasks waiting at the end", state.InUse, state.Waiting)
	}
	for _, e := range w.entries {
		for _, j := range e.jobs {
			if e.alive && len(j.waiting) > 0 {
				w.violation("tasks %v of job %s were lost", j.waiting, j.JobID)
			}
		}
	}
	if n := len(w.broker.jobs) + len(w.broker.grants); n != 0 {
		w.violation("%d jobs and grants left at the end", n)
	}
}

// TestInvariants guards against wrong slot counts, tasks granted twice or not at
// all, and grants above a limit. It checks random sequences of events, with
// messages lost, delayed, repeated and reordered, and that every sequence gives
// the same commands when it is run again.
func TestInvariants(t *testing.T) {
	for _, settings := range []Settings{{}, {Order: "fifo"}, {Routing: "twoChoices"}, {Routing: "leastInFlight"}, {Routing: "random"}} {
		t.Run(settings.Order+settings.Routing, func(t *testing.T) {
			parameters := gopter.DefaultTestParametersWithSeed(7)
			parameters.MinSuccessfulTests = 400
			parameters.MaxSize = 300
			parameters.MaxShrinkCount = 100
			properties := gopter.NewProperties(parameters)
			properties.Property("hold after every event", prop.ForAll(func(steps []uint32) (string, error) {
				w := runModel(settings, steps)
				if len(w.violations) > 0 {
					return w.violations[0], nil
				}
				if again := runModel(settings, steps); !reflect.DeepEqual(w.commandLog, again.commandLog) {
					return "a second run of the same events returns different commands", nil
				}
				return "", nil
			}, gen.SliceOf(gen.UInt32())))
			properties.TestingRun(t)
		})
	}
}

func runModel(settings Settings, steps []uint32) *world {
	w := newWorld(settings)
	for _, s := range steps {
		if w.step(step(s)); len(w.violations) > 0 {
			return w
		}
	}
	w.drain()
	return w
}
