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

// freeze stops a process in place with SIGSTOP, or lets it go on.
func (d *Deployment) freeze(p *process, frozen bool) error {
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

// submitCommand: submit NAME via=ENTRY[,ENTRY] [id=ENTRY] [tasks=N] [runMs=N]
// [type=check|firm|batch] [deadlineMs=N] [declaredMs=N] [memoryMB=N]
// [same=NAME] [copies=N] [&]. The id comes from the first entry, from the entry
// given with id, or with same from other work. Several entries get the
// submission at once. With copies=N it submits works NAME1 to NAMEN.
func submitCommand(d *Deployment, _ *testscript.TestScript, a *arguments) error {
	copies, err := a.number("copies", 1)
	if err != nil {
		return err
	}
	options, err := workArguments(a)
	if err != nil {
		return err
	}
	via := strings.Split(a.text("via", ""), ",")
	from, same := a.text("id", via[0]), a.text("same", "")
	if err := a.done(1, 1); err != nil {
		return err
	}
	for _, name := range copyNames(a.plain[0], copies) {
		o := options
		o.content = name
		w := newWork(name, o)
		if err := d.identify(w, from, same); err != nil {
			return err
		}
		d.caller.keep(w)
		d.sendAll(w, via)
	}
	if a.background {
		return nil
	}
	return d.awaitNamed(a.plain[0], copies)
}

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

func workArguments(a *arguments) (workOptions, error) {
	var o workOptions
	var err error
	number := func(name string, preset int) int {
		n, e := a.number(name, preset)
		err = errors.CombineErrors(err, e)
		return n
	}
	o.tasks, o.runMs = number("tasks", 2), number("runMs", 20)
	o.deadlineMs = int64(number("deadlineMs", 20_000))
	o.declaredMs, o.declaredMemMB = int64(number("declaredMs", 0)), int64(number("memoryMB", 0))
	o.requestType = a.text("type", "firm")
	return o, err
}

func (d *Deployment) identify(w *work, from, same string) error {
	if same != "" {
		other, err := d.caller.work(same)
		if err != nil {
			return err
		}
		w.submission.ID = other.submission.ID
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), hangBound)
	defer cancel()
	id, err := d.caller.obtain(ctx, from)
	w.submission.ID = id
	return err
}

// sendAll submits the work through all entries at once.
func (d *Deployment) sendAll(w *work, via []string) {
	for _, entry := range via {
		w.pending.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), hangBound)
			defer cancel()
			d.caller.send(ctx, w, entry)
		})
	}
}

func (d *Deployment) awaitNamed(name string, copies int) error {
	for _, n := range copyNames(name, copies) {
		w, err := d.caller.work(n)
		if err != nil {
			return err
		}
		if err := d.await(w); err != nil {
			return err
		}
	}
	return nil
}

// again runs f on work that was submitted before, through the entries of via.
func again(d *Deployment, a *arguments, f func(ctx context.Context, w *work, entry string)) error {
	copies, err := a.number("copies", 1)
	if err != nil {
		return err
	}
	via := strings.Split(a.text("via", ""), ",")
	if err := a.done(1, 1); err != nil {
		return err
	}
	for _, name := range copyNames(a.plain[0], copies) {
		w, err := d.caller.work(name)
		if err != nil {
			return err
		}
		for _, entry := range via {
			w.pending.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), hangBound)
				defer cancel()
				f(ctx, w, entry)
			})
		}
	}
	if a.background {
		return nil
	}
	return d.awaitNamed(a.plain[0], copies)
}

func resubmitCommand(d *Deployment, _ *testscript.TestScript, a *arguments) error {
	return again(d, a, d.caller.send)
}

func cancelCommand(d *Deployment, _ *testscript.TestScript, a *arguments) error {
	return again(d, a, func(ctx context.Context, w *work, entry string) { d.caller.fetch(ctx, w, entry, http.MethodDelete) })
}

func fetchCommand(d *Deployment, _ *testscript.TestScript, a *arguments) error {
	return again(d, a, func(ctx context.Context, w *work, entry string) { d.caller.fetch(ctx, w, entry, http.MethodGet) })
}

// awaitCommand: await NAME waits for all answers to the work.
func awaitCommand(d *Deployment, _ *testscript.TestScript, a *arguments) error {
	copies, err := a.number("copies", 1)
	if err != nil {
		return err
	}
	if err := a.done(1, 1); err != nil {
		return err
	}
	return d.awaitNamed(a.plain[0], copies)
}

// waitCommand: wait-for settled | agreed | ready ENTRY | not-ready ENTRY |
// started WORK [count=N] | sent WORK | answers WORK [count=N] |
// expired WORK via=ENTRY | target NAME STATE | targets DOMAIN |
// member ENTRY [!]ENTRY | forgotten OFFSET.
func waitCommand(d *Deployment, _ *testscript.TestScript, a *arguments) error {
	count, err := a.number("count", 1)
	if err != nil {
		return err
	}
	via := a.text("via", "")
	if err := a.done(1, 3); err != nil {
		return err
	}
	var words [2]string
	copy(words[:], a.plain[1:])
	switch a.plain[0] {
	case "settled":
		return d.waitSettled()
	case "agreed":
		return d.waitAgreed()
	case "ready", "not-ready":
		return d.poll(words[0]+" to be "+a.plain[0], func() (bool, error) {
			s, err := d.status(words[0])
			return err == nil && s.Ready == (a.plain[0] == "ready"), err
		})
	case "started":
		return d.waitRecords(recorder.TaskStarted, words[0], count)
	case "sent":
		return d.waitRecords(recorder.TaskSent, words[0], count)
	case "target":
		return d.poll("target "+words[0], func() (bool, error) {
			state, err := d.targetState(words[0])
			return state == words[1], errors.CombineErrors(err, errors.Newf("it is %s", state))
		})
	case "targets":
		return d.poll("the targets of "+words[0], func() (bool, error) { return d.knowsTargets(words[0]) })
	case "answers":
		return d.waitAnswers(words[0], count)
	case "expired":
		return d.waitExpired(words[0], via)
	case "forgotten":
		return d.waitForgotten(words[0])
	case "member":
		return d.waitMember(words[0], words[1])
	default:
		return errors.Newf("unknown condition %q", a.plain[0])
	}
}

// waitMember waits until an entry counts another process of its domain as a
// member, or with a leading ! until it does not.
func (d *Deployment) waitMember(entry, other string) error {
	absent := strings.HasPrefix(other, "!")
	p, err := d.process(strings.TrimPrefix(other, "!"))
	if err != nil {
		return err
	}
	return d.poll("member "+other, func() (bool, error) {
		s, err := d.status(entry)
		found := false
		for _, m := range s.Members {
			found = found || m.Member.Address == p.address
		}
		return err == nil && found != absent, err
	})
}

func (d *Deployment) waitRecords(event recorder.Event, name string, count int) error {
	w, err := d.caller.work(name)
	if err != nil {
		return err
	}
	return d.poll(string(event)+" of "+name, func() (bool, error) {
		n, err := d.count(event, w.submission.ID)
		return n >= count, err
	})
}

// expectCommand: expect NAME [outcome=O|O...] [kind=K|K...] [ran=R] [starts=N]
// compares the last answer to the work, and the number of its starts.
func expectCommand(d *Deployment, ts *testscript.TestScript, a *arguments) error {
	copies, err := a.number("copies", 1)
	if err != nil {
		return err
	}
	starts, err := a.number("starts", -1)
	if err != nil {
		return err
	}
	outcome, kind, ran := a.text("outcome", ""), a.text("kind", ""), a.text("ran", "")
	if err := a.done(1, 1); err != nil {
		return err
	}
	for _, name := range copyNames(a.plain[0], copies) {
		w, err := d.caller.work(name)
		if err != nil {
			return err
		}
		if err := d.await(w); err != nil {
			return err
		}
		if err := w.expect(ts, outcome, kind, ran); err != nil {
			return err
		}
		if err := d.expectStarts(w, starts); err != nil {
			return err
		}
	}
	return nil
}

// expectStarts compares the number of starts of the work. A target may record a
// start after its caller was told that the target is lost, so that starts that
// are missing are waited for.
func (d *Deployment) expectStarts(w *work, starts int) error {
	if starts > 0 {
		if err := d.waitRecords(recorder.TaskStarted, w.name, starts); err != nil {
			return err
		}
	}
	n, err := d.count(recorder.TaskStarted, w.submission.ID)
	if err == nil && starts >= 0 && n != starts {
		err = errors.Newf("%s has %d starts", w.name, n)
	}
	return err
}

func (w *work) expect(ts *testscript.TestScript, outcome, kind, ran string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	got := messenger.Answer{Outcome: "none", Error: &messenger.Error{Kind: "none", Ran: "none"}}
	if len(w.answers) > 0 {
		got = w.answers[len(w.answers)-1]
	}
	if got.Error == nil {
		got.Error = &messenger.Error{Kind: "none", Ran: "none"}
	}
	ts.Logf("%s: %s, %s, %s (%d answers, errors %v)", w.name, got.Outcome, got.Error.Kind, got.Error.Ran, len(w.answers), w.errs)
	for _, c := range []struct{ want, got string }{
		{outcome, string(got.Outcome)}, {kind, string(got.Error.Kind)}, {ran, string(got.Error.Ran)},
	} {
		if c.want != "" && !strings.Contains("|"+c.want+"|", "|"+c.got+"|") {
			return errors.Newf("%s: want %s, got %s", w.name, c.want, c.got)
		}
	}
	return nil
}

// waitAnswers waits until the callers of the work have count answers.
func (d *Deployment) waitAnswers(name string, count int) error {
	w, err := d.caller.work(name)
	if err != nil {
		return err
	}
	return d.poll("answers to "+name, func() (bool, error) {
		w.mu.Lock()
		defer w.mu.Unlock()
		return len(w.answers)+len(w.errs) >= count, nil
	})
}

// waitExpired waits until the entry no longer keeps the answer to the work.
func (d *Deployment) waitExpired(name, entry string) error {
	w, err := d.caller.work(name)
	if err != nil {
		return err
	}
	p, err := d.process(entry)
	if err != nil {
		return err
	}
	return d.poll("the end of the answer to "+name, func() (bool, error) {
		ctx, cancel := context.WithTimeout(context.Background(), replyBound)
		defer cancel()
		var a messenger.Answer
		_, err := d.caller.client.Call(ctx, http.MethodGet, "http://"+p.callers+"/v1/jobs/"+w.submission.ID, nil, &a)
		return err == nil && a.Error != nil && a.Error.Kind == messenger.IDExpired, err
	})
}

// waitForgotten waits until the log no longer keeps the records before offset.
func (d *Deployment) waitForgotten(offset string) error {
	n, err := strconv.ParseInt(offset, 10, 64)
	if err != nil {
		return errors.Wrap(err, "offset")
	}
	return d.poll("offset "+offset+" to be the first", func() (bool, error) {
		ctx, cancel := context.WithTimeout(context.Background(), replyBound)
		defer cancel()
		var page messenger.LogPage
		_, err := d.client.Call(ctx, http.MethodGet, "http://"+d.platform.control+"/v1/log/config?from=0&limit=1", nil, &page)
		return err == nil && page.First >= n, err
	})
}
