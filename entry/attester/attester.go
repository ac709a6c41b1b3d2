// Package attester lets an entry attest to an owner which jobs it still waits for. An
// owner must not rely on the connection that carried a job: it may fall silent while the
// entry gives the job up, and while other connections between the two work.
//
// The owner sends a stamp, which is a time on its own clock, with each reply to a
// heartbeat. The entry sends the last one back, together with the jobs that it waits for
// at this owner. At the time of the stamp the entry was alive and waited for these jobs,
// however long the heartbeat was on its way.
package attester

import (
	"slices"
	"sync"
	"time"
)

// maxStampAge is how long after it was received a stamp is sent along with a job. The
// owner takes a job with an older one for a job that was held up on the way.
const maxStampAge = 500 * time.Millisecond

// Stamp is a time on the clock of an owner. The zero value is no time.
type Stamp struct {
	// Incarnation identifies the process of the owner.
	Incarnation uint64 `json:"incarnation"`
	// AtUs is the time since the start of the owner's machine in microseconds.
	AtUs int64 `json:"atUs"`
}

// NewStamp returns the stamp of a time since the start of the machine.
func NewStamp(incarnation uint64, sinceBoot time.Duration) Stamp {
	return Stamp{incarnation, sinceBoot.Microseconds()}
}

// Time returns the time of a stamp that another entry sent back, given the current time
// on both clocks. It reports false for a stamp of another process.
func (s Stamp) Time(now time.Time, incarnation uint64, sinceBoot time.Duration) (time.Time, bool) {
	ageUs := sinceBoot.Microseconds() - s.AtUs
	if s.AtUs <= 0 || s.Incarnation != incarnation || ageUs < 0 {
		return time.Time{}, false
	}
	return now.Add(-time.Duration(ageUs) * time.Microsecond), true
}

// Attestation lists the jobs for which an entry waits at an owner.
type Attestation struct {
	// Stamp is the last one that the entry received from the owner before it listed
	// the jobs.
	Stamp Stamp `json:"stamp"`
	// Jobs are the ids in ascending order.
	Jobs []string `json:"jobs,omitempty"`
}

// State holds the jobs for which this entry waits, and the stamps, by the address of the
// owner. The zero value is ready to use. It is safe for concurrent use.
type State struct {
	mu     sync.Mutex
	owners map[string]*owner
}

type owner struct {
	stamp      Stamp
	receivedAt time.Time
	// waiting counts the requests that wait for each job.
	waiting map[string]int
}

// Request is a request of a caller, which waits for a job at one owner at a time.
type Request struct {
	state          *State
	jobID, address string
}

// NewRequest returns a request for a job that does not wait at any owner yet.
func (s *State) NewRequest(jobID string) *Request { return &Request{state: s, jobID: jobID} }

// WaitAt makes the request wait at an owner instead of the one before. It must be called
// before the job is sent. While no owner is known, the request still waits at the last
// one.
func (r *Request) WaitAt(address string) {
	r.state.mu.Lock()
	defer r.state.mu.Unlock()
	if address == "" || address == r.address {
		return
	}
	r.leave()
	r.address = address
	r.state.owner(address).waiting[r.jobID]++
}

// End makes the request wait nowhere.
func (r *Request) End() {
	r.state.mu.Lock()
	defer r.state.mu.Unlock()
	r.leave()
}

func (r *Request) leave() {
	if r.address == "" {
		return
	}
	o := r.state.owner(r.address)
	if o.waiting[r.jobID]--; o.waiting[r.jobID] == 0 {
		delete(o.waiting, r.jobID)
	}
	r.address = ""
}

// Record stores a stamp from the reply of an owner, unless it is older than the stored
// one.
func (s *State) Record(now time.Time, address string, stamp Stamp) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.owner(address)
	if stamp.Incarnation != o.stamp.Incarnation || stamp.AtUs > o.stamp.AtUs {
		o.stamp, o.receivedAt = stamp, now
	}
}

// Attest returns what this entry can attest to an owner now.
func (s *State) Attest(address string) Attestation {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.owner(address)
	a := Attestation{Stamp: o.stamp, Jobs: make([]string, 0, len(o.waiting))}
	for id := range o.waiting {
		a.Jobs = append(a.Jobs, id)
	}
	slices.Sort(a.Jobs)
	return a
}

// Stamp returns the last stamp of an owner, to be sent along with a job. It is the zero
// value, and ok is false, if there is no recent one.
func (s *State) Stamp(now time.Time, address string) (stamp Stamp, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.owner(address)
	if o.receivedAt.IsZero() || now.Sub(o.receivedAt) > maxStampAge {
		return Stamp{}, false
	}
	return o.stamp, true
}

// owner returns the record of an owner. There are as many as there are entries.
func (s *State) owner(address string) *owner {
	if s.owners == nil {
		s.owners = map[string]*owner{}
	}
	o := s.owners[address]
	if o == nil {
		o = &owner{waiting: map[string]int{}}
		s.owners[address] = o
	}
	return o
}
