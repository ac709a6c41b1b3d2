package broker

import (
	"math/bits"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

// healthState is the health of a target, which determines whether it gets work.
type healthState int

const (
	// ready means that all slots of the target may be used.
	ready healthState = iota
	// ejected means that the target gets no work until its backoff has ended and
	// it is reachable.
	ejected
	// trial follows ejected. The target may use one slot at first, and twice as
	// many after each success, until it has all of them and is ready. A failure
	// that counts against the target ejects it again.
	trial
)

const (
	outcomeWindow          = 20
	maxConsecutiveFailures = 5
	initialBackoffMs       = 1000
	maxBackoffMs           = 30_000
	// minProbeIntervalMs is the minimum time between two probes. It keeps a
	// broker with a thousand idle targets within its limit of 4 KB/s of control
	// traffic.
	minProbeIntervalMs = 200
	// probeAfterMs is the time without contact after which a target is probed,
	// and the interval between its probes.
	probeAfterMs = 2000
	// initialPauseMs approximates the time that a restarted process needs to
	// listen again.
	initialPauseMs = 50
	// slowFactor is the slowdown above which a target counts as slow.
	slowFactor     = 3
	minSlowSamples = 5
	// slowResetMs is the time without a measurement after which a target no
	// longer counts as slow. A slow target is used last and may get no work
	// that could show its recovery.
	slowResetMs = 10_000
)

// health tracks the health of a target by the outcomes of its tasks and probes.
type health struct {
	state               healthState
	trialSlots          int
	backoffMs           int64
	ejectedUntil        int64
	consecutiveFailures int
	// failureBits has one bit for each of the last outcomes, set for a failure.
	failureBits  uint32
	outcomeCount int
	// unreachable is set while the last contact failed.
	unreachable bool
	// paused is set after a refused connection. The target then gets no new work
	// until pausedUntil.
	paused      bool
	pausedUntil int64
	// slowdown is the moving average of the target's run times relative to the
	// mean of the pool for the same request type.
	slowdown       float64
	runTimeSamples int
	slow           bool
	slowCheckedAt  int64
}

func failedOutcome(o messenger.GrantOutcome) bool {
	return o == messenger.GrantFailed || o == messenger.GrantLost || o == messenger.GrantUnreachable
}

func (h *health) failureCount() int { return bits.OnesCount32(h.failureBits) }

// addOutcome records one outcome of the target: a failure if failed is true, and
// a success otherwise.
func (h *health) addOutcome(failed bool) {
	h.failureBits = h.failureBits << 1 & (1<<outcomeWindow - 1)
	h.outcomeCount = min(h.outcomeCount+1, outcomeWindow)
	if failed {
		h.failureBits |= 1
		h.consecutiveFailures++
	} else {
		h.consecutiveFailures = 0
	}
}

// recordOutcome updates the health of the target with the outcome of a task.
func (s *State) recordOutcome(svc *service, t *target, stats *typeStats, r *messenger.Release) {
	switch {
	case r.Outcome == messenger.GrantLeaving:
		t.reportedLeaving = true
	case r.Outcome == messenger.GrantDone:
		s.recordSuccess(t, stats, r.RunMs)
	case failedOutcome(r.Outcome):
		s.recordFailure(svc, t, stats, r.Outcome)
	}
	if r.Outcome != messenger.GrantUnused && r.Outcome != messenger.GrantUnreachable {
		t.lastContact, t.unreachable = s.now, r.Outcome == messenger.GrantLost && t.unreachable
	}
}

func (s *State) recordSuccess(t *target, stats *typeStats, runMs int64) {
	stats.addResult(t, false)
	t.addOutcome(false)
	s.recordRunTime(t, stats, runMs)
	if t.state != trial {
		return
	}
	t.trialSlots *= 2
	if t.trialSlots >= t.slots {
		t.state, t.backoffMs, t.failureBits, t.outcomeCount = ready, 0, 0, 0
		s.count("target", "readmitted")
	}
}

func (s *State) recordFailure(svc *service, t *target, stats *typeStats, outcome messenger.GrantOutcome) {
	if outcome == messenger.GrantUnreachable {
		t.unreachable = true
		t.pause(s.now)
	} else {
		stats.addResult(t, true)
		if stats.failsElsewhere(t) {
			return
		}
	}
	t.addOutcome(true)
	if t.state == trial || t.state == ready && s.shouldEject(svc, t) {
		s.eject(svc, t)
	}
}

// shouldEject reports whether the target has failed too often: several times in
// a row, or in more than half of its last outcomes while less than a fifth of
// the outcomes on the other targets are failures.
func (s *State) shouldEject(svc *service, t *target) bool {
	if t.consecutiveFailures >= maxConsecutiveFailures {
		return true
	}
	if t.outcomeCount < outcomeWindow || t.failureCount()*2 <= outcomeWindow {
		return false
	}
	failures, outcomes := 0, 0
	for _, other := range svc.targetList {
		if other != t {
			failures += other.failureCount()
			outcomes += other.outcomeCount
		}
	}
	return failures*5 < outcomes
}

// pause keeps work away from a target that refused a connection. The pause
// doubles with each consecutive failure, until the target is ejected.
func (t *target) pause(now int64) {
	t.paused = true
	t.pausedUntil = now + initialPauseMs<<min(t.consecutiveFailures, maxConsecutiveFailures)*ms
}

// eject takes the target out of use for its backoff time. A ready target stays in
// use if more than half of the pool would otherwise be ejected or on trial,
// because the cause is then probably not in the targets.
func (s *State) eject(svc *service, t *target) {
	if t.state == ready && !svc.canEject() {
		return
	}
	t.backoffMs = min(max(2*t.backoffMs, initialBackoffMs), maxBackoffMs)
	t.state, t.ejectedUntil, t.consecutiveFailures = ejected, s.now+t.backoffMs*ms, 0
	s.count("target", "ejected")
	svc.refresh(t)
}

// canEject reports whether one more target may be taken out of use.
func (svc *service) canEject() bool {
	out, pool := 0, 0
	for _, t := range svc.targetList {
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

// recordRunTime compares a run time with the mean of the pool for the same
// request type and marks the target as slow or no longer slow.
func (s *State) recordRunTime(t *target, stats *typeStats, runMs int64) {
	if !stats.reliable() || stats.meanMs <= 0 {
		return
	}
	ratio := float64(runMs) / stats.meanMs
	t.runTimeSamples++
	t.slowdown += (ratio - t.slowdown) / float64(min(t.runTimeSamples, outcomeWindow))
	slow := t.runTimeSamples >= minSlowSamples && t.slowdown > slowFactor
	if slow && !t.slow {
		s.count("target", "slow")
	}
	t.slow, t.slowCheckedAt = slow, s.now
}

// sweepTargets ends pauses, backoffs and other states whose time has passed.
func (s *State) sweepTargets(svc *service) {
	svc.removeGoneTargets()
	for _, t := range svc.targetList {
		if s.sweepTarget(t) {
			svc.refresh(t)
		}
	}
}

// probeNext probes the target that is due next.
func (s *State) probeNext() {
	if s.now < s.nextProbe {
		return
	}
	if t := s.nextProbeTarget(); t != nil {
		t.probedAt, s.nextProbe = s.now, s.now+minProbeIntervalMs*ms
		s.cmds = append(s.cmds, Probe{Target: t.address})
	}
}

// nextProbeTarget returns the target of any service that is due for a probe and
// whose last contact or probe is the oldest, or nil.
func (s *State) nextProbeTarget() *target {
	var oldest *target
	for _, name := range s.serviceNames {
		for _, t := range s.services[name].targetList {
			if s.probeDue(t) && (oldest == nil || max(t.lastContact, t.probedAt) < max(oldest.lastContact, oldest.probedAt)) {
				oldest = t
			}
		}
	}
	return oldest
}

// sweepTarget ends the states of one target whose time has passed and reports
// whether there was one.
func (s *State) sweepTarget(t *target) bool {
	changed := false
	if t.othersInUse > 0 && s.now >= t.othersExpireAt {
		t.othersInUse, changed = 0, true
	}
	if t.paused && s.now >= t.pausedUntil {
		t.paused, changed = false, true
	}
	if t.state == ejected && s.now >= t.ejectedUntil && !t.unreachable {
		t.state, t.trialSlots, changed = trial, 1, true
		t.failureBits, t.outcomeCount = 0, 0
	}
	if t.slow && s.now-t.slowCheckedAt >= slowResetMs*ms {
		t.slow, t.slowdown, t.runTimeSamples, changed = false, 0, 0, true
	}
	return changed
}

func (s *State) probeDue(t *target) bool {
	if t.listedLeaving || s.now-t.lastContact < probeAfterMs*ms || s.now-t.probedAt < probeAfterMs*ms {
		return false
	}
	return t.listed || t.inUse > 0 || !t.unreachable
}

// handleProbed handles the result of a probe.
func (s *State) handleProbed(m Probed) {
	for _, name := range s.serviceNames {
		svc := s.services[name]
		t := svc.targets[m.Target]
		if t == nil {
			continue
		}
		if m.Failed {
			t.unreachable = true
			t.addOutcome(true)
			s.eject(svc, t)
		} else {
			t.lastContact, t.unreachable, t.reportedLeaving = s.now, false, false
			s.applyStatus(svc, t, m.Status, false)
		}
		svc.refresh(t)
	}
}
