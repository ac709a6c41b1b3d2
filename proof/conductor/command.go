package conductor

import (
	"context"
	"net/http"
	"os/exec"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/godwitrelay/godwitrelay/proof/forwarder"
)

// arguments are the words of a command: plain ones, and those of the form
// name=value.
type arguments struct {
	plain []string
	named map[string]string
	// background is set by a last word "&".
	background bool
	used       map[string]bool
}

func parseArguments(words []string) *arguments {
	a := &arguments{named: map[string]string{}, used: map[string]bool{}}
	for i, w := range words {
		name, value, named := strings.Cut(w, "=")
		switch {
		case w == "&" && i == len(words)-1:
			a.background = true
		case named:
			a.named[name] = value
		default:
			a.plain = append(a.plain, w)
		}
	}
	return a
}

func (a *arguments) number(name string, preset int) (int, error) {
	a.used[name] = true
	text, ok := a.named[name]
	if !ok {
		return preset, nil
	}
	n, err := strconv.Atoi(text)
	return n, errors.Wrapf(err, "%s", name)
}

func (a *arguments) text(name, preset string) string {
	a.used[name] = true
	if text, ok := a.named[name]; ok {
		return text
	}
	return preset
}

// done reports options that the command does not know, and a wrong number of
// plain words.
func (a *arguments) done(least, most int) error {
	for name := range a.named {
		if !a.used[name] {
			return errors.Newf("unknown option %s", name)
		}
	}
	if n := len(a.plain); n < least || n > most {
		return errors.Newf("%d words, expected %d to %d", n, least, most)
	}
	return nil
}

// command carries out one command of a script.
type command func(d *Deployment, ts *testscript.TestScript, a *arguments) error

// Commands returns the commands of the scenario language. find returns the
// deployment of the script.
func Commands(find func(ts *testscript.TestScript) *Deployment) map[string]func(*testscript.TestScript, bool, []string) {
	table := map[string]command{
		"deploy": deployCommand, "start": startCommand, "crash": crashCommand, "shutdown": shutdownCommand,
		"freeze": freezeCommand, "thaw": thawCommand, "await-exit": awaitExitCommand,
		"cut": cutCommand, "cut-one-way": cutCommand, "heal": healCommand, "delay": delayCommand,
		"lose-reply": loseCommand, "close-after-read": loseCommand, "outage": outageCommand, "platform": platformCommand,
		"submit": submitCommand, "resubmit": resubmitCommand, "cancel": cancelCommand, "fetch": fetchCommand, "await": awaitCommand,
		"load": loadCommand, "apply": applyCommand, "race": raceCommand,
		"leave": targetCommand, "break": targetCommand, "slow": targetCommand, "repair": targetCommand, "target-close": targetCommand,
		"announce-leaving": announceCommand, "mark": markCommand, "expect-no-starts": noStartsCommand,
		"drain": drainCommand, "wait-for": waitCommand, "expect": expectCommand, "served": servedCommand,
		"check-history": checkCommand,
	}
	result := map[string]func(*testscript.TestScript, bool, []string){}
	for name, run := range table {
		result[name] = func(ts *testscript.TestScript, neg bool, words []string) {
			a := parseArguments(words)
			a.named[""] = name
			a.used[""] = true
			err := run(find(ts), ts, a)
			switch {
			case neg && err == nil:
				ts.Fatalf("%s succeeded, and should not", name)
			case neg:
				ts.Logf("%s: %v", name, err)
			case err != nil:
				ts.Fatalf("%s: %v", name, err)
			}
		}
	}
	return result
}

func deployCommand(d *Deployment, _ *testscript.TestScript, a *arguments) error {
	var l Layout
	var err error
	set := func(to *int, name string, preset int) {
		n, e := a.number(name, preset)
		*to, err = n, errors.CombineErrors(err, e)
	}
	var retention, keep, lease int
	set(&l.Domains, "domains", 1)
	set(&l.Entries, "entries", 2)
	set(&l.Targets, "targets", 2)
	set(&l.Slots, "slots", 8)
	set(&retention, "retentionMs", 0)
	set(&keep, "answerKeepMs", 0)
	set(&lease, "leaseMs", 0)
	l.RetentionMs, l.AnswerKeepMs, l.LeaseMs = int64(retention), int64(keep), int64(lease)
	if err = errors.CombineErrors(err, a.done(0, 0)); err != nil {
		return err
	}
	return d.Deploy(l)
}

// each runs f for every process that the command names.
func each(d *Deployment, a *arguments, f func(p *process) error) error {
	if err := a.done(1, 1000); err != nil {
		return err
	}
	for _, word := range a.plain {
		names, err := d.expand(word)
		if err != nil {
			return err
		}
		for _, name := range names {
			p, err := d.process(name)
			if err != nil {
				return err
			}
			if err := f(p); err != nil {
				return err
			}
		}
	}
	return nil
}

func startCommand(d *Deployment, _ *testscript.TestScript, a *arguments) error {
	return each(d, a, d.start)
}

func crashCommand(d *Deployment, _ *testscript.TestScript, a *arguments) error {
	return each(d, a, d.crash)
}

func shutdownCommand(d *Deployment, _ *testscript.TestScript, a *arguments) error {
	if err := each(d, a, d.shutdown); err != nil || a.background {
		return err
	}
	return each(d, a, d.awaitExit)
}

func awaitExitCommand(d *Deployment, _ *testscript.TestScript, a *arguments) error {
	return each(d, a, d.awaitExit)
}

func cutCommand(d *Deployment, _ *testscript.TestScript, a *arguments) error {
	cut := d.network.Cut
	if a.named[""] == "cut-one-way" {
		cut = d.network.CutOneWay
	}
	return pairs(d, a, cut)
}

// pairs runs f for every pair of a process of the first word and one of the
// second.
func pairs(d *Deployment, a *arguments, f func(from, to string)) error {
	if len(a.plain) < 2 {
		return errors.New("two names expected")
	}
	from, err := d.expand(a.plain[0])
	if err != nil {
		return err
	}
	to, err := d.expand(a.plain[1])
	if err != nil {
		return err
	}
	for _, x := range from {
		for _, y := range to {
			f(x, y)
		}
	}
	return nil
}

func healCommand(d *Deployment, _ *testscript.TestScript, a *arguments) error {
	d.network.Heal()
	return a.done(0, 0)
}

func delayCommand(d *Deployment, _ *testscript.TestScript, a *arguments) error {
	ms, err := a.number("ms", 10)
	if err != nil {
		return err
	}
	return pairs(d, a, func(from, to string) { d.network.Delay(from, to, time.Duration(ms)*time.Millisecond) })
}

// loseCommand: lose-reply FROM TO PATH [count=N]. The connection breaks at the
// reply, or with close-after-read when the request has been read.
func loseCommand(d *Deployment, _ *testscript.TestScript, a *arguments) error {
	count, err := a.number("count", 1)
	if err != nil {
		return err
	}
	if err := a.done(3, 3); err != nil {
		return err
	}
	when := forwarder.AtReply
	if a.named[""] == "close-after-read" {
		when = forwarder.AfterRequest
	}
	if a.plain[0] == operatorName {
		d.network.Lose(operatorName, a.plain[1], a.plain[2], when, count)
		return nil
	}
	return pairs(d, a, func(from, to string) { d.network.Lose(from, to, a.plain[2], when, count) })
}

func (d *Deployment) control(p *process, body any) error {
	ctx, cancel := context.WithTimeout(context.Background(), replyBound)
	defer cancel()
	var reply map[string]any
	status, err := d.client.Call(ctx, http.MethodPost, "http://"+p.control+"/control", body, &reply)
	if err == nil && status != http.StatusOK {
		err = errors.Newf("%s answered %d: %v", p.name, status, reply["message"])
	}
	return err
}

// outageCommand: outage KIND [PART...], where KIND is refuse, hang or works.
// Without parts it concerns the whole platform.
func outageCommand(d *Deployment, _ *testscript.TestScript, a *arguments) error {
	if err := a.done(1, 5); err != nil {
		return err
	}
	kind, parts := a.plain[0], a.plain[1:]
	if kind == "works" {
		kind = ""
	}
	if len(parts) == 0 {
		parts = []string{"log", "vms", "leases", "usage"}
	}
	outage := object{}
	for _, p := range parts {
		outage[p] = kind
	}
	return d.control(d.platform, object{"outage": outage})
}

// platformCommand: platform NAME=NUMBER..., the numbers of POST /control.
func platformCommand(d *Deployment, _ *testscript.TestScript, a *arguments) error {
	body := object{}
	for name := range a.named {
		if name == "" {
			continue
		}
		n, err := a.number(name, 0)
		if err != nil {
			return err
		}
		body[name] = n
	}
	if err := a.done(0, 0); err != nil {
		return err
	}
	return d.control(d.platform, body)
}

// targetCommand: leave, break, slow (factor=N), repair, target-close (count=N).
func targetCommand(d *Deployment, _ *testscript.TestScript, a *arguments) error {
	factor, err := a.number("factor", 10)
	if err != nil {
		return err
	}
	count, err := a.number("count", 1)
	if err != nil {
		return err
	}
	body := map[string]object{
		"leave": {"leaving": true}, "break": {"failPercent": 100},
		"slow":         {"slowFactor": factor, "slowPercent": 100},
		"repair":       {"failPercent": 0, "slowPercent": 0, "leaving": false},
		"target-close": {"closeAfterRead": count},
	}[a.named[""]]
	return each(d, a, func(p *process) error { return d.control(p, body) })
}

// announceCommand makes the platform's list show targets as leaving, which
// these don't know themselves.
func announceCommand(d *Deployment, _ *testscript.TestScript, a *arguments) error {
	return each(d, a, func(p *process) error {
		return d.control(d.platform, object{"leaving": map[string]bool{p.address: true}})
	})
}

// markCommand notes how many tasks each target has started.
func markCommand(d *Deployment, _ *testscript.TestScript, a *arguments) error {
	return each(d, a, func(p *process) error {
		n, err := d.startsOn(p)
		d.marks[p.name] = n
		return err
	})
}

// noStartsCommand fails if a target has started a task since its mark.
func noStartsCommand(d *Deployment, _ *testscript.TestScript, a *arguments) error {
	return each(d, a, func(p *process) error {
		n, err := d.startsOn(p)
		if err == nil && n != d.marks[p.name] {
			err = errors.Newf("%s has started %d tasks since it was marked", p.name, n-d.marks[p.name])
		}
		return err
	})
}

func drainCommand(d *Deployment, _ *testscript.TestScript, a *arguments) error {
	return each(d, a, func(p *process) error {
		return d.runOperator([]string{"--entry", p.control, "drain", p.control})
	})
}

func loadCommand(d *Deployment, _ *testscript.TestScript, a *arguments) error {
	callers, err := a.number("callers", 4)
	if err != nil {
		return err
	}
	if err := a.done(1, 1); err != nil {
		return err
	}
	switch a.plain[0] {
	case "start":
		d.caller.startLoad(callers)
	case "stop":
		d.caller.stopLoad()
	default:
		return errors.Newf("%q is neither start nor stop", a.plain[0])
	}
	return nil
}

// servedCommand prints the share of the background load that each domain has
// served since the last time, once each domain has least=N complete answers.
func servedCommand(d *Deployment, ts *testscript.TestScript, a *arguments) error {
	least, err := a.number("least", 0)
	if err != nil {
		return err
	}
	if err := a.done(0, 1); err != nil {
		return err
	}
	err = d.poll("complete answers in every domain", func() (bool, error) {
		text, n := d.caller.served()
		return n >= least, errors.New(text)
	})
	text, _ := d.caller.served()
	ts.Logf("%s %s", strings.Join(a.plain, " "), text)
	d.caller.resetServed()
	return err
}

// applyCommand: apply NAME variant=N [timeoutMs=N] [outcome=lost|unknown].
func applyCommand(d *Deployment, _ *testscript.TestScript, a *arguments) error {
	variant, err := a.number("variant", 1)
	if err != nil {
		return err
	}
	want := a.text("outcome", "")
	timeout := a.text("timeout", "15s")
	if err := a.done(1, 1); err != nil {
		return err
	}
	err = d.apply(a.plain[0], variant, "--timeout", timeout)
	code := map[string]int{"lost": exitLost, "unknown": exitUnknown}[want]
	if code == 0 {
		return err
	}
	var failed *exec.ExitError
	if !errors.As(err, &failed) || failed.ExitCode() != code {
		return errors.Newf("want exit code %d, got %v", code, err)
	}
	return nil
}

func raceCommand(d *Deployment, _ *testscript.TestScript, a *arguments) error {
	operators, err := a.number("operators", 3)
	if err != nil {
		return err
	}
	variant, err := a.number("variant", 100)
	if err != nil {
		return err
	}
	if err := a.done(0, 0); err != nil {
		return err
	}
	return d.race(operators, variant)
}

func freezeCommand(d *Deployment, _ *testscript.TestScript, a *arguments) error {
	return each(d, a, func(p *process) error { return d.freeze(p, true) })
}

func thawCommand(d *Deployment, _ *testscript.TestScript, a *arguments) error {
	return each(d, a, func(p *process) error { return d.freeze(p, false) })
}

// checkCommand: check-history [leavingMs=N] waits for the load and for agreement,
// then checks all histories. leavingMs is the bound for starts on a target that
// is leaving.
func checkCommand(d *Deployment, ts *testscript.TestScript, a *arguments) error {
	leaving, err := a.number("leavingMs", 0)
	if err != nil {
		return err
	}
	if err := a.done(0, 0); err != nil {
		return err
	}
	d.caller.stopLoad()
	if err := d.caller.awaitAll(); err != nil {
		return err
	}
	if err := d.waitAgreed(); err != nil {
		return err
	}
	if err := d.checkLogs(); err != nil {
		return err
	}
	list, records, err := d.Check(time.Duration(leaving) * time.Millisecond)
	if err != nil {
		return err
	}
	if records == 0 {
		return errors.New("the histories are empty")
	}
	ts.Logf("check-history: %d records, %d violations", records, len(list))
	for _, v := range list {
		ts.Logf("%s", v)
	}
	if len(list) > 0 {
		return errors.Newf("%d violations", len(list))
	}
	return nil
}

func (c *caller) awaitAll() error {
	c.mu.Lock()
	names := make([]string, 0, len(c.works))
	for name := range c.works {
		names = append(names, name)
	}
	c.mu.Unlock()
	sort.Strings(names)
	for _, name := range names {
		w, err := c.work(name)
		if err != nil {
			return err
		}
		if err := c.deployment.await(w); err != nil {
			return err
		}
	}
	return nil
}
