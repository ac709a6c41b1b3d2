package relayer

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/godwitrelay/godwitrelay/core/messenger"
	"github.com/godwitrelay/godwitrelay/entry/elector"
	"github.com/godwitrelay/godwitrelay/entry/lister"
	"github.com/godwitrelay/godwitrelay/entry/placer"
	"github.com/godwitrelay/godwitrelay/entry/router"
	"github.com/godwitrelay/godwitrelay/entry/spiller"
)

const (
	// pingTimeout bounds a call for a sign of life; an owner is taken as lost
	// after 450 ms.
	pingTimeout = 250 * time.Millisecond
	// fetchTimeout bounds the reading of a configuration or list from a peer.
	fetchTimeout = 500 * time.Millisecond
	// maxPeerBytes bounds the body of a call by another entry.
	maxPeerBytes = 4 << 20
)

// beat is a call between entries and its answer.
type beat struct {
	View           elector.View `json:"view"`
	ConfigVersion  int64        `json:"configVersion"`
	WorkersVersion uint64       `json:"workersVersion"`
	// WorkersAuthor is the incarnation of the entry that counted the version.
	WorkersAuthor uint64 `json:"workersAuthor"`
	// Fence is the highest fence that the sender has heard of.
	Fence int64 `json:"fence"`
	// FreeCPU is the free room of an owner's workers, in thousandths of a core.
	FreeCPU int64 `json:"freeCpu,omitempty"`
	// Neighbours are the owners in other failure domains, as the sender knows
	// them.
	Neighbours []spiller.Neighbour `json:"neighbours,omitempty"`
}

func (r *Relayer) beat() beat {
	workers := r.fleet.Load().Version
	b := beat{View: *r.view.Load(), WorkersVersion: workers.Number, WorkersAuthor: workers.Author, Fence: r.fence.Load()}
	if cfg := r.configuration.Load(); cfg != nil {
		b.ConfigVersion = cfg.Version
	}
	if b.View.Term != 0 {
		b.FreeCPU = r.freeCPU.Load()
		b.Neighbours = r.neighbours.List(time.Now())
	}
	return b
}

func (r *Relayer) ping(address string) {
	ctx, cancel := context.WithTimeout(context.Background(), pingTimeout)
	defer cancel()
	var reply beat
	status, err := r.Peers.Call(ctx, http.MethodPost, "http://"+address+"/peer/v1/beat", r.beat(), &reply)
	if err == nil && status != http.StatusOK {
		err = errors.Newf("status %d", status)
	}
	if err != nil {
		r.post(elector.Unanswered{Address: address, Refused: errors.Is(err, messenger.ErrNotSent) && errors.Is(err, syscall.ECONNREFUSED)})
		return
	}
	r.learnFence(reply.Fence)
	r.post(elector.Answered{View: reply.View})
	r.learnNeighbours(address, reply)
	r.catchUp(address, reply)
}

// catchUp fetches what another entry knows better.
func (r *Relayer) catchUp(address string, b beat) {
	mine := r.beat()
	if b.ConfigVersion > mine.ConfigVersion {
		var cfg router.Configuration
		if r.fetch(address, "/peer/v1/configuration", &cfg) {
			r.apply(cfg, address)
		}
	}
	if r.ownership.Load().address == address && r.Self.Address != address && b.WorkersVersion > 0 &&
		(b.WorkersVersion != mine.WorkersVersion || b.WorkersAuthor != mine.WorkersAuthor) {
		have := r.fleet.Load()
		var u lister.Update
		path := fmt.Sprintf("/peer/v1/workers?author=%d&version=%d", have.Version.Author, have.Version.Number)
		if !r.fetch(address, path, &u) {
			return
		}
		if list := have.Apply(u); len(list.Workers) > 0 && r.ownership.Load().address != r.Self.Address {
			r.useFleet(list)
		}
	}
}

func (r *Relayer) fetch(address, path string, out any) bool {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	status, err := r.Peers.Call(ctx, http.MethodGet, "http://"+address+path, nil, out)
	if err != nil || status != http.StatusOK {
		r.Log.WithField("entry", address).WithField("path", path).WithField("status", status).WithError(err).Warn("relayer: reading from an entry failed")
		return false
	}
	return true
}

// PeerHandler serves the calls of other entries.
func (r *Relayer) PeerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /peer/v1/beat", r.serveBeat)
	mux.HandleFunc("POST /peer/v1/jobs", r.serveJob)
	mux.HandleFunc("DELETE /peer/v1/jobs/{id}", func(w http.ResponseWriter, req *http.Request) {
		messenger.Reply(w, http.StatusOK, r.cancelHere(req.PathValue("id")))
	})
	mux.HandleFunc("GET /peer/v1/configuration", func(w http.ResponseWriter, _ *http.Request) {
		messenger.Reply(w, http.StatusOK, r.configuration.Load())
	})
	mux.HandleFunc("GET /peer/v1/workers", r.serveWorkers)
	return mux
}

func (r *Relayer) serveBeat(w http.ResponseWriter, req *http.Request) {
	var b beat
	if !decode(w, req, &b) {
		return
	}
	r.learnFence(b.Fence)
	r.post(elector.Called{View: b.View})
	messenger.Reply(w, http.StatusOK, r.beat())
	go r.catchUp(b.View.From.Address, b)
}

// serveWorkers answers with what changed since the version of the query. A
// query that names none, or one that can't be read, gets the whole list.
func (r *Relayer) serveWorkers(w http.ResponseWriter, req *http.Request) {
	author, errAuthor := strconv.ParseUint(req.FormValue("author"), 10, 64)
	number, errNumber := strconv.ParseUint(req.FormValue("version"), 10, 64)
	have := lister.Version{Author: author, Number: number}
	if errAuthor != nil || errNumber != nil {
		have = lister.Version{}
	}
	messenger.Reply(w, http.StatusOK, r.fleet.Load().Since(have))
}

func (r *Relayer) serveJob(w http.ResponseWriter, req *http.Request) {
	var s submission
	if !decode(w, req, &s) {
		return
	}
	r.inFlight.Add(1)
	defer r.inFlight.Add(-1)
	result := r.ask(req.Context(), placer.Submit{Entry: s.Entry, Job: s.Job, Placements: s.Placements}, brokenGrace)
	messenger.Reply(w, http.StatusOK, result)
}

// decode reads the body of another entry's call, or answers it as malformed.
// Fields that this version doesn't know are ignored: entries are replaced one
// by one.
func decode(w http.ResponseWriter, req *http.Request, v any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, req.Body, maxPeerBytes)).Decode(v)
	if err != nil {
		refusal := messenger.NewError(messenger.BadRequest, err.Error())
		messenger.Reply(w, refusal.Status(), refusal)
	}
	return err == nil
}
