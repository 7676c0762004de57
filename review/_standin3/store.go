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

const (
	recordBytes = 256 << 10
	callBytes   = 2 << 20
	partMBs     = 20 << 20 // bytes that a partition takes in a second
	appendTime  = 3 * time.Millisecond
	longestWait = 2 * time.Second // that an append may wait for its partition
	pageItems   = 500
	pageBytes   = 1 << 20
	readBytes   = 1 << 20
)

// store stands in for the platform's log, as far as endivelock uses it: keyed topics with one
// partition, conditional appends, producers with epochs, long polls.
type store struct {
	out    *recorder
	mu     sync.Mutex
	topics map[string]*topic
	silent func() bool // whether calls get no answer and do nothing; may be nil
}

type topic struct {
	serial    sync.Mutex // appends are processed one at a time
	waiting   time.Duration
	records   [][]byte
	newest    map[string]int
	producers map[string]*producer
	grown     chan struct{}
}

type producer struct {
	epoch   int64
	begun   bool
	last    int64
	answers []answered
}

type answered struct {
	seq  int64
	body map[string]int64
}

func newStore(out *recorder) *store { return &store{out: out, topics: map[string]*topic{}} }

func (s *store) topic(name string) *topic {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.topics[name]
	if !ok {
		t = &topic{newest: map[string]int{}, producers: map[string]*producer{}, grown: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// ServeHTTP answers the calls of PROTOCOL.md that begin with /log-.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.silent != nil && s.silent() {
		<-r.Context().Done()
		return
	}
	t := s.topic(r.URL.Query().Get("topic"))
	switch r.URL.Path {
	case "/log-append":
		s.append(w, r, t)
	case "/log-read":
		s.read(w, r, t)
	case "/log-newest":
		s.newestOf(w, r, t)
	default:
		reply(w, http.StatusNotFound, map[string]string{})
	}
}

func splitRecords(body []byte) ([][]byte, bool) {
	var records [][]byte
	for len(body) > 0 {
		if len(body) < 4 {
			return nil, false
		}
		size := int(binary.BigEndian.Uint32(body))
		if size > recordBytes || size > len(body)-4 || size < 1 {
			return nil, false
		}
		records = append(records, body[4:4+size])
		body = body[4+size:]
	}
	return records, true
}

func (s *store) append(w http.ResponseWriter, r *http.Request, t *topic) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	records, ok := splitRecords(body)
	if !ok || len(body) > callBytes {
		s.out.note("store refuses an append of %d bytes to %s with 400", len(body), r.URL.Query().Get("topic"))
		reply(w, http.StatusBadRequest, map[string]string{"reason": "size"})
		return
	}
	took := appendTime + time.Duration(float64(len(body))/partMBs*float64(time.Second))
	s.mu.Lock()
	if t.waiting > longestWait {
		s.mu.Unlock()
		reply(w, http.StatusServiceUnavailable, map[string]string{})
		return
	}
	t.waiting += took
	s.mu.Unlock()
	t.serial.Lock()
	time.Sleep(took)
	s.mu.Lock()
	t.waiting -= took
	status, answer := t.apply(r, records)
	s.mu.Unlock()
	t.serial.Unlock()
	reply(w, status, answer)
}

// apply carries out an append. The caller holds the lock.
func (t *topic) apply(r *http.Request, records [][]byte) (int, any) {
	q := r.URL.Query()
	end := int64(len(t.records))
	if at := q.Get("at"); at != "" && at != strconv.FormatInt(end, 10) {
		return http.StatusPreconditionFailed, map[string]int64{"end": end}
	}
	var p *producer
	var seq int64
	if name := q.Get("producer"); name != "" {
		epoch, _ := strconv.ParseInt(q.Get("epoch"), 10, 64)
		seq, _ = strconv.ParseInt(q.Get("seq"), 10, 64)
		if p = t.producers[name]; p == nil {
			p = &producer{}
			t.producers[name] = p
		}
		switch {
		case epoch < p.epoch:
			return http.StatusConflict, map[string]string{"reason": "fenced"}
		case epoch > p.epoch:
			*p = producer{epoch: epoch}
		}
		if len(records) == 0 {
			return http.StatusOK, map[string]int64{"offset": end, "end": end}
		}
		for _, a := range p.answers {
			if a.seq == seq {
				return http.StatusOK, a.body
			}
		}
		if p.begun && seq != p.last+1 {
			return http.StatusConflict, map[string]any{"reason": "seq", "seq": p.last + 1}
		}
	}
	for _, record := range records {
		key := string(record[1 : 1+int(record[0])])
		if len(record) > 1+len(key) {
			t.newest[key] = len(t.records)
		} else {
			delete(t.newest, key)
		}
		t.records = append(t.records, record)
	}
	answer := map[string]int64{"offset": end, "end": int64(len(t.records))}
	if p != nil {
		p.begun, p.last = true, seq
		p.answers = append(p.answers, answered{seq, answer})
		p.answers = p.answers[max(0, len(p.answers)-5):]
	}
	if len(records) > 0 {
		close(t.grown)
		t.grown = make(chan struct{})
	}
	return http.StatusOK, answer
}

// put writes the value of a key, as the operator and the runners do.
func (s *store) put(name, key string, value []byte) {
	t := s.topic(name)
	record := append(append([]byte{byte(len(key))}, key...), value...)
	s.mu.Lock()
	defer s.mu.Unlock()
	t.newest[key] = len(t.records)
	t.records = append(t.records, record)
	close(t.grown)
	t.grown = make(chan struct{})
}

// value returns the newest value of a key, or nil.
func (s *store) value(name, key string) []byte {
	t := s.topic(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	if i, ok := t.newest[key]; ok {
		return t.records[i][1+len(key):]
	}
	return nil
}

func (s *store) read(w http.ResponseWriter, r *http.Request, t *topic) {
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	wait, _ := strconv.Atoi(r.URL.Query().Get("poll_wait_ms"))
	until := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer until.Stop()
	for {
		s.mu.Lock()
		records, grown, end := t.records, t.grown, len(t.records)
		s.mu.Unlock()
		if from >= end && wait > 0 {
			select {
			case <-grown:
				continue
			case <-until.C:
			case <-r.Context().Done():
				return
			}
		}
		out := binary.BigEndian.AppendUint64(nil, uint64(end))
		out = binary.BigEndian.AppendUint64(out, 0)
		for i := from; i < end && len(out) < readBytes; i++ {
			out = binary.BigEndian.AppendUint32(out, uint32(len(records[i])))
			out = append(out, records[i]...)
		}
		_, _ = w.Write(out)
		return
	}
}

func (s *store) newestOf(w http.ResponseWriter, r *http.Request, t *topic) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	after := r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range t.newest {
		if key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	items, size, more := []item{}, 0, false
	for _, key := range keys {
		if len(items) == pageItems || size > pageBytes {
			more = true
			break
		}
		record := t.records[t.newest[key]]
		items = append(items, item{key, base64.StdEncoding.EncodeToString(record[1+len(key):]), t.newest[key]})
		size += len(record)
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "end": len(t.records)})
}
