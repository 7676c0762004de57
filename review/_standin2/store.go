package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
)

// appendTime is how long a partition takes for one append.
const appendTime = 3 * time.Millisecond

// maxRecord is the largest record, in bytes.
const maxRecord = 262144

// maxCall is the size of the records of one append, in bytes.
const maxCall = 2097152

// store is the platform's metadata store: topics with one partition each.
type store struct {
	mu      sync.Mutex
	topics  map[string]*topic
	fault   func(r *http.Request) int // status of a refusal, 0 for none
	address string
	server  *http.Server
	group   errgroup.Group
}

// topic is one partition.
type topic struct {
	append  sync.Mutex // one append at a time
	records [][]byte
	newest  map[string]int // offset of the newest record of each key
	writers map[string]*writer
	changed chan struct{}
}

// writer is what the store knows of a producer.
type writer struct {
	epoch, seq int64
	answers    map[int64]position // of the last five appends of the epoch
}

type position struct {
	Offset int `json:"offset"`
	End    int `json:"end"`
}

func newStore() (*store, error) {
	s := &store{topics: map[string]*topic{}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = l.Addr().String()
	s.server = &http.Server{Handler: s}
	s.group.Go(func() error { return s.server.Serve(l) })
	return s, nil
}

func (s *store) setFault(f func(r *http.Request) int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// topic returns a topic, which exists from its first use on.
func (s *store) topic(name string) *topic {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.topics[name]
	if !ok {
		t = &topic{newest: map[string]int{}, writers: map[string]*writer{}, changed: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	fault := s.fault
	s.mu.Unlock()
	if fault != nil {
		if status := fault(r); status != 0 {
			reply(w, status, map[string]string{})
			return
		}
	}
	q := r.URL.Query()
	t := s.topic(q.Get("topic"))
	switch r.URL.Path {
	case "/log-append":
		s.serveAppend(w, r, t)
	case "/log-read":
		s.serveRead(w, r, t)
	case "/log-newest":
		s.serveNewest(w, q.Get("after"), t)
	default:
		http.NotFound(w, r)
	}
}

// split returns the records of a body, or false if it is malformed or too large.
func split(body []byte) ([][]byte, bool) {
	if len(body) > maxCall+4096 {
		return nil, false
	}
	var records [][]byte
	for len(body) > 0 {
		if len(body) < 4 {
			return nil, false
		}
		n := int(binary.BigEndian.Uint32(body))
		if n > len(body)-4 || n > maxRecord {
			return nil, false
		}
		records = append(records, body[4:4+n])
		body = body[4+n:]
	}
	return records, true
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request, t *topic) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	records, ok := split(body)
	if !ok {
		reply(w, http.StatusBadRequest, map[string]string{"reason": "size"})
		return
	}
	q := r.URL.Query()
	t.append.Lock()
	defer t.append.Unlock()
	time.Sleep(appendTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	end := len(t.records)
	if at := q.Get("at"); at != "" && at != strconv.Itoa(end) {
		reply(w, http.StatusPreconditionFailed, map[string]int{"end": end})
		return
	}
	var known *writer
	seq, _ := strconv.ParseInt(q.Get("seq"), 10, 64)
	if name := q.Get("producer"); name != "" {
		epoch, _ := strconv.ParseInt(q.Get("epoch"), 10, 64)
		known, ok = t.writers[name]
		if !ok {
			known = &writer{epoch: -1}
			t.writers[name] = known
		}
		switch {
		case epoch < known.epoch:
			reply(w, http.StatusConflict, map[string]string{"reason": "fenced"})
			return
		case epoch > known.epoch:
			known.epoch, known.answers = epoch, map[int64]position{}
		case seq != known.seq+1:
			if first, repeated := known.answers[seq]; repeated {
				reply(w, http.StatusOK, first)
				return
			}
			reply(w, http.StatusConflict, map[string]any{"reason": "seq", "seq": known.seq + 1})
			return
		}
		known.seq = seq
	}
	t.add(records)
	p := position{Offset: end, End: len(t.records)}
	if known != nil {
		known.answers[seq] = p
		delete(known.answers, seq-5)
	}
	reply(w, http.StatusOK, p)
}

// add adds records to the partition. The caller holds the store's lock.
func (t *topic) add(records [][]byte) {
	if len(records) == 0 {
		return
	}
	for _, record := range records {
		if len(record) > 0 && int(record[0]) < len(record) {
			key := string(record[1 : 1+int(record[0])])
			if len(record) == 1+len(key) {
				delete(t.newest, key)
			} else {
				t.newest[key] = len(t.records)
			}
		}
		t.records = append(t.records, record)
	}
	close(t.changed)
	t.changed = make(chan struct{})
}

// put writes a keyed record, as operators and runners do.
func (s *store) put(name, key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	t := s.topic(name)
	t.append.Lock()
	defer t.append.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	t.add([][]byte{append(append([]byte{byte(len(key))}, key...), data...)})
}

// remove drops a key.
func (s *store) remove(name, key string) {
	t := s.topic(name)
	t.append.Lock()
	defer t.append.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	t.add([][]byte{append([]byte{byte(len(key))}, key...)})
}

// keys returns the keys of a topic that have a value.
func (s *store) keys(name string) []string {
	t := s.topic(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range t.newest {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request, t *topic) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("poll_wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		records, changed := t.records, t.changed
		s.mu.Unlock()
		if len(records) > from {
			writeRecords(w, records, from)
			return
		}
		select {
		case <-changed:
			continue
		case <-r.Context().Done():
			return
		case <-deadline:
		}
		writeRecords(w, records, from)
		return
	}
}

func writeRecords(w http.ResponseWriter, records [][]byte, from int) {
	body := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
	body = binary.BigEndian.AppendUint64(body, 0)
	for i := from; i < len(records) && len(body) < 1<<20; i++ {
		body = binary.BigEndian.AppendUint32(body, uint32(len(records[i])))
		body = append(body, records[i]...)
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}

func (s *store) serveNewest(w http.ResponseWriter, after string, t *topic) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int    `json:"offset"`
	}
	var page struct {
		Items   []item `json:"items"`
		HasMore bool   `json:"has_more"`
		End     int    `json:"end"`
	}
	page.Items = []item{}
	s.mu.Lock()
	var keys []string
	for key := range t.newest {
		if strings.Compare(key, after) > 0 || after == "" {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	size := 0
	for _, key := range keys {
		if len(page.Items) == 500 || size > 1<<20 {
			page.HasMore = true
			break
		}
		offset := t.newest[key]
		record := t.records[offset]
		value := record[1+int(record[0]):]
		size += len(value)
		page.Items = append(page.Items, item{key, base64.StdEncoding.EncodeToString(value), offset})
	}
	page.End = len(t.records)
	s.mu.Unlock()
	reply(w, http.StatusOK, page)
}
