package canceller

import "time"

const (
	// settleTime is how long after its claim an owner may lack jobs of the previous one:
	// the longest time for which an entry tries to hand a job to the next owner.
	settleTime = time.Second
	// reachTimeout is how long an owner may be silent before its worker group counts as
	// out of reach. By then the group has another owner if any entry of it is in reach.
	reachTimeout = 2 * time.Second
)

// Outcome is the result of a cancelling.
type Outcome int

const (
	// Undecided means that an owner that may know the job could not tell. The caller
	// has to ask again.
	Undecided Outcome = iota
	// Cancelled means that the job does not run on.
	Cancelled
	// NoSuchJob means that no owner in reach knows the job.
	NoSuchJob
)

// Reply is what an entry replies when it is told of a cancelling. The zero value is
// that of an entry that did not reply.
type Reply struct {
	// Known is set if the job was in progress at the entry, or reached it since it was
	// first told. CallerEntry is the entry that holds the request of the job's caller.
	Known       bool   `json:"known,omitempty"`
	CallerEntry string `json:"callerEntry,omitempty"`
	// Settled is set if the entry would know the job if it was one of its worker group.
	Settled bool `json:"settled,omitempty"`
}

// Settled reports whether an owner knows the jobs of its worker group that it claimed at
// a time.
func Settled(now, claimedAt time.Time) bool { return now.Sub(claimedAt) >= settleTime }

// InReach reports whether a worker group counts whose owner was last heard of silence
// ago.
func InReach(silence time.Duration) bool { return silence <= reachTimeout }

// Decide returns the outcome of a cancelling from the replies of the owners in reach.
// Ended is set if the entry of the caller has given up the job, and last if the owners
// are not asked again.
func Decide(replies []Reply, ended, last bool) Outcome {
	known, settled := false, true
	for _, r := range replies {
		known = known || r.Known
		settled = settled && r.Settled
	}
	switch {
	case ended, known && last:
		// Without a word from the entry of the caller, the job has still ended at its
		// owner. Should that entry submit it to the next owner, that one is told too.
		return Cancelled
	case !known && settled:
		return NoSuchJob
	default:
		return Undecided
	}
}
