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

	"github.com/godwitrelay/godwitrelay/core/recorder"
	"github.com/godwitrelay/godwitrelay/proof/forwarder"
)

// arguments are the parsed arguments of a scenario command.
type arguments struct {
	positional []string
	// options are the arguments of the form name=value. In addition, the key ""
	// holds the name of the command, which functions that implement several
	// commands read to tell them apart.
	options map[string]string
	// background is set by a trailing "&".
	background bool
	// known are the options that the command has read.
	known map[string]bool
}

// parseArguments splits the words of a command into its arguments.
func parseArguments(words []string) *arguments {
	a := &arguments{options: map[string]string{}, known: map[string]bool{}}
	for i, w := range words {
		name, value, isOption := strings.Cut(w, "=")
		switch {
		case w == "&" && i == len(words)-1:
			a.background = true
		case isOption:
			a.options[name] = value
		default:
			a.positional = append(a.positional, w)
		}
	}
	return a
}

func (a *arguments) intOption(name string, defaultValue int) (int, error) {
	a.known[name] = true
	text, ok := a.options[name]
	if !ok {
		return defaultValue, nil
	}
	n, err := strconv.Atoi(text)
	return n, errors.Wrapf(err, "%s", name)
}

func (a *arguments) stringOption(name, defaultValue string) string {
	a.known[name] = true
	if text, ok := a.options[name]; ok {
		return text
	}
	return defaultValue
}

// validate returns an error for options that the command has not read, and for a
// wrong number of positional arguments.
func (a *arguments) validate(minArgs, maxArgs int) error {
	for name := range a.options {
		if !a.known[name] {
			return errors.Newf("unknown option %q", name)
		}
	}
	if n := len(a.positional); n < minArgs || n > maxArgs {
		return errors.Newf("got %d arguments, want %d to %d", n, minArgs, maxArgs)
	}
	return nil
}

// command runs one command of a scenario.
type command func(d *Deployment, ts *testscript.TestScript, a *arguments) error

// Commands returns the testscript commands of the scenario language.
// deploymentOf returns the deployment that a script runs on.
func Commands(deploymentOf func(ts *testscript.TestScript) *Deployment) map[string]func(*testscript.TestScript, bool, []string) {
	commands := map[string]command{
		"deploy": deployCommand, "start": startCommand, "crash": crashCommand, "shutdown": shutdownCommand,
		"freeze": freezeCommand, "thaw": thawCommand, "await-exit": awaitExitCommand,
		"cut": cutCommand, "cut-one-way": cutCommand, "heal": healCommand, "delay": delayCommand,
		"lose-reply": loseReplyCommand, "close-after-read": loseReplyCommand, "outage": outageCommand, "platform": platformCommand,
		"submit": submitCommand, "resubmit": resubmitCommand, "cancel": cancelCommand, "fetch": fetchCommand, "await": awaitCommand,
		"load": loadCommand, "apply": applyCommand, "race": raceCommand,
		"leave": targetCommand, "break": targetCommand, "slow": targetCommand, "repair": targetCommand, "target-close": targetCommand,
		"announce-leaving": listLeavingCommand, "mark": markCommand, "expect-no-starts": expectNoStartsCommand,
		"drain": drainCommand, "wait-for": waitForCommand, "expect": expectCommand, "served": servedCommand,
		"check-history": checkHistoryCommand, "attack": attackCommand,
	}
	result := map[string]func(*testscript.TestScript, bool, []string){}
	for name, run := range commands {
		result[name] = func(ts *testscript.TestScript, neg bool, words []string) {
			a := parseArguments(words)
			a.options[""] = name
			a.known[""] = true
			err := run(deploymentOf(ts), ts, a)
			switch {
			case neg && err == nil:
				ts.Fatalf("%s succeeded, want an error", name)
			case neg:
				ts.Logf("%s: %v", name, err)
			case err != nil:
				ts.Fatalf("%s: %v", name, err)
			}
		}
	}
	return result
}

// deployCommand implements
//
//	deploy [domains=N] [entries=N] [targets=N] [slots=N] [retentionMs=N]
//		[answerKeepMs=N] [leaseMs=N]
//
// Entries and targets are per failure domain, slots per target.
func deployCommand(d *Deployment, _ *testscript.TestScript, a *arguments) error {
	var layout Layout
	var err error
	parseInt := func(to *int, name string, defaultValue int) {
		n, e := a.intOption(name, defaultValue)
		*to, err = n, errors.CombineErrors(err, e)
	}
	var retention, answerKeep, lease int
	parseInt(&layout.Domains, "domains", 1)
	parseInt(&layout.Entries, "entries", 2)
	parseInt(&layout.Targets, "targets", 2)
	parseInt(&layout.Slots, "slots", 8)
	parseInt(&retention, "retentionMs", 0)
	parseInt(&answerKeep, "answerKeepMs", 0)
	parseInt(&lease, "leaseMs", 0)
	layout.LogRetentionMs, layout.AnswerKeepMs, layout.LeaseMs = int64(retention), int64(answerKeep), int64(lease)
	if err = errors.CombineErrors(err, a.validate(0, 0)); err != nil {
		return err
	}
	return d.Deploy(layout)
}

// forEachProcess calls f for every process that the command names, including the
// processes of a named failure domain.
func forEachProcess(d *Deployment, a *arguments, f func(p *process) error) error {
	if err := a.validate(1, 1000); err != nil {
		return err
	}
	for _, word := range a.positional {
		names, err := d.resolveNames(word)
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

// startCommand implements
//
//	start PROCESS...
func startCommand(d *Deployment, _ *testscript.TestScript, a *arguments) error {
	return forEachProcess(d, a, d.start)
}

// crashCommand implements
//
//	crash PROCESS...
//
// It kills the processes with SIGKILL.
func crashCommand(d *Deployment, _ *testscript.TestScript, a *arguments) error {
	return forEachProcess(d, a, d.crash)
}

// shutdownCommand implements
//
//	shutdown PROCESS... [&]
//
// It sends SIGTERM to the processes and, without &, waits until they exit.
func shutdownCommand(d *Deployment, _ *testscript.TestScript, a *arguments) error {
	if err := forEachProcess(d, a, d.shutdown); err != nil || a.background {
		return err
	}
	return forEachProcess(d, a, d.awaitExit)
}

func awaitExitCommand(d *Deployment, _ *testscript.TestScript, a *arguments) error {
	return forEachProcess(d, a, d.awaitExit)
}

// cutCommand implements
//
//	cut FROM TO
//	cut-one-way FROM TO
//
// It blocks the data between the processes or, with cut-one-way, only the data
// from FROM to TO.
func cutCommand(d *Deployment, _ *testscript.TestScript, a *arguments) error {
	partition := d.network.Partition
	if a.options[""] == "cut-one-way" {
		partition = d.network.PartitionOneWay
	}
	return forEachPair(d, a, partition)
}

// forEachPair calls f for every pair of a process named by the first argument and
// a process named by the second.
func forEachPair(d *Deployment, a *arguments, f func(from, to string)) error {
	if len(a.positional) < 2 {
		return errors.New("want the names of two processes or failure domains")
	}
	from, err := d.resolveNames(a.positional[0])
	if err != nil {
		return err
	}
	to, err := d.resolveNames(a.positional[1])
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
	return a.validate(0, 0)
}

// delayCommand implements
//
//	delay FROM TO [ms=N]
//
// It delays each chunk of data between the processes, in both directions, by N
// milliseconds (default 10).
func delayCommand(d *Deployment, _ *testscript.TestScript, a *arguments) error {
	ms, err := a.intOption("ms", 10)
	if err != nil {
		return err
	}
	return forEachPair(d, a, func(from, to string) { d.network.Delay(from, to, time.Duration(ms)*time.Millisecond) })
}

// loseReplyCommand implements
//
//	lose-reply FROM TO PATH [count=N]
//	close-after-read FROM TO PATH [count=N]
//
// It closes the connections of the next N requests (default 1) from FROM to TO
// whose path starts with PATH, for each pair of processes: once the server has
// sent the first part of its reply or, with close-after-read, once the request has
// been forwarded.
func loseReplyCommand(d *Deployment, _ *testscript.TestScript, a *arguments) error {
	count, err := a.intOption("count", 1)
	if err != nil {
		return err
	}
	if err := a.validate(3, 3); err != nil {
		return err
	}
	point := forwarder.AtReply
	if a.options[""] == "close-after-read" {
		point = forwarder.AfterRequest
	}
	if a.positional[0] == operatorName {
		d.network.DropReplies(operatorName, a.positional[1], a.positional[2], point, count)
		return nil
	}
	return forEachPair(d, a, func(from, to string) { d.network.DropReplies(from, to, a.positional[2], point, count) })
}

// postControl posts a request to the control endpoint of a process.
func (d *Deployment) postControl(p *process, body any) error {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	var reply map[string]any
	status, err := d.client.Call(ctx, http.MethodPost, "http://"+p.controlAddress+"/control", body, &reply)
	if err == nil && status != http.StatusOK {
		err = errors.Newf("status %d: %v", status, reply["message"])
	}
	return errors.Wrapf(err, "POST /control to %s", p.name)
}

// outageCommand implements
//
//	outage refuse|hang|works [PART...]
//
// It sets the outage of the given parts of the platform, or of all parts if none
// is given. The kind works ends an outage.
func outageCommand(d *Deployment, _ *testscript.TestScript, a *arguments) error {
	if err := a.validate(1, 5); err != nil {
		return err
	}
	kind, parts := a.positional[0], a.positional[1:]
	if kind == "works" {
		kind = ""
	}
	if len(parts) == 0 {
		parts = []string{"log", "vms", "leases", "usage"}
	}
	outage := jsonObject{}
	for _, p := range parts {
		outage[p] = kind
	}
	return d.postControl(d.platform, jsonObject{"outage": outage})
}

// platformCommand implements
//
//	platform NAME=NUMBER...
//
// It sets fields of the platform's POST /control request.
func platformCommand(d *Deployment, _ *testscript.TestScript, a *arguments) error {
	body := jsonObject{}
	for name := range a.options {
		if name == "" {
			continue
		}
		n, err := a.intOption(name, 0)
		if err != nil {
			return err
		}
		body[name] = n
	}
	if err := a.validate(0, 0); err != nil {
		return err
	}
	return d.postControl(d.platform, body)
}

// targetCommand implements
//
//	leave TARGET...
//	break TARGET...
//	slow TARGET... [factor=N]
//	repair TARGET...
//	target-close TARGET... [count=N]
//
// With leave, the targets announce that they are leaving. With break, all tasks
// fail. With slow, tasks take N times their run time. repair ends these three.
// With target-close, the targets close the connections of their next N tasks after
// reading the request.
func targetCommand(d *Deployment, _ *testscript.TestScript, a *arguments) error {
	factor, err := a.intOption("factor", 10)
	if err != nil {
		return err
	}
	count, err := a.intOption("count", 1)
	if err != nil {
		return err
	}
	body := map[string]jsonObject{
		"leave": {"leaving": true}, "break": {"failPercent": 100},
		"slow":         {"slowFactor": factor, "slowPercent": 100},
		"repair":       {"failPercent": 0, "slowPercent": 0, "leaving": false},
		"target-close": {"closeAfterRead": count},
	}[a.options[""]]
	return forEachProcess(d, a, func(p *process) error { return d.postControl(p, body) })
}

// listLeavingCommand implements
//
//	announce-leaving TARGET...
//
// It makes the platform list the targets as leaving without notifying the targets
// themselves, so that they still accept tasks.
func listLeavingCommand(d *Deployment, _ *testscript.TestScript, a *arguments) error {
	return forEachProcess(d, a, func(p *process) error {
		return d.postControl(d.platform, jsonObject{"leaving": map[string]bool{p.announcedAddress: true}})
	})
}

// markCommand implements
//
//	mark TARGET...
//
// It saves the tasks that entries have sent to each target so far, for
// expect-no-starts.
func markCommand(d *Deployment, _ *testscript.TestScript, a *arguments) error {
	return forEachProcess(d, a, func(p *process) error {
		sent, err := d.tasksOn(p, recorder.TaskSent)
		d.sentMarks[p.name] = sent
		return err
	})
}

// expectNoStartsCommand implements
//
//	expect-no-starts TARGET...
//
// It fails if a target has started a task that was sent to it after it was
// marked.
func expectNoStartsCommand(d *Deployment, _ *testscript.TestScript, a *arguments) error {
	return forEachProcess(d, a, func(p *process) error {
		started, err := d.tasksOn(p, recorder.TaskStarted)
		if err != nil {
			return err
		}
		sent, err := d.tasksOn(p, recorder.TaskSent)
		if err != nil {
			return err
		}
		marks, n := d.sentMarks[p.name], 0
		for t := range started {
			if marks[t] == 0 || sent[t] > marks[t] {
				n++
			}
		}
		if n > 0 {
			return errors.Newf("target %s has started %d tasks that were sent to it after it was marked", p.name, n)
		}
		return nil
	})
}

// drainCommand implements
//
//	drain ENTRY...
//
// It runs godwitctl drain for each entry.
func drainCommand(d *Deployment, _ *testscript.TestScript, a *arguments) error {
	return forEachProcess(d, a, func(p *process) error {
		return d.runOperator([]string{"--entry", p.controlAddress, "drain", p.controlAddress})
	})
}

// loadCommand implements
//
//	load start|stop [callers=N]
//
// callers is the number of callers per failure domain.
func loadCommand(d *Deployment, _ *testscript.TestScript, a *arguments) error {
	callers, err := a.intOption("callers", 4)
	if err != nil {
		return err
	}
	if err := a.validate(1, 1); err != nil {
		return err
	}
	switch a.positional[0] {
	case "start":
		d.caller.startLoad(callers)
	case "stop":
		d.caller.stopLoad()
	default:
		return errors.Newf("unknown load action %q, want start or stop", a.positional[0])
	}
	return nil
}

// servedCommand implements
//
//	served [LABEL] [least=N]
//
// It waits until each failure domain has N complete answers to the background load
// (default 0), logs the share of jobs with a complete answer per domain, and resets
// the counts. They cover the time since the load started or the previous served
// command. LABEL is printed before the summary.
func servedCommand(d *Deployment, ts *testscript.TestScript, a *arguments) error {
	minComplete, err := a.intOption("least", 0)
	if err != nil {
		return err
	}
	if err := a.validate(0, 1); err != nil {
		return err
	}
	err = d.poll("enough complete answers in every domain", func() (bool, error) {
		summary, n := d.caller.servedSummary()
		return n >= minComplete, errors.New(summary)
	})
	summary, _ := d.caller.servedSummary()
	ts.Logf("%s %s", strings.Join(a.positional, " "), summary)
	d.caller.resetCounts()
	return err
}

// applyCommand implements
//
//	apply NAME [variant=N] [timeout=DURATION] [outcome=lost|unknown]
//
// It runs godwitctl apply with a variant of the sheet. With outcome, it fails
// unless godwitctl exits with the code of that outcome.
func applyCommand(d *Deployment, _ *testscript.TestScript, a *arguments) error {
	variant, err := a.intOption("variant", 1)
	if err != nil {
		return err
	}
	want := a.stringOption("outcome", "")
	timeout := a.stringOption("timeout", "15s")
	if err := a.validate(1, 1); err != nil {
		return err
	}
	err = d.apply(a.positional[0], variant, "--timeout", timeout)
	code := map[string]int{"lost": exitLost, "unknown": exitUnknown}[want]
	if code == 0 {
		return err
	}
	var exitErr *exec.ExitError
	if !errors.As(err, &exitErr) || exitErr.ExitCode() != code {
		return errors.Newf("want godwitctl to exit with code %d, got: %v", code, err)
	}
	return nil
}

// raceCommand implements
//
//	race [operators=N] [variant=N]
//
// It runs godwitctl apply concurrently for each operator (default 3), on the same
// base and with consecutive variants of the sheet that start at variant (default
// 100). It fails unless one change is accepted and all others lost to it.
func raceCommand(d *Deployment, _ *testscript.TestScript, a *arguments) error {
	operators, err := a.intOption("operators", 3)
	if err != nil {
		return err
	}
	variant, err := a.intOption("variant", 100)
	if err != nil {
		return err
	}
	if err := a.validate(0, 0); err != nil {
		return err
	}
	return d.race(operators, variant)
}

// freezeCommand implements
//
//	freeze PROCESS...
//
// It suspends the processes with SIGSTOP.
func freezeCommand(d *Deployment, _ *testscript.TestScript, a *arguments) error {
	return forEachProcess(d, a, func(p *process) error { return d.setFrozen(p, true) })
}

// thawCommand implements
//
//	thaw PROCESS...
//
// It resumes frozen processes with SIGCONT.
func thawCommand(d *Deployment, _ *testscript.TestScript, a *arguments) error {
	return forEachProcess(d, a, func(p *process) error { return d.setFrozen(p, false) })
}

// checkHistoryCommand implements
//
//	check-history [leavingMs=N]
//
// It stops the background load, waits until all requests have returned and all
// ready entries have the same configuration version, and then checks the logs for
// race reports and crashes, and all histories for violations. It also fails if
// there are no records. leavingMs is how long a leaving target may still start
// tasks.
func checkHistoryCommand(d *Deployment, ts *testscript.TestScript, a *arguments) error {
	leavingMs, err := a.intOption("leavingMs", 0)
	if err != nil {
		return err
	}
	if err := a.validate(0, 0); err != nil {
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
	violations, records, err := d.Check(time.Duration(leavingMs) * time.Millisecond)
	if err != nil {
		return err
	}
	if records == 0 {
		return errors.New("the history files contain no records")
	}
	ts.Logf("check-history: %d records, %d violations", records, len(violations))
	for _, v := range violations {
		ts.Logf("%s", v)
	}
	if len(violations) > 0 {
		return errors.Newf("history check found %d violations", len(violations))
	}
	return nil
}

// awaitAll waits until all requests for all jobs have returned, without the
// background load.
func (c *caller) awaitAll() error {
	c.mu.Lock()
	names := make([]string, 0, len(c.jobs))
	for name := range c.jobs {
		names = append(names, name)
	}
	c.mu.Unlock()
	sort.Strings(names)
	for _, name := range names {
		j, err := c.job(name)
		if err != nil {
			return err
		}
		if err := c.deployment.awaitJob(j); err != nil {
			return err
		}
	}
	return nil
}
