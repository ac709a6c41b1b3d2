package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// store is the platform's store: a log with keyed topics, of one partition each.
type store struct {
	mu     sync.Mutex
	topics map[string]*topic
	// answerAfter is how long each answer takes.
	answerAfter time.Duration
}

type topic struct {
	records []keyed
	newest  map[string]keyed
}

type keyed struct {
	key    string
	value  []byte
	offset int64
}

func newStore() *store {
	return &store{topics: map[string]*topic{}, answerAfter: 4 * time.Millisecond}
}

func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]keyed{}}
		s.topics[name] = t
	}
	return t
}

// put appends a record. An empty value drops the key.
func (s *store) put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	k := keyed{key, value, int64(len(t.records))}
	t.records = append(t.records, k)
	if t.newest[key] = k; len(value) == 0 {
		delete(t.newest, key)
	}
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(s.answerAfter)
	name := r.FormValue("Topic")
	switch r.Method + " " + r.URL.Path {
	case "POST /godwitrelay/log-append":
		s.append(w, name, body)
	case "GET /godwitrelay/log-read":
		s.read(w, r, name)
	case "GET /godwitrelay/log-newest":
		s.list(w, name, r.FormValue("DependsOn"))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) append(w http.ResponseWriter, name string, body []byte) {
	if name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	offset := int64(-1)
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if n < 1 || n > len(body)-4 || 1+int(body[4]) > n {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		rec := body[4 : 4+n]
		body = body[4+n:]
		s.put(name, string(rec[1:1+int(rec[0])]), append([]byte(nil), rec[1+int(rec[0]):]...))
		if offset < 0 {
			offset = s.end(name) - 1
		}
	}
	writeJSON(w, http.StatusOK, map[string]any{"Offset": offset, "End": s.end(name)})
}

func (s *store) end(name string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return int64(len(s.topic(name).records))
}

func (s *store) read(w http.ResponseWriter, r *http.Request, name string) {
	from, _ := strconv.ParseInt(r.FormValue("From"), 10, 64)
	s.mu.Lock()
	t := s.topic(name)
	out := binary.BigEndian.AppendUint64(nil, uint64(len(t.records)))
	out = binary.BigEndian.AppendUint64(out, 0)
	for i := from; i >= 0 && i < int64(len(t.records)) && len(out) < 1<<20; i++ {
		k := t.records[i]
		out = binary.BigEndian.AppendUint32(out, uint32(1+len(k.key)+len(k.value)))
		out = append(out, byte(len(k.key)))
		out = append(out, k.key...)
		out = append(out, k.value...)
	}
	s.mu.Unlock()
	_, _ = w.Write(out)
}

func (s *store) list(w http.ResponseWriter, name, after string) {
	type item struct {
		Key, Value string
		Offset     int64
	}
	s.mu.Lock()
	t := s.topic(name)
	keys := make([]string, 0, len(t.newest))
	for k := range t.newest {
		if k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	more := len(keys) > 500
	if more {
		keys = keys[:500]
	}
	items := []item{}
	for _, k := range keys {
		v := t.newest[k]
		items = append(items, item{k, base64.StdEncoding.EncodeToString(v.value), v.offset})
	}
	end := len(t.records)
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "HasMore": more, "End": end})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
