package reporter

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/sirupsen/logrus"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

const logPrefix = "reporter: "

// finishTimeout bounds [Reporter.Finish].
const finishTimeout = time.Second

// Target is the target that a [Reporter] reports on.
type Target interface {
	// VM describes the target for the platform's VM list. renew reports whether
	// to renew the target's lease.
	VM() (vm messenger.VM, renew bool)
	// RecordLease records a lease of duration ttl that the platform granted.
	// sent is the time of the request.
	RecordLease(sent time.Time, ttl time.Duration)
	// QueueReport queues a report of the accumulated usage.
	QueueReport()
	// NextReport returns the oldest unconfirmed report.
	NextReport() (messenger.UsageReport, bool)
	// ConfirmReport removes a report that the platform has accepted.
	ConfirmReport(id string)
}

// Reporter renews the lease that keeps one target in the platform's VM list, and
// reports the target's usage. Platform is the address of the platform.
type Reporter struct {
	Client   messenger.Client
	Platform string
	Target   Target
	// LeaseTTL is the duration of the lease that is requested every LeaseInterval.
	// If it is 0, the target takes no lease.
	LeaseTTL       time.Duration
	LeaseInterval  time.Duration
	ReportInterval time.Duration
	// VMChanged receives a value when the description of the target that
	// Target.VM returns has changed, which triggers an immediate renewal.
	VMChanged <-chan struct{}
}

// Run starts sending reports in the background until ctx is done. If LeaseTTL is
// positive, it also renews the lease and returns when ctx is done; otherwise it
// returns at once.
func (r *Reporter) Run(ctx context.Context) {
	go r.reportLoop(ctx)
	if r.LeaseTTL <= 0 {
		return
	}
	ticker := time.NewTicker(r.LeaseInterval)
	defer ticker.Stop()
	for {
		if vm, renew := r.Target.VM(); renew {
			r.requestLease(ctx, vm, r.LeaseTTL)
		}
		select {
		case <-ticker.C:
		case <-r.VMChanged:
		case <-ctx.Done():
			return
		}
	}
}

// Finish sends the remaining reports and releases the lease. Call it after the
// context of Run is done, Run has returned and all tasks have completed.
func (r *Reporter) Finish(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, finishTimeout)
	defer cancel()
	r.sendReports(ctx)
	if r.LeaseTTL > 0 {
		vm, _ := r.Target.VM()
		r.requestLease(ctx, vm, 0)
	}
}

func (r *Reporter) reportLoop(ctx context.Context) {
	ticker := time.NewTicker(r.ReportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			r.sendReports(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// requestLease requests a lease of ttl for the target, or releases its lease if
// ttl is 0.
func (r *Reporter) requestLease(ctx context.Context, vm messenger.VM, ttl time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, r.LeaseInterval)
	defer cancel()
	sent := time.Now()
	var reply messenger.LeaseReply
	err := r.post(ctx, "/v1/leases", messenger.LeaseRequest{VM: vm, TTLMs: ttl.Milliseconds()}, &reply)
	if err != nil {
		action := "requesting a lease for"
		if ttl == 0 {
			action = "releasing the lease of"
		}
		logrus.Debugf("%s%s %s: %v", logPrefix, action, vm.Address, err)
		return
	}
	if ttl > 0 {
		r.Target.RecordLease(sent, time.Duration(reply.TTLMs)*time.Millisecond)
	}
}

// sendReports queues a report of the accumulated usage and sends unconfirmed
// reports, oldest first, until one fails. The failed report is retried later with
// the same id.
func (r *Reporter) sendReports(ctx context.Context) {
	r.Target.QueueReport()
	for {
		next, ok := r.Target.NextReport()
		if !ok {
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, r.ReportInterval)
		err := r.post(callCtx, "/v1/usage", next, nil)
		cancel()
		if err != nil {
			logrus.Debugf("%ssending usage report %s: %v", logPrefix, next.ID, err)
			return
		}
		r.Target.ConfirmReport(next.ID)
	}
}

func (r *Reporter) post(ctx context.Context, path string, in, out any) error {
	status, err := r.Client.Call(ctx, http.MethodPost, "http://"+r.Platform+path, in, out)
	if err != nil {
		return err
	}
	if status/100 != 2 {
		return errors.Newf("platform returned status %d", status)
	}
	return nil
}
