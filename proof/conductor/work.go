package conductor

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/core/recorder"
)

// setFrozen suspends a process with SIGSTOP, or resumes it with SIGCONT.
func (d *Deployment) setFrozen(p *process, frozen bool) error {
	s := syscall.SIGCONT
	if frozen {
		s = syscall.SIGSTOP
	}
	if err := d.signal(p, s); err != nil {
		return err
	}
	p.frozen = frozen
	return nil
}

// submitCommand implements
//
//	submit NAME via=ENTRY[,ENTRY] [id=ENTRY] [tasks=N] [runMs=N]
//		[type=check|firm|batch] [deadlineMs=N] [declaredMs=N] [memoryMB=N]
//		[same=NAME] [copies=N] [&]
//
// The job ID is issued by the first entry, or by the entry given with id, or with
// same it is that of another job. The job is submitted through all entries
// concurrently. With copies=N it submits N jobs named by copyNames.
func submitCommand(d *Deployment, _ *testscript.TestScript, a *arguments) error {
	copies, err := a.intOption("copies", 1)
	if err != nil {
		return err
	}
	options, err := parseJobOptions(a)
	if err != nil {
		return err
	}
	via := strings.Split(a.stringOption("via", ""), ",")
	from, same := a.stringOption("id", via[0]), a.stringOption("same", "")
	if err := a.validate(1, 1); err != nil {
		return err
	}
	for _, name := range copyNames(a.positional[0], copies) {
		o := options
		o.payload = name
		j := newJob(name, o)
		if err := d.assignID(j, from, same); err != nil {
			return err
		}
		d.caller.addJob(j)
		d.submitVia(j, via)
	}
	if a.background {
		return nil
	}
	return d.awaitCopies(a.positional[0], copies)
}

// copyNames returns the names of the copies of a job: NAME if there is only one,
// and otherwise NAMEA to NAMEZ for the first 26 copies, NAMEAx to NAMEZx for the
// next 26, and so on with one more x for every 26 copies.
func copyNames(name string, copies int) []string {
	if copies == 1 {
		return []string{name}
	}
	var names []string
	for i := range copies {
		names = append(names, name+string(rune('A'+i%26))+strings.Repeat("x", i/26))
	}
	return names
}

func parseJobOptions(a *arguments) (jobOptions, error) {
	var o jobOptions
	var err error
	intOption := func(name string, defaultValue int) int {
		n, e := a.intOption(name, defaultValue)
		err = errors.CombineErrors(err, e)
		return n
	}
	o.tasks, o.runMs = intOption("tasks", 2), intOption("runMs", 20)
	o.deadlineMs = int64(intOption("deadlineMs", 20_000))
	o.declaredMs, o.declaredMemMB = int64(intOption("declaredMs", 0)), int64(intOption("memoryMB", 0))
	o.requestType = a.stringOption("type", "firm")
	return o, err
}

// assignID sets the ID of the job to that of the job same or, if same is empty, to
// a new ID from the entry.
func (d *Deployment) assignID(j *job, from, same string) error {
	if same != "" {
		other, err := d.caller.job(same)
		if err != nil {
			return err
		}
		j.submission.ID = other.submission.ID
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), hangTimeout)
	defer cancel()
	id, err := d.caller.requestJobID(ctx, from)
	j.submission.ID = id
	return err
}

// submitVia submits the job through all given entries concurrently.
func (d *Deployment) submitVia(j *job, via []string) {
	for _, entry := range via {
		j.pending.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), hangTimeout)
			defer cancel()
			d.caller.submit(ctx, j, entry)
		})
	}
}

// awaitCopies waits until all requests for all copies of the job have returned.
func (d *Deployment) awaitCopies(name string, copies int) error {
	for _, n := range copyNames(name, copies) {
		j, err := d.caller.job(n)
		if err != nil {
			return err
		}
		if err := d.awaitJob(j); err != nil {
			return err
		}
	}
	return nil
}

// forEachCopyAndEntry calls f concurrently for each copy of a submitted job and
// each entry in the via option and, unless the command runs in the background,
// waits until all requests for the job have returned.
func forEachCopyAndEntry(d *Deployment, a *arguments, f func(ctx context.Context, j *job, entry string)) error {
	copies, err := a.intOption("copies", 1)
	if err != nil {
		return err
	}
	via := strings.Split(a.stringOption("via", ""), ",")
	if err := a.validate(1, 1); err != nil {
		return err
	}
	for _, name := range copyNames(a.positional[0], copies) {
		j, err := d.caller.job(name)
		if err != nil {
			return err
		}
		for _, entry := range via {
			j.pending.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), hangTimeout)
				defer cancel()
				f(ctx, j, entry)
			})
		}
	}
	if a.background {
		return nil
	}
	return d.awaitCopies(a.positional[0], copies)
}

// resubmitCommand implements
//
//	resubmit NAME via=ENTRY[,ENTRY] [copies=N] [&]
//
// It submits the job again, with the same ID, through each of the entries and,
// without &, waits until all requests for the job have returned.
func resubmitCommand(d *Deployment, _ *testscript.TestScript, a *arguments) error {
	return forEachCopyAndEntry(d, a, d.caller.submit)
}

// cancelCommand implements
//
//	cancel NAME via=ENTRY[,ENTRY] [copies=N] [&]
//
// It requests the cancellation of the job from each of the entries and, without &,
// waits until all requests for the job have returned.
func cancelCommand(d *Deployment, _ *testscript.TestScript, a *arguments) error {
	return forEachCopyAndEntry(d, a, func(ctx context.Context, j *job, entry string) {
		d.caller.fetchOrCancel(ctx, j, entry, http.MethodDelete)
	})
}

// fetchCommand implements
//
//	fetch NAME via=ENTRY[,ENTRY] [copies=N] [&]
//
// It requests the answer to the job from each of the entries and, without &, waits
// until all requests for the job have returned.
func fetchCommand(d *Deployment, _ *testscript.TestScript, a *arguments) error {
	return forEachCopyAndEntry(d, a, func(ctx context.Context, j *job, entry string) { d.caller.fetchOrCancel(ctx, j, entry, http.MethodGet) })
}

// awaitCommand implements
//
//	await NAME [copies=N]
//
// It waits until all requests for the job have returned.
func awaitCommand(d *Deployment, _ *testscript.TestScript, a *arguments) error {
	copies, err := a.intOption("copies", 1)
	if err != nil {
		return err
	}
	if err := a.validate(1, 1); err != nil {
		return err
	}
	return d.awaitCopies(a.positional[0], copies)
}

// waitForCommand implements
//
//	wait-for settled
//	wait-for agreed
//	wait-for ready ENTRY
//	wait-for not-ready ENTRY
//	wait-for started JOB [count=N]
//	wait-for sent JOB [count=N]
//	wait-for answers JOB [count=N]
//	wait-for expired JOB via=ENTRY
//	wait-for target NAME STATE
//	wait-for targets DOMAIN
//	wait-for member ENTRY [!]ENTRY
//	wait-for forgotten OFFSET
//
// The default of N is 1. The conditions are:
//
//   - settled and agreed are defined by waitSettled and waitAgreed.
//   - ready and not-ready wait until ENTRY reports that it is ready or not ready.
//   - started and sent wait until the histories have N TaskStarted or TaskSent
//     records of the job.
//   - answers waits until N requests for the job have returned.
//   - expired waits until ENTRY has discarded the stored answer to the job.
//   - target waits until all brokers of the target's failure domain report STATE.
//   - targets waits until all brokers of the failure domain report all running
//     targets as ready.
//   - member waits until the first entry lists the second as a member or, with !,
//     no longer does.
//   - forgotten waits until the log has deleted all records before OFFSET.
func waitForCommand(d *Deployment, _ *testscript.TestScript, a *arguments) error {
	count, err := a.intOption("count", 1)
	if err != nil {
		return err
	}
	via := a.stringOption("via", "")
	if err := a.validate(1, 3); err != nil {
		return err
	}
	var words [2]string
	copy(words[:], a.positional[1:])
	switch a.positional[0] {
	case "settled":
		return d.waitSettled()
	case "agreed":
		return d.waitAgreed()
	case "ready", "not-ready":
		return d.poll(words[0]+" to be "+a.positional[0], func() (bool, error) {
			s, err := d.entryStatus(words[0])
			return err == nil && s.Ready == (a.positional[0] == "ready"), err
		})
	case "started":
		return d.waitRecords(recorder.TaskStarted, words[0], count)
	case "sent":
		return d.waitRecords(recorder.TaskSent, words[0], count)
	case "target":
		return d.poll("all brokers to report target "+words[0]+" as "+words[1], func() (bool, error) {
			state, err := d.targetState(words[0])
			return state == words[1], errors.CombineErrors(err, errors.Newf("the state is %q", state))
		})
	case "targets":
		return d.poll("ready targets in "+words[0], func() (bool, error) { return d.targetsReady(words[0]) })
	case "answers":
		return d.waitAnswers(words[0], count)
	case "expired":
		return d.waitExpired(words[0], via)
	case "forgotten":
		return d.waitTrimmed(words[0])
	case "member":
		return d.waitMember(words[0], words[1])
	default:
		return errors.Newf("unknown condition %q", a.positional[0])
	}
}

// waitMember waits until an entry lists another entry of its failure domain as a
// member or, with a leading !, until it no longer does.
func (d *Deployment) waitMember(entry, other string) error {
	absent := strings.HasPrefix(other, "!")
	p, err := d.process(strings.TrimPrefix(other, "!"))
	if err != nil {
		return err
	}
	what := entry + " to list " + other + " as a member"
	if absent {
		what = entry + " to stop listing " + strings.TrimPrefix(other, "!") + " as a member"
	}
	return d.poll(what, func() (bool, error) {
		s, err := d.entryStatus(entry)
		found := false
		for _, m := range s.Members {
			found = found || m.Member.Address == p.announcedAddress
		}
		if err == nil && found == absent {
			err = errors.Newf("%s lists %d members; %s listed: %t", entry, len(s.Members), p.name, found)
		}
		return err == nil, err
	})
}

// waitRecords waits until the histories have count records of the event for the
// job.
func (d *Deployment) waitRecords(event recorder.Event, name string, count int) error {
	j, err := d.caller.job(name)
	if err != nil {
		return err
	}
	return d.poll(string(event)+" records of job "+name, func() (bool, error) {
		n, err := d.countRecords(event, j.submission.ID)
		if err == nil && n < count {
			err = errors.Newf("found %d, want %d", n, count)
		}
		return n >= count, err
	})
}

// expectCommand implements
//
//	expect NAME [outcome=O|O...] [kind=K|K...] [ran=R|R...] [starts=N] [copies=N]
//
// It compares the last answer to the job and the number of its task starts.
func expectCommand(d *Deployment, ts *testscript.TestScript, a *arguments) error {
	copies, err := a.intOption("copies", 1)
	if err != nil {
		return err
	}
	starts, err := a.intOption("starts", -1)
	if err != nil {
		return err
	}
	outcome, kind, ran := a.stringOption("outcome", ""), a.stringOption("kind", ""), a.stringOption("ran", "")
	if err := a.validate(1, 1); err != nil {
		return err
	}
	for _, name := range copyNames(a.positional[0], copies) {
		j, err := d.caller.job(name)
		if err != nil {
			return err
		}
		if err := d.awaitJob(j); err != nil {
			return err
		}
		if err := j.expectAnswer(ts, outcome, kind, ran); err != nil {
			return err
		}
		if err := d.expectStarts(j, starts); err != nil {
			return err
		}
	}
	return nil
}

// expectStarts returns an error if the number of task starts of the job is not
// starts; a negative starts accepts any number. A target may record a start after
// the caller was told that the target is lost, so missing starts are waited for.
func (d *Deployment) expectStarts(j *job, starts int) error {
	if starts > 0 {
		if err := d.waitRecords(recorder.TaskStarted, j.name, starts); err != nil {
			return err
		}
	}
	n, err := d.countRecords(recorder.TaskStarted, j.submission.ID)
	if err == nil && starts >= 0 && n != starts {
		err = errors.Newf("job %s has %d task starts, want %d", j.name, n, starts)
	}
	return err
}

// expectAnswer compares the last answer to the job with the expected values, each
// empty or alternatives separated by "|".
func (j *job) expectAnswer(ts *testscript.TestScript, outcome, kind, ran string) error {
	j.mu.Lock()
	defer j.mu.Unlock()
	got := messenger.Answer{Outcome: "none", Error: &messenger.Error{Kind: "none", Ran: "none"}}
	if len(j.answers) > 0 {
		got = j.answers[len(j.answers)-1]
	}
	if got.Error == nil {
		got.Error = &messenger.Error{Kind: "none", Ran: "none"}
	}
	ts.Logf("%s: outcome=%s kind=%s ran=%s (%d answers, errors: %v)", j.name, got.Outcome, got.Error.Kind, got.Error.Ran, len(j.answers), j.errs)
	for _, c := range []struct{ field, want, got string }{
		{"outcome", outcome, string(got.Outcome)}, {"kind", kind, string(got.Error.Kind)}, {"ran", ran, string(got.Error.Ran)},
	} {
		if c.want != "" && !strings.Contains("|"+c.want+"|", "|"+c.got+"|") {
			return errors.Newf("job %s: want %s %q, got %q", j.name, c.field, c.want, c.got)
		}
	}
	return nil
}

// waitAnswers waits until count requests for the job have returned an answer or
// an error.
func (d *Deployment) waitAnswers(name string, count int) error {
	j, err := d.caller.job(name)
	if err != nil {
		return err
	}
	return d.poll("answers to job "+name, func() (bool, error) {
		j.mu.Lock()
		defer j.mu.Unlock()
		if len(j.answers)+len(j.errs) < count {
			return false, errors.Newf("got %d answers, errors: %v; want %d in total", len(j.answers), j.errs, count)
		}
		return true, nil
	})
}

// waitExpired waits until the entry has discarded the stored answer to the job.
func (d *Deployment) waitExpired(name, entry string) error {
	j, err := d.caller.job(name)
	if err != nil {
		return err
	}
	p, err := d.process(entry)
	if err != nil {
		return err
	}
	return d.poll(entry+" to discard the answer to job "+name, func() (bool, error) {
		ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
		defer cancel()
		var a messenger.Answer
		status, err := d.caller.client.Call(ctx, http.MethodGet, "http://"+p.callerAddress+"/v1/jobs/"+j.submission.ID, nil, &a)
		expired := err == nil && a.Error != nil && a.Error.Kind == messenger.IDExpired
		if err == nil && !expired {
			kind := messenger.ErrorKind("none")
			if a.Error != nil {
				kind = a.Error.Kind
			}
			err = errors.Newf("%s returned status %d, outcome %q and error kind %q", entry, status, a.Outcome, kind)
		}
		return expired, err
	})
}

// waitTrimmed waits until the log has deleted all records before offset.
func (d *Deployment) waitTrimmed(offset string) error {
	n, err := strconv.ParseInt(offset, 10, 64)
	if err != nil {
		return errors.Wrap(err, "offset")
	}
	return d.poll("the log to delete all records before offset "+offset, func() (bool, error) {
		ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
		defer cancel()
		var page messenger.LogPage
		status, err := d.client.Call(ctx, http.MethodGet, "http://"+d.platform.controlAddress+"/v1/log/config?from=0&limit=1", nil, &page)
		if err == nil && page.First < n {
			err = errors.Newf("the platform returned status %d and first offset %d", status, page.First)
		}
		return err == nil && page.First >= n, err
	})
}
