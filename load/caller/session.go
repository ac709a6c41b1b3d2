package caller

import (
	"context"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/godwitrelay/godwitrelay/core/messenger"
)

// session is one connection of a caller through the balancer: it stays with
// one entry until that entry can't be reached or says that it is stopping. It
// keeps a stock of job ids of that entry.
type session struct {
	pool *Pool

	mu      sync.Mutex
	entry   int
	ids     []string
	fetched chan struct{}
}

// take returns the session's entry and one of its unused ids. It asks the
// entry for a batch only when the stock is empty.
func (s *session) take(ctx context.Context) (address, id string, err error) {
	for {
		s.mu.Lock()
		address = s.pool.entries[s.entry]
		if len(s.ids) > 0 {
			// The oldest id goes first, because unused ids expire.
			id, s.ids = s.ids[0], s.ids[1:]
			s.mu.Unlock()
			return address, id, nil
		}
		pending := s.fetched
		if pending == nil {
			s.fetched = make(chan struct{})
			s.mu.Unlock()
			if err := s.fetch(ctx, address); err != nil {
				return address, "", err
			}
			continue
		}
		s.mu.Unlock()
		select {
		case <-pending:
		case <-ctx.Done():
			return address, "", ctx.Err()
		}
	}
}

// fetch asks the entry for a batch of ids and wakes those who wait for it.
func (s *session) fetch(ctx context.Context, address string) error {
	var reply messenger.IDsReply
	s.pool.count("ids")
	status, err := s.pool.client.Call(ctx, http.MethodPost, "http://"+address+"/v1/ids", messenger.IDsRequest{Count: s.pool.batch}, &reply)
	if err == nil && (status != http.StatusOK || len(reply.IDs) == 0) {
		err = errors.Newf("entry %s answered the request for ids with status %d and %d ids", address, status, len(reply.IDs))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.fetched)
	s.fetched = nil
	if err == nil {
		s.addLocked(address, reply.IDs)
	}
	return err
}

// add puts ids that came with an answer of the entry at address in the stock.
func (s *session) add(address string, ids []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addLocked(address, ids)
}

func (s *session) addLocked(address string, ids []string) {
	if s.pool.entries[s.entry] == address {
		s.ids = append(s.ids, ids...)
	}
}

// wanted returns how many ids to ask for with the next submission: one for the
// id that it uses up, and a second one while the stock is small.
func (s *session) wanted() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case len(s.ids) >= 2*s.pool.batch:
		return 0
	case len(s.ids) >= s.pool.batch/2:
		return 1
	default:
		return 2
	}
}

// move takes the session from the entry at address to the next one, as a
// balancer does for a new connection. The ids of the former entry are dropped,
// because only that entry may start their jobs.
func (s *session) move(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pool.entries[s.entry] == address {
		s.entry = (s.entry + 1) % len(s.pool.entries)
		s.ids = nil
	}
}
