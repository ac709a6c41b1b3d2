package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

const (
	serviceName  = "order-router"
	queueHost    = "nony24.example"
	queuePrefix  = "/lohu930/"
	storeLatency = 4 * time.Millisecond
	heartbeat    = 1500 * time.Millisecond
)

// store is the platform's metadata store: keyed topics with one partition.
type store struct {
	mu     sync.Mutex
	logs   map[string][][]byte
	newest map[string]map[string]newestRecord
	mux    *http.ServeMux
}

// serve opens an address of the store for one machine and returns it.
func (s *store) serve() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		_ = http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(storeLatency)
			s.mux.ServeHTTP(w, r)
		}))
	}()
	return ln.Addr().String(), nil
}

type newestRecord struct {
	Key    string
	Value  []byte
	Offset int
}

func newStore() *store {
	s := &store{logs: map[string][][]byte{}, newest: map[string]map[string]newestRecord{}, mux: http.NewServeMux()}
	s.mux.HandleFunc("POST /godwitrelay/log-append", s.append)
	s.mux.HandleFunc("GET /godwitrelay/log-read", s.read)
	s.mux.HandleFunc("GET /godwitrelay/log-newest", s.list)
	return s
}

func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putRecord(topic, append(append([]byte{byte(len(key))}, key...), value...))
}

func (s *store) putRecord(topic string, record []byte) {
	n := 1 + int(record[0])
	key, value := string(record[1:n]), record[n:]
	if s.newest[topic] == nil {
		s.newest[topic] = map[string]newestRecord{}
	}
	if len(value) == 0 {
		delete(s.newest[topic], key)
	} else {
		s.newest[topic][key] = newestRecord{key, value, len(s.logs[topic])}
	}
	s.logs[topic] = append(s.logs[topic], record)
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	topic := r.URL.Query().Get("Topic")
	body, err := io.ReadAll(r.Body)
	if err != nil || topic == "keyed.op" || topic == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	offset := len(s.logs[topic])
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if n < 1 || n > len(body)-4 || 1+int(body[4]) > n {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.putRecord(topic, append([]byte(nil), body[4:4+n]...))
		body = body[4+n:]
	}
	reply(w, http.StatusOK, map[string]any{"Offset": offset, "End": len(s.logs[topic])})
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.Atoi(r.URL.Query().Get("From"))
	if err != nil || from < 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	log := s.logs[r.URL.Query().Get("Topic")]
	s.mu.Unlock()
	body := binary.BigEndian.AppendUint64(nil, uint64(len(log)))
	body = binary.BigEndian.AppendUint64(body, 0)
	for _, record := range log[min(from, len(log)):] {
		body = binary.BigEndian.AppendUint32(body, uint32(len(record)))
		body = append(body, record...)
	}
	_, _ = w.Write(body)
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	topic, after := r.URL.Query().Get("Topic"), r.URL.Query().Get("DependsOn")
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []newestRecord{}
	for key, record := range s.newest[topic] {
		if key > after {
			items = append(items, record)
		}
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	more := len(items) > 500
	items = items[:min(len(items), 500)]
	reply(w, http.StatusOK, map[string]any{"items": items, "HasMore": more, "End": len(s.logs[topic])})
}

// configure writes a configuration with one queue, as the operator does.
func (s *store) configure(version int) {
	data, _ := json.Marshal(map[string]any{
		"Version": version,
		"Routes": []map[string]any{{"Name": "r-1", "Host": queueHost, "Prefix": queuePrefix, "Service": serviceName, "TimeoutMs": 15000,
			"Priority": 0, "MaxAttempts": 4, "Stretch": 1.6, "TargetLatencyMs": 60}},
		"Services": []map[string]any{{"Name": serviceName, "AdmissionCheck": true}},
		"Limits":   map[string]any{"MaxBodyBytes": 262144},
	})
	s.put("keyed.op", "config", data)
}

// beat registers all runners now and then each heartbeat.
func (s *store) beat(f *fleet) {
	for {
		f.mu.Lock()
		runners := append([]*runner(nil), f.runners...)
		f.mu.Unlock()
		for _, w := range runners {
			if record := w.record(); record != nil {
				s.put("keyed.servers", w.id, record)
			}
		}
		time.Sleep(heartbeat)
	}
}
