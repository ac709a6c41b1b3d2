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

// Store is a test double of the platform's store. It keeps the newest record of
// each key of a topic. The zero value is an empty store.
type Store struct {
	mu     sync.Mutex
	topics map[string]map[string][]byte
	// outageEnd is the end of a simulated outage.
	outageEnd time.Time
	reads     int
}

// Put sets the record of a key. An empty value deletes the key.
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

// StartOutage starts an outage, during which every request is rejected.
func (s *Store) StartOutage(until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.outageEnd = until
}

// Reads returns the number of read requests that were served.
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

// Handler returns the HTTP API of the store.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /godwitrelay/log-newest", s.serveNewest)
	mux.HandleFunc("POST /godwitrelay/log-append", s.serveAppend)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		down := time.Now().Before(s.outageEnd)
		s.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

func (s *Store) serveNewest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	items := []newestItem{}
	for key, value := range s.topics[r.URL.Query().Get("Topic")] {
		items = append(items, newestItem{Key: key, Value: value})
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "HasMore": false, "End": len(items)})
}

// serveAppend stores records. Each has a 4-byte length prefix, followed by the key
// length (1 byte), the key and the value.
func (s *Store) serveAppend(w http.ResponseWriter, r *http.Request) {
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
	writeJSON(w, http.StatusOK, map[string]any{"Offset": 0, "End": 0})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// Ignore write errors: the client has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}
