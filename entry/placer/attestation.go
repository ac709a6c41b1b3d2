package placer

import (
	"cmp"
	"slices"
	"time"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

// handleJobsAttested records which jobs an entry waits for. It ends those that the entry
// had sent by then and no longer waits for.
func (s *State) handleJobsAttested(now time.Time, msg JobsAttested) {
	var abandoned []*job
	for _, j := range s.jobs {
		if j.entry != msg.Entry {
			continue
		}
		if _, waiting := slices.BinarySearch(msg.Jobs, j.ID); !waiting && msg.At.After(j.receivedAt) {
			abandoned = append(abandoned, j)
		} else if waiting && !j.attestedAt.IsZero() && msg.At.After(j.attestedAt) {
			j.attestedAt = msg.At
		}
	}
	slices.SortFunc(abandoned, func(a, b *job) int { return cmp.Compare(a.ID, b.ID) })
	for _, j := range abandoned {
		s.failJob(now, j, messenger.OwnerUnreachable, "the caller's entry no longer waits for the job")
	}
}

// attestationAge returns how long ago the entry of j is known to have waited for it, or 0
// if that entry does not attest its jobs.
func (j *job) attestationAge(now time.Time) time.Duration {
	if j.attestedAt.IsZero() {
		return 0
	}
	return now.Sub(j.attestedAt)
}

// lostAt returns when the runs of j lost it, if it ends now. That is earlier if its entry
// has not attested it lately: the caller may have gone by then.
func (j *job) lostAt(now time.Time) time.Time {
	if at := j.attestedAt.Add(jobLease - orphanLease); !j.attestedAt.IsZero() && at.Before(now) {
		return at
	}
	return now
}
