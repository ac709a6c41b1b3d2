// Package runner executes the effects requested by the reducer of an entry and
// feeds their results back as events.
package runner

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"syscall"
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
	// queueLength limits the number of events that wait for the reducer. A full
	// queue blocks the listeners, which applies backpressure to callers.
	queueLength = 8192
	// tickPeriod is the resolution of deadlines. With 5 ms an idle entry spent 2
	// percent of a core on ticks alone.
	tickPeriod = 20 * time.Millisecond
	// controlTimeout limits the duration of calls to entries and targets that
	// neither start a task nor forward a job. The timeout of a forwarded request
	// is extended by it.
	controlTimeout = time.Second
	// platformTimeout limits the duration of calls to the platform, whose log may
	// be slow.
	platformTimeout = 5 * time.Second
)

// Runner owns the reducer and its event loop. Set the exported fields and call
// [Runner.Init] before [Runner.Run].
type Runner struct {
	State    *dispatcher.State
	Targets  messenger.Client
	Peers    messenger.Client
	Platform messenger.Client
	// PlatformAddress is the IP:port of the platform, or empty without one.
	PlatformAddress string
	Metrics         *exporter.Exporter
	History         *recorder.Recorder
	// Events records the reducer's events for a replay; nil disables it.
	Events *dispatcher.EventLog
	Log    *logrus.Logger

	events     chan dispatcher.Msg
	waiters    sync.Map
	waiterMu   sync.Mutex
	lastWaiter dispatcher.Waiter
	drained    chan struct{}
	stop       chan struct{}
	stopped    chan struct{}
	readyMu    sync.RWMutex
	isReady    bool
}

// Init creates the runner's channels. Call it once before [Runner.Run].
func (r *Runner) Init() {
	r.events = make(chan dispatcher.Msg, queueLength)
	r.drained, r.stop, r.stopped = make(chan struct{}), make(chan struct{}), make(chan struct{})
}

// Run handles events until [Runner.Stop] is called. The channel of
// [Runner.Drained] is closed when the reducer requests an exit; requests that
// still arrive are answered until Stop is called.
func (r *Runner) Run() {
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	defer close(r.stopped)
	for {
		var msg dispatcher.Msg
		select {
		case msg = <-r.events:
		case <-ticker.C:
			msg = dispatcher.Tick{}
		case <-r.stop:
			return
		}
		now := time.Now()
		cmds := r.State.Update(now, msg)
		r.Events.Write(now, msg, cmds)
		for _, cmd := range cmds {
			r.execute(cmd)
		}
		r.setReady(r.State.Ready())
	}
}

// Drained returns a channel that is closed when the planned stop is complete.
func (r *Runner) Drained() <-chan struct{} { return r.drained }

// Stop stops [Runner.Run].
func (r *Runner) Stop() { close(r.stop) }

// Ready reports whether callers may be sent to this entry.
func (r *Runner) Ready() bool {
	r.readyMu.RLock()
	defer r.readyMu.RUnlock()
	return r.isReady
}

func (r *Runner) setReady(ready bool) {
	r.readyMu.RLock()
	same := r.isReady == ready
	r.readyMu.RUnlock()
	if same {
		return
	}
	r.readyMu.Lock()
	r.isReady = ready
	r.readyMu.Unlock()
}

// Post queues an event for the reducer. After [Runner.Run] has returned, the
// event may be dropped.
func (r *Runner) Post(msg dispatcher.Msg) {
	select {
	case r.events <- msg:
	case <-r.stopped:
	}
}

// Request posts the event that build creates for a new [dispatcher.Waiter], and
// waits for the reply until ctx ends. It returns the waiter for use in
// [dispatcher.Abandon].
func (r *Runner) Request(ctx context.Context, build func(dispatcher.Waiter) dispatcher.Msg) (any, dispatcher.Waiter, error) {
	r.waiterMu.Lock()
	r.lastWaiter++
	w := r.lastWaiter
	r.waiterMu.Unlock()
	reply := make(chan any, 1)
	r.waiters.Store(w, reply)
	defer r.waiters.Delete(w)
	r.Post(build(w))
	select {
	case v := <-reply:
		return v, w, nil
	case <-ctx.Done():
		return nil, w, errors.Wrap(ctx.Err(), "waiting for the reply")
	case <-r.stopped:
		return nil, w, errors.New("the process is stopping")
	}
}

func (r *Runner) execute(cmd dispatcher.Cmd) {
	switch cmd := cmd.(type) {
	case dispatcher.Reply:
		// Remove the waiter first, so that a second reply to it can't block the
		// loop.
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
		r.Metrics.ObserveJob(cmd.Priority, cmd.Outcome, cmd.Response)
	case dispatcher.Note:
		r.History.Record(time.Now(), cmd.Record)
	case dispatcher.Exit:
		close(r.drained)
	case dispatcher.Log:
		r.Log.Info(cmd.Part + ": " + cmd.Text)
	default:
		r.executePlatform(cmd)
	}
}

func (r *Runner) executePlatform(cmd dispatcher.Cmd) {
	if r.PlatformAddress == "" {
		return
	}
	switch cmd := cmd.(type) {
	case dispatcher.ReadLog:
		go r.readLog(cmd)
	case dispatcher.AppendSnapshot:
		go func() {
			err := r.callPlatform(http.MethodPost, "/v1/log/"+follower.Stream, cmd.Record, nil)
			r.Post(dispatcher.SnapshotAppended{Err: dispatcher.NewFailure(err)})
		}()
	case dispatcher.ListVMs:
		go func() {
			var list messenger.VMList
			err := r.callPlatform(http.MethodGet, "/v1/vms", nil, &list)
			r.Post(dispatcher.VMsListed{List: list, Err: dispatcher.NewFailure(err)})
		}()
	case dispatcher.ReadUsage:
		go func() {
			var totals messenger.UsageTotals
			err := r.callPlatform(http.MethodGet, "/v1/usage", nil, &totals)
			r.Post(dispatcher.UsageRead{SlotMs: totals.SlotMs, Err: dispatcher.NewFailure(err)})
		}()
	case dispatcher.RenewLease:
		go func() { _ = r.callPlatform(http.MethodPost, "/v1/leases", cmd.Request, nil) }()
	}
}

func (r *Runner) startTask(cmd dispatcher.StartTask) {
	ctx, cancel := context.WithTimeout(context.Background(), cmd.Timeout)
	defer cancel()
	reply, err := r.Targets.StartTask(ctx, cmd.Grant.Target, cmd.Request)
	r.Post(dispatcher.TaskEnded{JobID: cmd.JobID, Task: cmd.Task, Grant: cmd.Grant, Reply: reply, Err: dispatcher.NewFailure(err)})
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
		err = errors.New("the reply of the job's owner has no outcome")
	}
	r.Post(dispatcher.Forwarded{Waiter: cmd.Waiter, JobID: cmd.JobID, Answer: answer, Err: dispatcher.NewFailure(err)})
}

func (r *Runner) sendSlots(cmd dispatcher.SendSlots) {
	sent := time.Now()
	var reply messenger.SlotsReply
	err := r.callPeer(http.MethodPost, cmd.To.Address, "/peer/v1/slots", cmd.Request, &reply)
	r.Post(dispatcher.SlotsAnswered{To: cmd.To, SentAt: sent, Reply: reply, Err: dispatcher.NewFailure(err)})
}

func (r *Runner) sendGrants(cmd dispatcher.SendGrants) {
	err := r.callPeer(http.MethodPost, cmd.To.Address, "/peer/v1/grants", cmd.Request, nil)
	r.Post(dispatcher.GrantsSent{To: cmd.To, Err: dispatcher.NewFailure(err)})
}

func (r *Runner) probe(cmd dispatcher.Probe) {
	ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	var status messenger.TargetStatus
	_, err := r.Targets.Call(ctx, http.MethodGet, "http://"+cmd.Target+"/v1/status", nil, &status)
	r.Post(dispatcher.Probed{Target: cmd.Target, Status: status, Err: dispatcher.NewFailure(err)})
}

func (r *Runner) beat(cmd dispatcher.Beat) {
	ctx, cancel := context.WithTimeout(context.Background(), controlTimeout)
	defer cancel()
	reply, err := r.Peers.SendHeartbeat(ctx, cmd.Address, cmd.Heartbeat)
	if err != nil {
		r.Post(dispatcher.BeatFailed{Address: cmd.Address, Refused: isConnectionRefused(err)})
		return
	}
	r.Post(dispatcher.Heard{Heartbeat: reply})
}

// isConnectionRefused reports whether the VM responded that nothing listens at
// the address. A connection that timed out was not established either, but
// packet loss can cause that, so it proves nothing about the process.
func isConnectionRefused(err error) bool {
	return errors.Is(err, messenger.ErrNotSent) && errors.Is(err, syscall.ECONNREFUSED)
}

func (r *Runner) fetchConfiguration(cmd dispatcher.FetchConfiguration) {
	var accepted follower.Accepted
	err := r.callPeer(http.MethodGet, cmd.Address, "/peer/v1/configuration", nil, &accepted)
	r.Post(dispatcher.ConfigurationFetched{Accepted: accepted, Err: dispatcher.NewFailure(err)})
}

func (r *Runner) fetchVMs(cmd dispatcher.FetchVMs) {
	var list messenger.VMList
	err := r.callPeer(http.MethodGet, cmd.Address, "/peer/v1/vms", nil, &list)
	if err == nil && len(list.VMs) == 0 {
		err = errors.Newf("entry %s has no list of VMs", cmd.Address)
	}
	r.Post(dispatcher.VMsListed{Peer: true, List: list, Err: dispatcher.NewFailure(err)})
}

func (r *Runner) readLog(cmd dispatcher.ReadLog) {
	var page messenger.LogPage
	path := "/v1/log/" + follower.Stream + "?from=" + strconv.FormatInt(cmd.From, 10) + "&limit=" + strconv.Itoa(cmd.Limit)
	err := r.callPlatform(http.MethodGet, path, nil, &page)
	r.Post(dispatcher.LogRead{Page: page, Err: dispatcher.NewFailure(err)})
}

// callPeer calls another entry and treats any status of 300 or more as an
// error.
func (r *Runner) callPeer(method, address, path string, in, out any) error {
	return call(r.Peers, controlTimeout, method, "http://"+address+path, in, out)
}

func (r *Runner) callPlatform(method, path string, in, out any) error {
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
