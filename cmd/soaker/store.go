package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Limits of the store.
const (
	appendTime     = 3 * time.Millisecond
	maxRecordBytes = 262144
	maxCallBytes   = 2097152
	maxPageItems   = 500
	maxReadWait    = 30 * time.Second
)

// entryRecord is a record of a topic.
type entryRecord struct {
	offset int64
	key    string
	value  []byte // nil drops the key
}

// topic is the only partition of a topic.
type topic struct {
	records   []entryRecord
	newest    map[string]entryRecord
	producers map[string]*producer
	changed   chan struct{}
	appending sync.Mutex // a partition processes its appends one at a time
}

// producer is a writer with an epoch.
type producer struct {
	epoch, next int64
	answers     map[int64]position // of the last appends, by sequence number
}

// position is the answer to an append.
type position struct {
	Offset int64 `json:"offset"`
	End    int64 `json:"end"`
}

// store serves the platform's log. Only topics whose names begin with "keyed." are used.
type store struct {
	mu     sync.Mutex
	topics map[string]*topic
	delay  time.Duration
	away   bool
}

// disturb slows the appends down or has all calls refused.
func (s *store) disturb(delay time.Duration, away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay, s.away = delay, away
}

// whenThere refuses calls while the store is away.
func (s *store) whenThere(serve http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		away := s.away
		s.mu.Unlock()
		if away {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		serve(w, r)
	}
}

func newStore() *store { return &store{topics: map[string]*topic{}} }

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log-append", s.whenThere(s.serveAppend))
	mux.HandleFunc("GET /log-read", s.whenThere(s.serveRead))
	mux.HandleFunc("GET /log-newest", s.whenThere(s.serveNewest))
	return mux
}

// get returns a topic, which is created on first use. The caller holds the lock.
func (s *store) get(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]entryRecord{}, producers: map[string]*producer{}, changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// value returns the newest value of a key, or nil.
func (s *store) value(name, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.get(name).newest[key].value
}

// put adds a value, as the operator or a runner does. A nil value drops the key.
func (s *store) put(name, key string, value any) {
	var data []byte
	if value != nil {
		data, _ = json.Marshal(value)
	}
	s.putRaw(name, key, data)
}

// putRaw adds a value as it is, or drops the key if it is nil.
func (s *store) putRaw(name, key string, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.get(name).add([]entryRecord{{key: key, value: data}})
}

func (t *topic) add(records []entryRecord) position {
	p := position{Offset: int64(len(t.records))}
	for _, r := range records {
		r.offset = int64(len(t.records))
		t.records = append(t.records, r)
		if r.value == nil {
			delete(t.newest, r.key)
		} else {
			t.newest[r.key] = r
		}
	}
	p.End = int64(len(t.records))
	close(t.changed)
	t.changed = make(chan struct{})
	return p
}

// decodeRecords decodes the body of an append. It returns false if a record is
// malformed or longer than the limit.
func decodeRecords(body []byte) ([]entryRecord, bool) {
	var records []entryRecord
	for len(body) > 0 {
		if len(body) < 5 {
			return nil, false
		}
		size := int(binary.BigEndian.Uint32(body))
		if size < 1 || size > maxRecordBytes || size > len(body)-4 {
			return nil, false
		}
		content := body[4 : 4+size]
		body = body[4+size:]
		n := int(content[0])
		if n > size-1 {
			return nil, false
		}
		r := entryRecord{key: string(content[1 : 1+n])}
		if size > 1+n {
			r.value = slices.Clone(content[1+n:])
		}
		records = append(records, r)
	}
	return records, true
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxCallBytes+1))
	if err != nil {
		return
	}
	records, ok := decodeRecords(body)
	if !ok || len(body) > maxCallBytes {
		writeJSON(w, http.StatusRequestEntityTooLarge, map[string]string{"reason": "size"})
		return
	}
	q := r.URL.Query()
	s.mu.Lock()
	t, delay := s.get(q.Get("topic")), s.delay
	s.mu.Unlock()
	t.appending.Lock()
	defer t.appending.Unlock()
	if len(records) > 0 {
		time.Sleep(appendTime + delay)
	}
	s.mu.Lock()
	status, answer := t.append(records, q.Get("at"), q.Get("producer"), number(q.Get("epoch")), number(q.Get("seq")))
	s.mu.Unlock()
	writeJSON(w, status, answer)
}

func number(text string) int64 {
	n, _ := strconv.ParseInt(text, 10, 64)
	return n
}

// append carries out an append and returns its response.
func (t *topic) append(records []entryRecord, at, name string, epoch, seq int64) (int, any) {
	if at != "" && number(at) != int64(len(t.records)) {
		return http.StatusPreconditionFailed, map[string]int64{"end": int64(len(t.records))}
	}
	if name == "" {
		return http.StatusOK, t.add(records)
	}
	p := t.producers[name]
	if p == nil {
		p = &producer{epoch: -1}
		t.producers[name] = p
	}
	switch {
	case epoch < p.epoch:
		return http.StatusConflict, map[string]string{"reason": "fenced"}
	case epoch > p.epoch:
		*p = producer{epoch: epoch, next: seq, answers: map[int64]position{}}
	}
	if len(records) == 0 {
		return http.StatusOK, position{int64(len(t.records)), int64(len(t.records))}
	}
	if answer, repeat := p.answers[seq]; repeat {
		return http.StatusOK, answer
	}
	if len(p.answers) == 0 {
		p.next = seq // the first append of an epoch may start at any number
	}
	if seq != p.next {
		return http.StatusConflict, map[string]any{"reason": "seq", "seq": p.next}
	}
	answer := t.add(records)
	p.answers[seq] = answer
	delete(p.answers, seq-repeatsKept)
	p.next = seq + 1
	return http.StatusOK, answer
}

// repeatsKept is how many appends of a producer are recognized when they are repeated.
const repeatsKept = 5

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from := number(q.Get("from"))
	wait := min(time.Duration(number(q.Get("poll_wait_ms")))*time.Millisecond, maxReadWait)
	until := time.NewTimer(wait)
	defer until.Stop()
	for waiting := true; ; {
		s.mu.Lock()
		t := s.get(q.Get("topic"))
		records, changed := t.records, t.changed
		s.mu.Unlock()
		if int64(len(records)) > from || !waiting || wait == 0 {
			_, _ = w.Write(encodeRead(records, from))
			return
		}
		select {
		case <-changed:
		case <-until.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

// maxReadBytes bounds one response of a read.
const maxReadBytes = 1024 << 10

// encodeRead encodes the records from an offset on, after the end and the first offset.
func encodeRead(records []entryRecord, from int64) []byte {
	b := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	b = binary.BigEndian.AppendUint64(b, 0)
	for _, r := range records[min(from, int64(len(records))):] {
		b = binary.BigEndian.AppendUint32(b, uint32(1+len(r.key)+len(r.value)))
		b = append(b, byte(len(r.key)))
		b = append(b, r.key...)
		b = append(b, r.value...)
		if len(b) > maxReadBytes {
			break
		}
	}
	return b
}

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int64  `json:"offset"`
	}
	q := r.URL.Query()
	s.mu.Lock()
	t := s.get(q.Get("topic"))
	var keys []string
	for key := range t.newest {
		if key > q.Get("after") {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	items, size, more := []item{}, 0, false
	for _, key := range keys {
		if len(items) >= maxPageItems || size > maxReadBytes {
			more = true
			break
		}
		v := t.newest[key]
		items = append(items, item{key, base64.StdEncoding.EncodeToString(v.value), v.offset})
		size += len(v.value)
	}
	end := int64(len(t.records))
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "end": end})
}
