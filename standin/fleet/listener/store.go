package listener

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"sync"
	"time"
)

// Store is a stand-in for the platform's store: the newest records of keyed
// topics. The zero value is empty.
type Store struct {
	mu     sync.Mutex
	topics map[string]map[string][]byte
	// downUntil is the end of an outage.
	downUntil time.Time
	reads     int
}

// Put sets the newest record of a key; an empty value removes it.
func (s *Store) Put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.topics == nil {
		s.topics = map[string]map[string][]byte{}
	}
	if s.topics[topic] == nil {
		s.topics[topic] = map[string][]byte{}
	}
	if len(value) == 0 {
		delete(s.topics[topic], key)
		return
	}
	s.topics[topic][key] = value
}

// Fail begins an outage in which every call is refused.
func (s *Store) Fail(until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.downUntil = until
}

// Reads returns the number of readings that were served.
func (s *Store) Reads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads
}

type newestItem struct {
	Key    string
	Value  []byte
	Offset int
}

// Handler serves the store.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /godwitrelay/log-newest", s.newest)
	mux.HandleFunc("POST /godwitrelay/log-append", s.add)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		down := time.Now().Before(s.downUntil)
		s.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

func (s *Store) newest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	items := []newestItem{}
	for key, value := range s.topics[r.URL.Query().Get("Topic")] {
		items = append(items, newestItem{Key: key, Value: value})
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	reply(w, http.StatusOK, map[string]any{"items": items, "HasMore": false, "End": len(items)})
}

// add takes records of a length and a key's length, key and value.
func (s *Store) add(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if n < 1 || len(body) < 4+n || n < 1+int(body[4]) {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		record := body[4 : 4+n]
		key := int(record[0])
		s.Put(r.URL.Query().Get("Topic"), string(record[1:1+key]), append([]byte(nil), record[1+key:]...))
		body = body[4+n:]
	}
	reply(w, http.StatusOK, map[string]any{"Offset": 0, "End": 0})
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write error means that the caller is gone.
	_ = json.NewEncoder(w).Encode(v)
}
