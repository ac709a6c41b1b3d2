package broker

import (
	"math/bits"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

type healthState int

const (
	ready healthState = iota
	ejected
	trial
)

const (
	recentOutcomes   = 20
	failuresInRow    = 5
	firstBackoffMs   = 1000
	longestBackoffMs = 30_000
	// probeMs is the least time between two probes, so that a broker of a
	// thousand idle targets stays within its 4 KB/s of control traffic.
	probeMs = 200
	// silentMs is the silence of a target after which it is probed, and the
	// period of its probes.
	silentMs = 2000
	// firstHoldMs is about the time in which a restarted process listens again.
	firstHoldMs  = 50
	slowFactor   = 3
	slowOutcomes = 5
	// slowForgottenMs is when a slow target is tried again. Used last, it may
	// get no work that would show it to have recovered.
	slowForgottenMs = 10_000
)

// health is what outcomes have shown of a target.
type health struct {
	state      healthState
	trialSlots int
	backoffMs  int64
	until      int64
	inRow      int
	// recent has one bit for each of the last outcomes, set for a failure.
	recent      uint32
	recentCount int
	// unreachable is set while the last contact failed.
	unreachable bool
	// held keeps new work away for a moment after a refused connection.
	held      bool
	holdUntil int64
	// slowness is the average of run time over the pool's for the same type.
	slowness float64
	timed    int
	slow     bool
	slowAt   int64
}

func failedOutcome(o messenger.GrantOutcome) bool {
	return o == messenger.GrantFailed || o == messenger.GrantLost || o == messenger.GrantUnreachable
}

func (h *health) failures() int { return bits.OnesCount32(h.recent) }

func (h *health) record(failed bool) {
	h.recent = h.recent << 1 & (1<<recentOutcomes - 1)
	h.recentCount = min(h.recentCount+1, recentOutcomes)
	if failed {
		h.recent |= 1
		h.inRow++
	} else {
		h.inRow = 0
	}
}

// judge takes one outcome of a task on the target.
func (s *State) judge(svc *service, t *target, k *kind, r *messenger.Release) {
	switch {
	case r.Outcome == messenger.GrantLeaving:
		t.ownLeaving = true
	case r.Outcome == messenger.GrantDone:
		s.succeeded(t, k, r.RunMs)
	case failedOutcome(r.Outcome):
		s.failed(svc, t, k, r.Outcome)
	}
	if r.Outcome != messenger.GrantUnused && r.Outcome != messenger.GrantUnreachable {
		t.heard, t.unreachable = s.now, r.Outcome == messenger.GrantLost && t.unreachable
	}
}

func (s *State) succeeded(t *target, k *kind, runMs int64) {
	k.note(t, false)
	t.record(false)
	s.time(t, k, runMs)
	if t.state != trial {
		return
	}
	t.trialSlots *= 2
	if t.trialSlots >= t.slots {
		t.state, t.backoffMs, t.recent, t.recentCount = ready, 0, 0, 0
		s.count("target", "readmitted")
	}
}

func (s *State) failed(svc *service, t *target, k *kind, outcome messenger.GrantOutcome) {
	if outcome == messenger.GrantUnreachable {
		t.unreachable = true
		t.hold(s.now)
	} else {
		k.note(t, true)
		if k.poison(t) {
			return
		}
	}
	t.record(true)
	if t.state == trial || t.state == ready && s.broken(svc, t) {
		s.eject(svc, t)
	}
}

// broken reports whether the failures of a target are too many.
func (s *State) broken(svc *service, t *target) bool {
	if t.inRow >= failuresInRow {
		return true
	}
	if t.recentCount < recentOutcomes || t.failures()*2 <= recentOutcomes {
		return false
	}
	failures, outcomes := 0, 0
	for _, other := range svc.listed {
		if other != t {
			failures += other.failures()
			outcomes += other.recentCount
		}
	}
	return failures*5 < outcomes
}

// hold keeps work away from a target that refused a connection, shortly and
// then longer, until the failures add up to an ejection.
func (t *target) hold(now int64) {
	t.held = true
	t.holdUntil = now + firstHoldMs<<min(t.inRow, failuresInRow)*ms
}

// eject takes the target out of use for its backoff. At most half of the pool
// is out of use at once, because failures of more than that have another cause.
func (s *State) eject(svc *service, t *target) {
	if t.state == ready && !svc.mayEject() {
		return
	}
	t.backoffMs = min(max(2*t.backoffMs, firstBackoffMs), longestBackoffMs)
	t.state, t.until, t.inRow = ejected, s.now+t.backoffMs*ms, 0
	s.count("target", "ejected")
	svc.refresh(t)
}

func (svc *service) mayEject() bool {
	out, pool := 0, 0
	for _, t := range svc.listed {
		if t.leaving() {
			continue
		}
		pool++
		if t.state != ready {
			out++
		}
	}
	return 2*(out+1) <= pool
}

// time compares the run time with the pool's for the same request type.
func (s *State) time(t *target, k *kind, runMs int64) {
	if !k.learned() || k.mean <= 0 {
		return
	}
	ratio := float64(runMs) / k.mean
	t.timed++
	t.slowness += (ratio - t.slowness) / float64(min(t.timed, recentOutcomes))
	slow := t.timed >= slowOutcomes && t.slowness > slowFactor
	if slow && !t.slow {
		s.count("target", "slow")
	}
	t.slow, t.slowAt = slow, s.now
}

// sweepTargets ends what lasts a limited time and asks silent targets for
// their status.
func (s *State) sweepTargets(svc *service) {
	svc.forgetGone()
	for _, t := range svc.listed {
		if s.sweepTarget(t) {
			svc.refresh(t)
		}
	}
	if t := s.longestSilent(svc); t != nil && s.now >= s.nextProbe {
		t.probedAt, s.nextProbe = s.now, s.now+probeMs*ms
		s.out = append(s.out, Probe{Target: t.address})
	}
}

// longestSilent returns the target that is due for a probe and was neither
// heard nor probed for the longest time, or nil.
func (s *State) longestSilent(svc *service) *target {
	var oldest *target
	for _, t := range svc.listed {
		if s.probeDue(t) && (oldest == nil || max(t.heard, t.probedAt) < max(oldest.heard, oldest.probedAt)) {
			oldest = t
		}
	}
	return oldest
}

func (s *State) sweepTarget(t *target) bool {
	changed := false
	if t.others > 0 && s.now >= t.othersUntil {
		t.others, changed = 0, true
	}
	if t.held && s.now >= t.holdUntil {
		t.held, changed = false, true
	}
	if t.state == ejected && s.now >= t.until && !t.unreachable {
		t.state, t.trialSlots, changed = trial, 1, true
		t.recent, t.recentCount = 0, 0
	}
	if t.slow && s.now-t.slowAt >= slowForgottenMs*ms {
		t.slow, t.slowness, t.timed, changed = false, 0, 0, true
	}
	return changed
}

func (s *State) probeDue(t *target) bool {
	if t.listLeaving || s.now-t.heard < silentMs*ms || s.now-t.probedAt < silentMs*ms {
		return false
	}
	return t.listed || t.inUse > 0 || !t.unreachable
}

// probed takes the result of a probe.
func (s *State) probed(m Probed) {
	for _, name := range s.names {
		svc := s.services[name]
		t := svc.targets[m.Target]
		if t == nil {
			continue
		}
		if m.Failed {
			t.unreachable = true
			t.record(true)
			s.eject(svc, t)
		} else {
			t.heard, t.unreachable, t.ownLeaving = s.now, false, false
			s.learn(svc, t, m.Status, false)
		}
		svc.refresh(t)
	}
}
