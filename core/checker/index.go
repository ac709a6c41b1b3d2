package checker

import (
	"bytes"
	"encoding/json"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/core/recorder"
)

// taskKey identifies a task by its job and its index within the job.
type taskKey struct {
	job  string
	task int
}

// submission is one JobSubmitted record with the answers that its caller
// received. job is the id under which the caller submitted it, or the id in the
// first answer if the entry assigned one.
type submission struct {
	position Position
	job      string
	answers  []Position
	// settled is set once the caller received an answer or abandoned the job.
	settled bool
}

// workKey identifies a piece of work by its caller's log and the key that
// correlationID returns for the records of the work.
//
// Work is what a caller wants to have done; a job is an attempt to do it under one
// job id. Submitting the same work under a new id creates another job.
type workKey struct{ log, correlationID string }

// index provides lookups of task starts, submissions and answers. taskOrder
// lists the tasks by their first start. didNotRunClaims holds the records that
// state that a job did not and will not run.
type index struct {
	history            History
	startsByTask       map[taskKey][]Position
	startsByJob        map[string][]Position
	taskOrder          []taskKey
	submissions        []*submission
	submissionsByJob   map[string][]*submission
	answers            []Position
	submissionByAnswer map[recordKey]*submission
	didNotRunClaims    []Position
}

// recordKey identifies a record by its log and line.
type recordKey struct {
	log  string
	line int
}

func newIndex(h History) *index {
	x := &index{
		history: h, startsByTask: map[taskKey][]Position{}, startsByJob: map[string][]Position{},
		submissionsByJob: map[string][]*submission{}, submissionByAnswer: map[recordKey]*submission{},
	}
	for _, log := range h {
		x.addLog(log)
	}
	for _, s := range x.submissions {
		if s.job != "" {
			x.submissionsByJob[s.job] = append(x.submissionsByJob[s.job], s)
		}
	}
	return x
}

func (x *index) addLog(log Log) {
	pending := map[string][]*submission{}
	for i, r := range log.Records {
		p := positionOf(log, i)
		switch r.Event {
		case recorder.TaskStarted:
			x.addStart(p)
		case recorder.JobSubmitted:
			s := &submission{position: p, job: r.JobID}
			x.submissions = append(x.submissions, s)
			id := correlationID(r)
			pending[id] = append(pending[id], s)
		case recorder.JobAnswered:
			x.answers = append(x.answers, p)
			x.addDidNotRunClaim(p)
			x.linkAnswer(pending[correlationID(r)], p)
		case recorder.JobAbandoned:
			for _, s := range pending[correlationID(r)] {
				s.settled = true
			}
		case recorder.JobRefused:
			x.addDidNotRunClaim(p)
		default:
		}
	}
}

func (x *index) addStart(p Position) {
	k := taskKey{p.Record.JobID, p.Record.Task}
	if len(x.startsByTask[k]) == 0 {
		x.taskOrder = append(x.taskOrder, k)
	}
	x.startsByTask[k] = append(x.startsByTask[k], p)
	x.startsByJob[k.job] = append(x.startsByJob[k.job], p)
}

// addDidNotRunClaim stores p if it states that its job did not run.
func (x *index) addDidNotRunClaim(p Position) {
	if p.Record.Ran == messenger.DidNotRun && p.Record.JobID != "" {
		x.didNotRunClaims = append(x.didNotRunClaims, p)
	}
}

// correlationID returns the key that the caller's records of the same work share
// within one log. It is built from Request, or from the job id if Request is
// empty; submissions without Request under different job ids therefore count as
// different work.
func correlationID(r recorder.Record) string {
	if r.Request != "" {
		return "request " + r.Request
	}
	return "job " + r.JobID
}

// linkAnswer attaches the answer at p to every candidate with the same job id,
// or to all candidates if the answer has no job id. A candidate submitted
// without an id gets the id in the answer, which the entry assigned.
func (x *index) linkAnswer(candidates []*submission, p Position) {
	for _, s := range candidates {
		if s.job == "" {
			s.job = p.Record.JobID
		}
		if s.job == p.Record.JobID || p.Record.JobID == "" {
			s.answers = append(s.answers, p)
			s.settled = true
			if key := (recordKey{p.Log, p.Line}); x.submissionByAnswer[key] == nil {
				x.submissionByAnswer[key] = s
			}
		}
	}
}

// submissionOf returns the submission that an answer belongs to, or nil if that
// is unknown. An answer to a fetch by id belongs to the first submission under
// that id, provided that all submissions under it had the same content.
func (x *index) submissionOf(p Position) *submission {
	if s := x.submissionByAnswer[recordKey{p.Log, p.Line}]; s != nil {
		return s
	}
	list := x.submissionsByJob[p.Record.JobID]
	if len(list) == 0 || x.hasConflictingContent(p.Record.JobID) {
		return nil
	}
	return list[0]
}

// hasConflictingContent reports whether the same job id was submitted with
// different content.
func (x *index) hasConflictingContent(job string) bool {
	list := x.submissionsByJob[job]
	for _, s := range list {
		if !equalContent(s.position.Record, list[0].position.Record) {
			return true
		}
	}
	return false
}

func equalContent(a, b recorder.Record) bool {
	if a.Digest != "" && b.Digest != "" {
		return a.Digest == b.Digest
	}
	return equalJSONLists(a.Payloads, b.Payloads)
}

func equalJSONLists(a, b []json.RawMessage) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if !bytes.Equal(compact(a[i]), compact(b[i])) {
			return false
		}
	}
	return true
}
