// Package placer implements the reducer of the entry that owns the workers. It
// renews worker leases, places job tasks, tracks their runs, and decides which
// jobs are queued and which are refused. It performs no I/O and reads no clock.
//
// The owner communicates with workers by three requests: holds, starts and
// stops. A hold renews the leases on a worker. The worker keeps it open until
// it has news or a given wait is over, and returns its lists of running and
// ended runs. To list a run is to include it in such a response. An end is the
// worker's record of how a run ended.
//
// Every request carries a fence, the fencing token of the owner. The upper bits
// of a fence are Unix milliseconds from the wall clock. The low bits are a
// suffix derived from the entry, so that entries that claim in the same
// millisecond usually have different fences. A worker obeys only the highest
// fence it has seen.
//
// To claim a worker is to send it a hold with this entry's fence; there is no
// separate request for it. The entry owns the worker once it has answered.
// Another owner takes over a worker by claiming it with a higher fence. To
// reclaim a worker is to claim it again after another owner took it over.
//
// To match a run is to find the job it belongs to. After a change of owner, the
// new owner matches the runs and ends that workers list with the jobs that are
// resubmitted to it.
//
// An orphan is a run without a job: its job has ended, or no job has been matched
// with it. Its caller may resubmit the job to any entry, also to one of another
// worker group, whose owner does not know of the run.
//
// An entry attests, several times a second, that it waits for its jobs here. A run ends
// within jobLease of the last time at which its job is known to have been waited for: a
// caller that has lost its entry resubmits the job after that.
//
// Ownership is contested if another owner may exist: when it claimed, the entry
// had heard only itself or at most half of the entries, so the others may have
// elected an owner too.
package placer

import "time"

const (
	// leaseDuration is how far ahead leases are renewed. The platform grants 1 s. A run
	// gets at least what is left of the lease of its worker, so that leaseDuration and
	// maxAttestationAge together are less than the time after which callers resubmit.
	leaseDuration = 950 * time.Millisecond
	// idleHoldWait is the wait of a hold: how long the worker keeps it open
	// when it has nothing to report. Two holds fit in one lease.
	idleHoldWait = 400 * time.Millisecond
	// holdSpreadPercent is how much shorter the waits of some workers are than
	// those of others, so that the holds of all workers do not stay in phase after
	// they were claimed at the same time. A burst of them delays starts on a slow
	// link.
	holdSpreadPercent = 20
	// activeHoldWait replaces idleHoldWait for workers with runs. If a hold is
	// lost, run ends are detected late, so the wait is short; most holds return
	// sooner anyway because a run ends.
	activeHoldWait = 150 * time.Millisecond
	// contestedHoldWait replaces idleHoldWait while another owner may exist, so
	// that a competing claim is detected quickly.
	contestedHoldWait = 100 * time.Millisecond
	// contestedClaimDelay is how long, while ownership is contested, the first
	// worker of a failure domain must stay owned before the others are claimed.
	// A live competing owner notices within idleHoldWait that a worker was taken
	// over and reclaims it.
	contestedClaimDelay = 550 * time.Millisecond
	// reachableWindow is the maximum age of the last response from a worker
	// that may be given new tasks. It covers idleHoldWait plus the
	// response timeout.
	reachableWindow = 750 * time.Millisecond
	// holdRetryInterval is the delay before the next hold after two or more
	// consecutive holds without a response from the worker. It is also the delay
	// before an owner reclaims a worker that was not lost when another owner took
	// it over, unless a [Claim] comes first.
	holdRetryInterval = 100 * time.Millisecond
	// A worker is considered lost after lostAfterHolds consecutive holds without a
	// response, and no response for lostAfterTime. A single request may be lost,
	// and so may two in a row.
	lostAfterHolds = 2
	lostAfterTime  = 700 * time.Millisecond
	// giveUpAfter is how long a worker may be silent before jobs with runs on it
	// fail. If only its replies are lost, holds still renew its leases and the runs
	// go on; otherwise the leases have expired after leaseDuration.
	giveUpAfter = 2 * time.Second
	// A worker is probed for overdue runs if its last response is older than
	// probeAfter, at most once per probeInterval. Both are longer when workers
	// respond slowly, since probes over a congested link add to the congestion.
	probeAfter    = 60 * time.Millisecond
	probeInterval = 80 * time.Millisecond
	// probeBackoff is the number of response times added to probeInterval.
	probeBackoff = 4
	// overdueFactor and overdueGrace define when a run is overdue, relative to
	// its expected run time. Estimates are off by up to 40 percent.
	overdueFactor = 1.2
	overdueGrace  = 15 * time.Millisecond
	// stopRetryInterval is the delay between stop requests until one is
	// confirmed.
	stopRetryInterval = 150 * time.Millisecond
	// lateStartPeriod is how long after an unanswered start request the worker
	// may still execute it, which takes up to 12 s. A run whose stop is not
	// confirmed has ended only if a list requested later does not include it.
	// Runs on a worker that has not responded for this long are discarded.
	lateStartPeriod = 15 * time.Second
	// adoptionTimeout is how long jobs wait to be matched with their runs under a
	// previous owner.
	adoptionTimeout = 600 * time.Millisecond
	// orphanMatchTimeout is how long after a claim runs without a job wait to be
	// matched with one. Entries that are alive learn of a new owner within two
	// pings of 150 ms, and then resubmit their jobs.
	orphanMatchTimeout = 300 * time.Millisecond
	// orphanLease is how long after a run lost its job the leases on its worker may
	// be renewed. Callers resubmit a job 1.3 s after their connection broke, to any
	// entry, and the run must have ended by then. The owner may notice the broken
	// connection later than the caller.
	orphanLease = 1100 * time.Millisecond
	// jobLease is how long after its entry last attested that it waits for a job the
	// leases of the job's runs may be renewed. The caller's connection broke no earlier
	// than that, but for the time in which the entry notices it.
	jobLease = 1200 * time.Millisecond
	// jobTimeout is how long after its entry last attested that it waits for a job the job
	// ends. Its runs are stopped before the leases of other jobs on their workers end.
	jobTimeout = 1000 * time.Millisecond
	// maxAttestationAge is the age of the last attestation from which no task of a job is
	// started.
	maxAttestationAge = 300 * time.Millisecond
	// heldUpAge is the age of the attestation of a job on its arrival from which it counts
	// as held up on the way.
	heldUpAge = 800 * time.Millisecond
	// attestationAllowance is the age of the last attestation from which an owner reports
	// the runs of a job as if they had lost it. Attestations are up to 0.35 s old before
	// the next one arrives.
	attestationAllowance = orphanStopAllowance + jobLease - orphanLease
	// orphanStopAllowance is how long before its loss the previous owner may have lost
	// a job whose runs it had not stopped yet: two stop requests may get no answer.
	orphanStopAllowance = 300 * time.Millisecond
	// maxClockSlowPercent is how much slower a worker's clock may be than an entry's.
	maxClockSlowPercent = 2
	// maxExpiryDelay is how long after the last request that renewed the leases on a
	// worker they have expired.
	maxExpiryDelay = 1050 * time.Millisecond
	// minStartLease is the minimum lease with which a run is started. Leases are
	// shorter than leaseDuration beside a run without a job.
	minStartLease = 300 * time.Millisecond
	// endRetention is how long the ends of runs that this owner has no record
	// of, because a previous owner started them, are kept so that they can be
	// matched with jobs that are resubmitted to this owner later.
	endRetention = 2 * time.Second
	// reclaimDelay is how long an owner waits before it reclaims workers that
	// another owner took over after they were lost, unless a [Claim] comes first.
	// It is also the delay before a claim without a response is repeated while
	// ownership is contested. The two owners discover each other within a second.
	reclaimDelay = 1500 * time.Millisecond
	// unlistedGrace is how long a worker that answers is used after it disappeared
	// from the list. The platform lists live workers again within 2 s after an
	// outage of its store.
	unlistedGrace = 2500 * time.Millisecond
	// refusalBackoff is how long no task is placed on a worker after it refused
	// a start for lack of resources, because the lease in the request had already
	// expired, or because of an old run number.
	refusalBackoff = 30 * time.Millisecond
	// initialFenceStep is the first increment applied to a rejected fence. It
	// is in milliseconds, like the wall clock in the upper bits of the fence.
	// The wall clocks of entries may differ by seconds.
	initialFenceStep = 4096
	// fenceSuffixBits is the number of low bits of a fence that hold the suffix
	// of the entry.
	fenceSuffixBits = 10
)
