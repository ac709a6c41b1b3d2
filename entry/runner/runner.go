// Package runner carries out the effects that the reducer of an entry asks
// for, and feeds their results back as events.
package runner

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/godwitrelay/godwitrelay/core/follower"
	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/core/recorder"
	"github.com/godwitrelay/godwitrelay/entry/dispatcher"
	"github.com/godwitrelay/godwitrelay/entry/exporter"
)

const (
	// queueLength bounds the events that wait for the reducer. A full queue
	// slows listeners down, which is what a caller should feel.
	queueLength = 8192
	// tickPeriod is the precision of deadlines. At 5 ms an idle entry spent 2
	// percent of a core on ticks alone.
	tickPeriod = 20 * time.Millisecond
	// controlTimeout bounds calls to other entries that carry no task.
	controlTimeout = time.Second
	// platformTimeout bounds calls to the platform, whose log may be slow.
	platformTimeout = 5 * time.Second
)

// Runner owns the reducer and its loop. Set the exported fields before [Run].
type Runner struct {
	State    *dispatcher.State
	Targets  messenger.Client
	Peers    messenger.Client
	Platform messenger.Client
	// PlatformAddress is IP:port, or empty without a platform.
	PlatformAddress string
	Metrics         *exporter.Exporter
	History         *recorder.Recorder
	// Events records what the reducer was told, for a replay; nil for none.
	Events *dispatcher.EventLog
	Log    *logrus.Logger

	events  chan dispatcher.Msg
	waiters sync.Map
	next    sync.Mutex
	last    dispatcher.Waiter
	over    chan struct{}
	end     chan struct{}
	done    chan struct{}
	ready   sync.RWMutex
	isReady bool
}

// Init makes the runner usable; call it once before [Runner.Run].
func (r *Runner) Init() {
	r.events = make(chan dispatcher.Msg, queueLength)
	r.over, r.end, r.done = make(chan struct{}), make(chan struct{}), make(chan struct{})
}

// Run handles events until [Runner.End] is called. Over is closed when the
// reducer asks to exit; requests that still come in are answered until the end.
func (r *Runner) Run() {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	defer close(r.done)
	for {
		var msg dispatcher.Msg
		select {
		case msg = <-r.events:
		case <-ticker.C:
			msg = dispatcher.Tick{}
		case <-r.end:
			return
		}
		now := time.Now()
		cmds := r.State.Update(now, msg)
		r.Events.Write(now, msg, cmds)
		for _, cmd := range cmds {
			r.perform(cmd)
		}
		r.setReady(r.State.Ready())
	}
}

// Over is closed when the planned stop is complete.
func (r *Runner) Over() <-chan struct{} { return r.over }

// End ends [Runner.Run].
func (r *Runner) End() { close(r.end) }

// Ready tells whether callers may be sent to this entry.
func (r *Runner) Ready() bool {
	r.ready.RLock()
	defer r.ready.RUnlock()
	return r.isReady
}

func (r *Runner) setReady(ready bool) {
	r.ready.RLock()
	same := r.isReady == ready
	r.ready.RUnlock()
	if same {
		return
	}
	r.ready.Lock()
	r.isReady = ready
	r.ready.Unlock()
}

// Post hands an event to the reducer.
func (r *Runner) Post(msg dispatcher.Msg) {
	select {
	case r.events <- msg:
	case <-r.done:
	}
}

// Ask posts the event that build makes for a new waiter, and waits for its
// reply until ctx ends. The waiter is returned for [dispatcher.Abandon].
func (r *Runner) Ask(ctx context.Context, build func(dispatcher.Waiter) dispatcher.Msg) (any, dispatcher.Waiter, error) {
	r.next.Lock()
	r.last++
	w := r.last
	r.next.Unlock()
	reply := make(chan any, 1)
	r.waiters.Store(w, reply)
	defer r.waiters.Delete(w)
	r.Post(build(w))
	select {
	case v := <-reply:
		return v, w, nil
	case <-ctx.Done():
		return nil, w, errors.Wrap(ctx.Err(), "waiting for the reply")
	case <-r.done:
		return nil, w, errors.New("the process is stopping")
	}
}

func (r *Runner) perform(cmd dispatcher.Cmd) {
	switch cmd := cmd.(type) {
	case dispatcher.Reply:
		// The waiter is taken out first, so that a second reply to it can't
		// block the loop.
		if ch, ok := r.waiters.LoadAndDelete(cmd.Waiter); ok {
			ch.(chan any) <- cmd.Value
		}
	case dispatcher.StartTask:
		go r.startTask(cmd)
	case dispatcher.Forward:
		go r.forward(cmd)
	case dispatcher.SendSlots:
		go r.sendSlots(cmd)
	case dispatcher.SendGrants:
		go r.sendGrants(cmd)
	case dispatcher.Probe:
		go r.probe(cmd)
	case dispatcher.Beat:
		go r.beat(cmd)
	case dispatcher.FetchVMs:
		go r.fetchVMs(cmd)
	case dispatcher.FetchConfiguration:
		go r.fetchConfiguration(cmd)
	case dispatcher.Count:
		r.Metrics.Count(cmd.Group, cmd.Reason)
	case dispatcher.Observe:
		r.Metrics.Observe(cmd.Priority, cmd.Outcome, cmd.Response)
	case dispatcher.Note:
		r.History.Record(time.Now(), cmd.Record)
	case dispatcher.Exit:
		close(r.over)
	case dispatcher.Log:
		r.Log.Info(cmd.Part + ": " + cmd.Text)
	default:
		r.performPlatform(cmd)
	}
}

func (r *Runner) performPlatform(cmd dispatcher.Cmd) {
	if r.PlatformAddress == "" {
		return
	}
	switch cmd := cmd.(type) {
	case dispatcher.ReadLog:
		go r.readLog(cmd)
	case dispatcher.AppendSnapshot:
		go func() {
			err := r.platform(http.MethodPost, "/v1/log/"+follower.Stream, cmd.Record, nil)
			r.Post(dispatcher.SnapshotAppended{Err: dispatcher.Fail(err)})
		}()
	case dispatcher.ListVMs:
		go func() {
			var list messenger.VMList
			err := r.platform(http.MethodGet, "/v1/vms", nil, &list)
			r.Post(dispatcher.VMsListed{List: list, Err: dispatcher.Fail(err)})
		}()
	case dispatcher.ReadUsage:
		go func() {
			var totals messenger.UsageTotals
			err := r.platform(http.MethodGet, "/v1/usage", nil, &totals)
			r.Post(dispatcher.UsageRead{SlotMs: totals.SlotMs, Err: dispatcher.Fail(err)})
		}()
	case dispatcher.RenewLease:
		go func() { _ = r.platform(http.MethodPost, "/v1/leases", cmd.Request, nil) }()
	}
}

func (r *Runner) startTask(cmd dispatcher.StartTask) {
	ctx, cancel := context.WithTimeout(context.Background(), cmd.Timeout)
	defer cancel()
	reply, err := r.Targets.StartTask(ctx, cmd.Grant.Target, cmd.Request)
	r.Post(dispatcher.TaskEnded{JobID: cmd.JobID, Task: cmd.Task, Grant: cmd.Grant, Reply: reply, Err: dispatcher.Fail(err)})
}

func (r *Runner) forward(cmd dispatcher.Forward) {
	ctx, cancel := context.WithTimeout(context.Background(), cmd.Timeout+controlTimeout)
	defer cancel()
	address := "http://" + cmd.Address + "/peer/v1/jobs"
	var body any
	if cmd.Method == http.MethodPost {
		body = cmd.Submission
	} else {
		address += "/" + url.PathEscape(cmd.JobID) + "?waitMs=" + strconv.FormatInt(cmd.Timeout.Milliseconds(), 10)
	}
	var answer messenger.Answer
	_, err := r.Peers.Call(ctx, cmd.Method, address, body, &answer)
	if err == nil && answer.Outcome == "" {
		err = errors.New("the owner gave no answer")
	}
	r.Post(dispatcher.Forwarded{Waiter: cmd.Waiter, JobID: cmd.JobID, Answer: answer, Err: dispatcher.Fail(err)})
}

func (r *Runner) sendSlots(cmd dispatcher.SendSlots) {
	sent := time.Now()
	var reply messenger.SlotsReply
	err := r.peer(http.MethodPost, cmd.To.Address, "/peer/v1/slots", cmd.Request, &reply)
	r.Post(dispatcher.SlotsAnswered{To: cmd.To, SentAt: sent, Reply: reply, Err: dispatcher.Fail(err)})
}

func (r *Runner) sendGrants(cmd dispatcher.SendGrants) {
	err := r.peer(http.MethodPost, cmd.To.Address, "/peer/v1/grants", cmd.Request, nil)
	r.Post(dispatcher.GrantsSent{To: cmd.To, Err: dispatcher.Fail(err)})
}

func (r *Runner) probe(cmd dispatcher.Probe) {
	ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	var status messenger.TargetStatus
	_, err := r.Targets.Call(ctx, http.MethodGet, "http://"+cmd.Target+"/v1/status", nil, &status)
	r.Post(dispatcher.Probed{Target: cmd.Target, Status: status, Err: dispatcher.Fail(err)})
}

func (r *Runner) beat(cmd dispatcher.Beat) {
	var reply messenger.Heartbeat
	if err := r.peer(http.MethodPost, cmd.Address, "/peer/v1/heartbeat", cmd.Heartbeat, &reply); err != nil {
		r.Post(dispatcher.BeatFailed{Address: cmd.Address})
		return
	}
	r.Post(dispatcher.Heard{Heartbeat: reply})
}

func (r *Runner) fetchConfiguration(cmd dispatcher.FetchConfiguration) {
	var accepted follower.Accepted
	err := r.peer(http.MethodGet, cmd.Address, "/peer/v1/configuration", nil, &accepted)
	r.Post(dispatcher.ConfigurationFetched{Accepted: accepted, Err: dispatcher.Fail(err)})
}

func (r *Runner) fetchVMs(cmd dispatcher.FetchVMs) {
	var list messenger.VMList
	err := r.peer(http.MethodGet, cmd.Address, "/peer/v1/vms", nil, &list)
	if err == nil && len(list.VMs) == 0 {
		err = errors.Newf("%s has no list of VMs", cmd.Address)
	}
	r.Post(dispatcher.VMsListed{Peer: true, List: list, Err: dispatcher.Fail(err)})
}

func (r *Runner) readLog(cmd dispatcher.ReadLog) {
	var page messenger.LogPage
	path := "/v1/log/" + follower.Stream + "?from=" + strconv.FormatInt(cmd.From, 10) + "&limit=" + strconv.Itoa(cmd.Limit)
	err := r.platform(http.MethodGet, path, nil, &page)
	r.Post(dispatcher.LogRead{Page: page, Err: dispatcher.Fail(err)})
}

// peer calls another entry and treats any status of 300 or more as an error.
func (r *Runner) peer(method, address, path string, in, out any) error {
	return call(r.Peers, controlTimeout, method, "http://"+address+path, in, out)
}

func (r *Runner) platform(method, path string, in, out any) error {
	return call(r.Platform, platformTimeout, method, "http://"+r.PlatformAddress+path, in, out)
}

func call(c messenger.Client, timeout time.Duration, method, address string, in, out any) error {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	status, err := c.Call(ctx, method, address, in, out)
	if err == nil && status >= http.StatusMultipleChoices {
		err = errors.Newf("%s %s: status %d", method, address, status)
	}
	return err
}
