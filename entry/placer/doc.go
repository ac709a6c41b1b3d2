// Package placer is the reducer of the entry that owns workers: it keeps the
// leases on them, places the tasks of whole jobs, follows their runs, and
// decides which jobs wait and which are refused. It performs no I/O and reads
// no clock.
package placer

import "time"

const (
	// leaseFor is how far ahead leases are renewed: the most that the platform
	// grants.
	leaseFor = time.Second
	// holdWait is how long a worker keeps a hold without news. Two holds fit in
	// a lease.
	holdWait = 400 * time.Millisecond
	// busyWait replaces holdWait for workers with runs: the end of a run is seen
	// late if its hold is lost, and most holds are answered sooner by an end.
	busyWait = 150 * time.Millisecond
	// contestedWait replaces holdWait while it is open whether another owner
	// exists, so that its claim is noticed soon.
	contestedWait = 100 * time.Millisecond
	// contestedFor is how long a worker must stay owned before the rest of its
	// failure domain is claimed. An owner that lives notices a lost worker
	// within holdWait.
	contestedFor = 550 * time.Millisecond
	// reachableFor is the age of the last answer up to which a worker takes new
	// tasks: a hold's wait and the time-out of its answer.
	reachableFor = 750 * time.Millisecond
	// retryHold is the pause between holds that get no answer.
	retryHold = 100 * time.Millisecond
	// silentHolds is the number of unanswered holds in a row, and silentAfter the
	// time without an answer, after which the runs on a worker are taken as lost.
	// Single calls may be lost, two in a row too.
	silentHolds = 2
	silentAfter = 700 * time.Millisecond
	// lookAfter is the age of a worker's last answer, and lookEvery the pause,
	// after which it is asked for runs that should have ended.
	lookAfter = 60 * time.Millisecond
	lookEvery = 80 * time.Millisecond
	// overdueFactor and overdueGrace give the time after which a run should have
	// ended, from its expected run time. Estimates are off by 40 percent.
	overdueFactor = 1.2
	overdueGrace  = 15 * time.Millisecond
	// retryStop is the pause between stops that are not confirmed.
	retryStop = 150 * time.Millisecond
	// stopFor is how long an unconfirmed stop is repeated. A worker may carry
	// out an unanswered start up to 12 s later.
	stopFor = 15 * time.Second
	// adoptFor is how long runs of an earlier owner wait for their jobs, and
	// jobs for their runs. A caller sends a job again after 1.3 s, and by then
	// runs without a job must be gone.
	adoptFor = 600 * time.Millisecond
	// keepEnds is how long the ends of unknown runs are kept for their jobs.
	keepEnds = 2 * time.Second
	// reunionFor is how long an owner leaves workers that it could not reach to
	// the owner that has taken them: the two find each other within a second.
	reunionFor = 1500 * time.Millisecond
	// roomPause keeps a worker that refused a task for lack of room from the
	// next placements.
	roomPause = 30 * time.Millisecond
	// fenceStep is the first step by which a refused fence is raised, in
	// milliseconds: wall clocks of entries may be seconds apart.
	fenceStep = 4096
	// fenceSaltBits are the low bits of a fence that tell entries apart.
	fenceSaltBits = 10
)
