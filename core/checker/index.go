package checker

import (
	"bytes"
	"encoding/json"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/core/recorder"
)

// taskKey names one task of one job.
type taskKey struct {
	job  string
	task int
}

// submission is one JobSubmitted with what its caller received for it. The
// job is the submission's own id, or the one that the entry gave it.
type submission struct {
	place   Place
	job     string
	answers []Place
	// settled is set if the caller was answered or gave up by itself.
	settled bool
}

// workKey names one piece of work of one caller.
type workKey struct{ log, request string }

// index holds the records of a history by job, work and change.
type index struct {
	history     History
	starts      map[taskKey][]Place
	startsOf    map[string][]Place
	order       []taskKey
	submissions []*submission
	ofJob       map[string][]*submission
	answers     []Place
	answered    map[spot]*submission
	claims      []Place
}

// spot is the position of a record.
type spot struct {
	log  string
	line int
}

func newIndex(h History) *index {
	x := &index{
		history: h, starts: map[taskKey][]Place{}, startsOf: map[string][]Place{},
		ofJob: map[string][]*submission{}, answered: map[spot]*submission{},
	}
	for _, log := range h {
		x.addLog(log)
	}
	for _, s := range x.submissions {
		if s.job != "" {
			x.ofJob[s.job] = append(x.ofJob[s.job], s)
		}
	}
	return x
}

func (x *index) addLog(log Log) {
	open := map[string][]*submission{}
	for i, r := range log.Records {
		p := placeOf(log, i)
		switch r.Event {
		case recorder.TaskStarted:
			x.addStart(p)
		case recorder.JobSubmitted:
			s := &submission{place: p, job: r.JobID}
			x.submissions = append(x.submissions, s)
			key := linkOf(r)
			open[key] = append(open[key], s)
		case recorder.JobAnswered:
			x.answers = append(x.answers, p)
			x.addClaim(p)
			x.link(open[linkOf(r)], p)
		case recorder.JobAbandoned:
			for _, s := range open[linkOf(r)] {
				s.settled = true
			}
		case recorder.JobRefused:
			x.addClaim(p)
		default:
		}
	}
}

func (x *index) addStart(p Place) {
	k := taskKey{p.Record.JobID, p.Record.Task}
	if len(x.starts[k]) == 0 {
		x.order = append(x.order, k)
	}
	x.starts[k] = append(x.starts[k], p)
	x.startsOf[k.job] = append(x.startsOf[k.job], p)
}

// addClaim keeps a record that promises that a job did not run.
func (x *index) addClaim(p Place) {
	if p.Record.Ran == messenger.DidNotRun && p.Record.JobID != "" {
		x.claims = append(x.claims, p)
	}
}

// linkOf returns what an answer and its submission have in common within one
// log: the name of the work, or the id if there is no name.
func linkOf(r recorder.Record) string {
	if r.Request != "" {
		return "request " + r.Request
	}
	return "job " + r.JobID
}

// link gives the answer to the submissions that it may belong to: those under
// the same id, or without an id of their own.
func (x *index) link(list []*submission, p Place) {
	for _, s := range list {
		if s.job == "" {
			s.job = p.Record.JobID
		}
		if s.job == p.Record.JobID || p.Record.JobID == "" {
			s.answers = append(s.answers, p)
			s.settled = true
			if at := (spot{p.Log, p.Line}); x.answered[at] == nil {
				x.answered[at] = s
			}
		}
	}
}

// submissionOf returns the submission that an answer belongs to, or nil. An
// answer to a fetch by id belongs to the id's only content, if there is one.
func (x *index) submissionOf(p Place) *submission {
	if s := x.answered[spot{p.Log, p.Line}]; s != nil {
		return s
	}
	list := x.ofJob[p.Record.JobID]
	if len(list) == 0 || x.severalContents(p.Record.JobID) {
		return nil
	}
	return list[0]
}

// severalContents reports whether a job id was submitted with more than one
// content.
func (x *index) severalContents(job string) bool {
	list := x.ofJob[job]
	for _, s := range list {
		if !sameContent(s.place.Record, list[0].place.Record) {
			return true
		}
	}
	return false
}

func sameContent(a, b recorder.Record) bool {
	if a.Digest != "" && b.Digest != "" {
		return a.Digest == b.Digest
	}
	return sameList(a.Payloads, b.Payloads)
}

func sameList(a, b []json.RawMessage) bool {
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
