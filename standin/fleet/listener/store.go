package listener

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Store is a test double of the platform's store. It keeps the newest record of
// each key of a topic, and the log of all records. The zero value is an empty
// store.
type Store struct {
	mu     sync.Mutex
	topics map[string]map[string][]byte
	// logs holds the records of each topic from offset trimmed on.
	logs    map[string][][]byte
	trimmed map[string]int
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
	if s.logs == nil {
		s.logs, s.trimmed = map[string][][]byte{}, map[string]int{}
	}
	s.logs[topic] = append(s.logs[topic], append(append([]byte{byte(len(key))}, key...), value...))
	if len(value) == 0 {
		delete(s.topics[topic], key)
		return
	}
	s.topics[topic][key] = value
}

// Trim deletes all records of a topic from the log. The newest record of each key
// stays.
func (s *Store) Trim(topic string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.trimmed[topic] += len(s.logs[topic])
	s.logs[topic] = nil
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
	mux.HandleFunc("GET /godwitrelay/log-read", s.serveLog)
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
	topic := r.URL.Query().Get("Topic")
	for key, value := range s.topics[topic] {
		items = append(items, newestItem{Key: key, Value: value})
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "HasMore": false, "End": s.trimmed[topic] + len(s.logs[topic])})
}

// serveLog replies with the end and the first retained offset of the log, followed
// by the records from the given offset on.
func (s *Store) serveLog(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	topic := r.URL.Query().Get("Topic")
	from, err := strconv.Atoi(r.URL.Query().Get("From"))
	first := s.trimmed[topic]
	end := first + len(s.logs[topic])
	switch {
	case err != nil:
		w.WriteHeader(http.StatusBadRequest)
		return
	case from < first:
		writeJSON(w, http.StatusGone, map[string]any{"First": first})
		return
	}
	body := binary.BigEndian.AppendUint64(nil, uint64(end))
	body = binary.BigEndian.AppendUint64(body, uint64(first))
	for offset := from; offset < end; offset++ {
		record := s.logs[topic][offset-first]
		body = binary.BigEndian.AppendUint32(body, uint32(len(record)))
		body = append(body, record...)
	}
	// Ignore write errors: the client has disconnected.
	_, _ = w.Write(body)
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
