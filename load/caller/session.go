package caller

import (
	"context"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

// session simulates one caller connection through a load balancer: it is pinned
// to one entry until that entry is unreachable, issues no ids, or refuses a job
// because it is draining or not ready. It caches unused job ids issued by that
// entry.
type session struct {
	pool *Pool

	mu        sync.Mutex
	entry     int
	ids       []string
	fetchDone chan struct{}
}

// nextID returns the session's entry and one unused id. It requests a new batch
// from the entry only when no cached id is left; concurrent callers share one
// request.
func (s *session) nextID(ctx context.Context) (address, id string, err error) {
	for {
		s.mu.Lock()
		address = s.pool.entries[s.entry]
		if len(s.ids) > 0 {
			// Unused ids expire, so the oldest is used first.
			id, s.ids = s.ids[0], s.ids[1:]
			s.mu.Unlock()
			return address, id, nil
		}
		fetchDone := s.fetchDone
		if fetchDone == nil {
			s.fetchDone = make(chan struct{})
			s.mu.Unlock()
			if err := s.fetchIDs(ctx, address); err != nil {
				return address, "", err
			}
			continue
		}
		s.mu.Unlock()
		select {
		case <-fetchDone:
		case <-ctx.Done():
			return address, "", ctx.Err()
		}
	}
}

// fetchIDs requests a batch of ids from the entry and wakes all waiting callers.
func (s *session) fetchIDs(ctx context.Context, address string) error {
	var reply messenger.IDsReply
	s.pool.countMessage("ids")
	status, err := s.pool.client.Call(ctx, http.MethodPost, "http://"+address+"/v1/ids", messenger.IDsRequest{Count: s.pool.idBatch}, &reply)
	if err == nil && (status != http.StatusOK || len(reply.IDs) == 0) {
		err = errors.Newf("requesting job ids from entry %s: status %d with %d ids", address, status, len(reply.IDs))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.fetchDone)
	s.fetchDone = nil
	if err == nil {
		s.addIDsLocked(address, reply.IDs)
	}
	return err
}

// addIDs caches ids received from the entry at address. They are dropped if the
// session has failed over to another entry in the meantime.
func (s *session) addIDs(address string, ids []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addIDsLocked(address, ids)
}

func (s *session) addIDsLocked(address string, ids []string) {
	if s.pool.entries[s.entry] == address {
		s.ids = append(s.ids, ids...)
	}
}

// idsToRequest returns how many ids to request with the next submission: one to
// replace the id that it uses, and a second one while few ids are cached. It
// returns 0 once two batches are cached.
func (s *session) idsToRequest() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case len(s.ids) >= 2*s.pool.idBatch:
		return 0
	case len(s.ids) >= s.pool.idBatch/2:
		return 1
	default:
		return 2
	}
}

// failOver moves the session from the entry at address to the next one, as a
// load balancer does for a new connection. The cached ids are dropped, because
// only the entry that issued an id may start its job.
func (s *session) failOver(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pool.entries[s.entry] == address {
		s.entry = (s.entry + 1) % len(s.pool.entries)
		s.ids = nil
	}
}
