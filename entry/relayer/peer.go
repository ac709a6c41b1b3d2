package relayer

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/entry/attester"
	"github.com/godwitrelay/godwitrelay/entry/elector"
	"github.com/godwitrelay/godwitrelay/entry/grouper"
	"github.com/godwitrelay/godwitrelay/entry/lister"
	"github.com/godwitrelay/godwitrelay/entry/placer"
	"github.com/godwitrelay/godwitrelay/entry/spiller"
)

const (
	// pingTimeout bounds a heartbeat. An owner is considered lost after 450 ms
	// without a reply.
	pingTimeout = 250 * time.Millisecond
	// peerTimeout bounds a request to another entry that is neither a heartbeat
	// nor a job: fetching a configuration or worker list, or cancelling a job.
	peerTimeout = 500 * time.Millisecond
	// maxPeerBodyBytes is the maximum size of a request body from another entry.
	maxPeerBodyBytes = 4 << 20
)

// heartbeat is the body of a ping between entries and of its reply.
type heartbeat struct {
	View          elector.View `json:"view"`
	ConfigVersion int64        `json:"configVersion"`
	// ConfigAgeMs is how long ago ConfigVersion was known to be the newest version.
	ConfigAgeMs    *int64 `json:"configAgeMs,omitempty"`
	WorkersVersion uint64 `json:"workersVersion"`
	// WorkersAuthor is the incarnation of the entry that assigned WorkersVersion.
	WorkersAuthor uint64 `json:"workersAuthor"`
	WorkersDigest uint64 `json:"workersDigest,omitempty"`
	// Layout is the layout of the worker groups in the sender's failure domain.
	Layout grouper.Layout `json:"layout"`
	// LeastCapacity is the smallest capacity of the entries known to the sender.
	LeastCapacity int64 `json:"leastCapacity,omitempty"`
	// CrashDigest identifies the set of crashes that the sender knows.
	CrashDigest uint64 `json:"crashDigest,omitempty"`
	// FactorDigest identifies the factors of workers that the sender knows.
	FactorDigest uint64 `json:"factorDigest,omitempty"`
	// Fence is the highest fencing token seen by the sender.
	Fence int64 `json:"fence"`
	// FreeCPU is the unused CPU of an owner's workers, in thousandths of a core.
	FreeCPU int64 `json:"freeCpu,omitempty"`
	// Room is set in the replies of an owner to entries of other groups.
	Room placer.Room `json:"room,omitzero"`
	// Neighbours lists the owners of other worker groups that the sender knows.
	Neighbours []spiller.Neighbour `json:"neighbours,omitempty"`
	// Stamp is the time of a reply on the clock of its sender. Attestation is set in a
	// ping.
	Stamp       attester.Stamp        `json:"stamp,omitzero"`
	Attestation *attester.Attestation `json:"attestation,omitempty"`
}

func (r *Relayer) heartbeat() heartbeat {
	workers := r.workerList.Load().Version
	b := heartbeat{
		View: *r.view.Load(), WorkersVersion: workers.Number, WorkersAuthor: workers.Author, WorkersDigest: workers.Digest,
		Layout: r.groups.current().Layout, LeastCapacity: r.groups.leastCapacity.Load(), Fence: r.fence.Load(),
		CrashDigest: r.crashes.Load().report.Digest, FactorDigest: r.factors.Load().Digest,
	}
	if at := r.oldestOrphan.Load(); at != nil {
		b.View.OrphanAgeMs = time.Since(*at).Milliseconds() + 1
	}
	// The age is read first: a newer configuration may be applied in between.
	age, known := r.confirmations.Age(timeSinceBoot())
	if cfg := r.configuration.Load(); cfg != nil {
		b.ConfigVersion = cfg.Version
		if ms := age.Milliseconds() + 1; known {
			b.ConfigAgeMs = &ms
		}
	}
	if b.View.ClaimedAtMs != 0 {
		// This entry is an owner.
		b.FreeCPU = r.room.Load().freeCPU
	}
	return b
}

// heartbeatTo returns the reply to a heartbeat. Only followers of this owner learn
// of its neighbours, and only what they need to choose one. Only entries of other groups
// learn what fits into this one.
func (r *Relayer) heartbeatTo(from heartbeat) heartbeat {
	b := r.heartbeat()
	b.Stamp = attester.NewStamp(r.Self.Incarnation, timeSinceBoot())
	if b.View.ClaimedAtMs == 0 {
		return b
	}
	if from.View.Group != b.View.Group {
		b.Room = r.room.Load().room
		return b
	}
	for _, n := range r.neighbours.List(time.Now()) {
		n.FailureDomain, n.Parts = "", 0
		b.Neighbours = append(b.Neighbours, n)
	}
	return b
}

func (r *Relayer) ping(address string) {
	ctx, cancel := context.WithTimeout(context.Background(), pingTimeout)
	defer cancel()
	sentAt := timeSinceBoot()
	reply, err := r.beat(ctx, address)
	if err != nil {
		r.post(elector.PingFailed{Address: address, Refused: errors.Is(err, messenger.ErrNotSent) && errors.Is(err, syscall.ECONNREFUSED)})
		return
	}
	r.raiseFence(reply.Fence)
	r.adoptLayout(reply)
	r.post(elector.PingAnswered{View: reply.View})
	r.updateNeighbours(address, reply)
	r.fetchNewer(address, reply)
	r.confirmAs(sentAt, reply)
}

// beat sends a heartbeat to another entry and returns its reply.
func (r *Relayer) beat(ctx context.Context, address string) (heartbeat, error) {
	b, reply := r.heartbeat(), heartbeat{}
	attestation := r.attestations.Attest(address)
	b.Attestation = &attestation
	status, err := r.Peers.Call(ctx, http.MethodPost, "http://"+address+"/peer/v1/beat", b, &reply)
	if err == nil && status != http.StatusOK {
		err = errors.Newf("status %d", status)
	}
	if err == nil {
		r.attestations.Record(time.Now(), address, reply.Stamp)
	}
	return reply, err
}

func (b heartbeat) workersVersion() lister.Version {
	return lister.Version{Author: b.WorkersAuthor, Number: b.WorkersVersion, Digest: b.WorkersDigest}
}

// fetchNewer fetches the configuration and the worker list from another entry
// if its heartbeat reports different versions: a newer configuration from any
// entry, the worker list from the owner only.
func (r *Relayer) fetchNewer(address string, b heartbeat) {
	r.catchUp(address, b.ConfigVersion)
	r.fetchCrashes(time.Now(), address, b.CrashDigest)
	r.fetchFactors(time.Now(), address, b)
	have := r.workerList.Load()
	if r.ownership.Load().address == address && r.Self.Address != address && b.WorkersVersion > 0 && !have.Version.SameWorkers(b.workersVersion()) {
		group := r.groups.current()
		if b.View.Group != group.Name() {
			return
		}
		var u lister.Update
		path := fmt.Sprintf("/peer/v1/workers?author=%d&version=%d", have.Version.Author, have.Version.Number)
		if !r.fetch(address, path, &u) {
			return
		}
		u.Workers = r.validWorkers(address, u.Workers)
		if list := have.Apply(u); len(list.Workers) > 0 && r.ownership.Load().address != r.Self.Address {
			r.applyWorkerList(group, list)
		}
	}
}

// validWorkers returns the valid workers of a list from another entry, which may be
// of a release that accepted others.
func (r *Relayer) validWorkers(address string, list []placer.Worker) []placer.Worker {
	return slices.DeleteFunc(list, func(w placer.Worker) bool {
		err := w.Validate()
		if err != nil {
			r.Log.WithField("entry", address).WithField("worker", w.ID).WithError(err).Warn("relayer: ignoring an invalid worker in the list of another entry")
		}
		return err != nil
	})
}

func (r *Relayer) fetch(address, path string, out any) bool {
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	status, err := r.Peers.Call(ctx, http.MethodGet, "http://"+address+path, nil, out)
	if err != nil || status != http.StatusOK {
		if err == nil {
			err = errors.Newf("the entry replied with status %d", status)
		}
		r.Log.WithField("entry", address).WithField("path", path).WithField("status", status).WithError(err).Warn("relayer: fetching from another entry failed")
		return false
	}
	return true
}

// PeerHandler returns the handler for requests from other entries.
func (r *Relayer) PeerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /peer/v1/beat", r.serveHeartbeat)
	mux.HandleFunc("POST /peer/v1/jobs", r.serveJob)
	mux.HandleFunc("DELETE /peer/v1/jobs/{id}", r.serveCancel)
	mux.HandleFunc("POST /peer/v1/cancellings", r.serveCancellings)
	mux.HandleFunc("GET /peer/v1/configuration", func(w http.ResponseWriter, _ *http.Request) {
		messenger.WriteJSON(w, http.StatusOK, r.configuration.Load())
	})
	mux.HandleFunc("GET /peer/v1/workers", r.serveWorkers)
	mux.HandleFunc("GET /peer/v1/stored/workers", r.serveStoredWorkers)
	mux.HandleFunc("GET /peer/v1/factors", func(w http.ResponseWriter, _ *http.Request) {
		messenger.WriteJSON(w, http.StatusOK, r.factors.Load())
	})
	mux.HandleFunc("GET /peer/v1/crashes", func(w http.ResponseWriter, _ *http.Request) {
		known := r.crashes.Load()
		messenger.WriteJSON(w, http.StatusOK, known.report.Aged(time.Since(known.at)))
	})
	return mux
}

func (r *Relayer) serveHeartbeat(w http.ResponseWriter, req *http.Request) {
	var b heartbeat
	if !decode(w, req, &b) {
		return
	}
	r.raiseFence(b.Fence)
	r.adoptLayout(b)
	r.post(elector.PingReceived{View: b.View})
	if a := b.Attestation; a != nil && r.IsOwner() {
		if at, ok := r.stampTime(a.Stamp); ok {
			r.post(placer.JobsAttested{Entry: b.View.From.Address, At: at, Jobs: a.Jobs})
		}
	}
	messenger.WriteJSON(w, http.StatusOK, r.heartbeatTo(b))
	go r.fetchNewer(b.View.From.Address, b)
}

// stampTime returns the time of a stamp that another entry sent back to this one.
func (r *Relayer) stampTime(s attester.Stamp) (time.Time, bool) {
	return s.Time(time.Now(), r.Self.Incarnation, timeSinceBoot())
}

// serveWorkers replies with the changes since the version in the query. If the
// version is missing or malformed, the reply holds the whole list.
func (r *Relayer) serveWorkers(w http.ResponseWriter, req *http.Request) {
	author, errAuthor := strconv.ParseUint(req.FormValue("author"), 10, 64)
	number, errNumber := strconv.ParseUint(req.FormValue("version"), 10, 64)
	have := lister.Version{Author: author, Number: number}
	if errAuthor != nil || errNumber != nil {
		have = lister.Version{}
	}
	messenger.WriteJSON(w, http.StatusOK, r.workerList.Load().UpdateSince(have))
}

func (r *Relayer) serveJob(w http.ResponseWriter, req *http.Request) {
	var s submission
	if !decode(w, req, &s) {
		return
	}
	if err := s.Job.Validate(); err != nil {
		refusal := messenger.NewError(messenger.BadRequest, err.Error())
		messenger.WriteJSON(w, refusal.Status(), refusal)
		return
	}
	if messenger.ClientGone(req.Context()) {
		// A submission that was held up on the way. Its entry has given it up.
		r.Log.WithField("job", s.Job.ID).WithField("entry", s.Entry).Info("relayer: dropping a job of an entry that has closed the connection")
		return
	}
	if !r.catchUp(s.Entry, s.Job.ConfigVersion) && len(s.Placements) == 0 {
		messenger.WriteJSON(w, http.StatusOK, placer.Result{Err: messenger.NewError(messenger.NoTarget, "the owner lacks the configuration of the job")})
		return
	}
	r.inFlight.Add(1)
	defer r.inFlight.Add(-1)
	msg := s.message()
	r.recordRefusals(time.Now(), s)
	if s.Stamp != nil {
		at, ok := r.stampTime(*s.Stamp)
		if !ok {
			// The entry has had no reply from this process yet.
			at = time.Now()
		}
		msg.AttestedAt = at
	}
	result := r.submitLocally(req.Context(), msg, reconnectGrace)
	if result.Elsewhere != "" {
		r.neighbours.Sent(time.Now(), result.Elsewhere, s.Job)
	}
	messenger.WriteJSON(w, http.StatusOK, result)
}

// decode decodes the body of another entry's request into v and reports whether
// it succeeded. If not, it has replied with a bad request error. Unknown fields
// are ignored because entries of different versions run together during a
// rolling upgrade.
func decode(w http.ResponseWriter, req *http.Request, v any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, req.Body, maxPeerBodyBytes)).Decode(v)
	if err != nil {
		refusal := messenger.NewError(messenger.BadRequest, err.Error())
		messenger.WriteJSON(w, refusal.Status(), refusal)
	}
	return err == nil
}
