// Package emulator holds small stand-ins for what surrounds an entry: the
// platform, backend servers and workers. They are for tests, the demo and
// experiments; no code of an entry depends on them. Each keeps its own record
// of what it did, so that counts never come from what is measured.
package emulator

import (
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/endivelock/endivelock/internal/connector"
	"github.com/endivelock/endivelock/internal/scheduler"
)

const (
	// maxPage bounds the batches of one answer.
	maxPage = 2000
	// maxBatch bounds the bytes of one append.
	maxBatch = 4 << 20
)

// Faults are what is wrong with the platform at the moment.
type Faults struct {
	Outage  bool     `json:"outage"`  // nothing is answered
	Slow    string   `json:"slow"`    // delay of every answer
	Lossy   float64  `json:"lossy"`   // share of appends whose answer is lost after the effect
	Cut     []string `json:"cut"`     // zones that cannot reach the platform
	Unfresh bool     `json:"unfresh"` // the list does not change any more
}

// Platform is the log service with its list of instances.
type Platform struct {
	Retention time.Duration // 0 keeps records for ever
	Cap       int           // most appends a second, 0 for no cap
	Lag       time.Duration // age of the list

	mu        sync.Mutex
	streams   map[string]*stream
	instances map[string]scheduler.Instance
	lists     []list
	faults    Faults
	second    int64
	appends   int
	losses    int
}

type stream struct {
	first   int64
	next    int64
	entries []connector.Entry
	grown   chan struct{}
}

type list struct {
	at        time.Time
	instances []scheduler.Instance
}

// SetFaults changes what is wrong.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Register adds or changes an instance of the list.
func (p *Platform) Register(instances ...scheduler.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.instances == nil {
		p.instances = map[string]scheduler.Instance{}
	}
	for _, i := range instances {
		p.instances[string(i.Kind)+"/"+i.Name] = i
	}
	p.relist()
}

// Remove takes an instance off the list.
func (p *Platform) Remove(kind scheduler.InstanceKind, name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.instances, string(kind)+"/"+name)
	p.relist()
}

func (p *Platform) relist() {
	if p.faults.Unfresh {
		return
	}
	l := list{at: time.Now()}
	for _, key := range slices.Sorted(maps.Keys(p.instances)) {
		l.instances = append(l.instances, p.instances[key])
	}
	p.lists = append(p.lists, l)
}

// Handler serves the platform's protocol and, under /admin/, its switches.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log/{stream}", p.appendTo)
	mux.HandleFunc("GET /log/{stream}", p.readFrom)
	mux.HandleFunc("GET /instances", p.list)
	mux.HandleFunc("PUT /admin/faults", p.putFaults)
	mux.HandleFunc("POST /admin/instances", p.postInstances)
	mux.HandleFunc("DELETE /admin/instances/{kind}/{name}", p.deleteInstance)
	return mux
}

// broken applies the faults to a request and reports whether it is to fail.
func (p *Platform) broken(w http.ResponseWriter, r *http.Request) bool {
	p.mu.Lock()
	f := p.faults
	p.mu.Unlock()
	if d, err := time.ParseDuration(f.Slow); err == nil {
		time.Sleep(d)
	}
	if f.Outage || slices.Contains(f.Cut, r.Header.Get("Platform-Zone")) {
		http.Error(w, "the platform does not answer", http.StatusServiceUnavailable)
		return true
	}
	return false
}

func (p *Platform) appendTo(w http.ResponseWriter, r *http.Request) {
	if p.broken(w, r) {
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBatch))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	offset, lost, ok := p.add(r.PathValue("stream"), data)
	if !ok {
		http.Error(w, "too many appends", http.StatusTooManyRequests)
		return
	}
	if lost {
		panic(http.ErrAbortHandler)
	}
	answer(w, map[string]int64{"offset": offset})
}

// add appends a batch. Lost tells that the answer is to be lost.
func (p *Platform) add(name string, data []byte) (offset int64, lost, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if now.Unix() != p.second {
		p.second, p.appends = now.Unix(), 0
	}
	if p.Cap > 0 && p.appends >= p.Cap {
		return 0, false, false
	}
	p.appends++
	s := p.stream(name)
	offset = s.next
	s.next++
	s.entries = append(s.entries, connector.Entry{Offset: offset, Time: now, Data: data})
	p.trim(s, now)
	close(s.grown)
	s.grown = make(chan struct{})
	if p.faults.Lossy > 0 {
		p.losses++
		lost = float64(p.losses%100) < p.faults.Lossy*100
	}
	return offset, lost, true
}

func (p *Platform) stream(name string) *stream {
	if p.streams == nil {
		p.streams = map[string]*stream{}
	}
	if p.streams[name] == nil {
		p.streams[name] = &stream{first: 1, next: 1, grown: make(chan struct{})}
	}
	return p.streams[name]
}

func (p *Platform) trim(s *stream, now time.Time) {
	if p.Retention == 0 {
		return
	}
	for len(s.entries) > 0 && now.Sub(s.entries[0].Time) > p.Retention {
		s.entries = s.entries[1:]
		s.first++
	}
}

func (p *Platform) readFrom(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		http.Error(w, "from is not an offset", http.StatusBadRequest)
		return
	}
	wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil {
		http.Error(w, "wait is not a duration", http.StatusBadRequest)
		return
	}
	if p.broken(w, r) {
		return
	}
	page, grown := p.page(r.PathValue("stream"), from)
	if len(page.Entries) == 0 && wait > 0 {
		select {
		case <-grown:
		case <-time.After(wait):
		case <-r.Context().Done():
		}
		if p.broken(w, r) {
			return
		}
		page, _ = p.page(r.PathValue("stream"), from)
	}
	answer(w, page)
}

func (p *Platform) page(name string, from int64) (connector.Page, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stream(name)
	p.trim(s, time.Now())
	page := connector.Page{First: s.first, Next: max(from, s.first)}
	skip := min(int64(len(s.entries)), max(0, from-s.first))
	rest := s.entries[skip:]
	page.Entries = slices.Clone(rest[:min(len(rest), maxPage)])
	page.Next += int64(len(page.Entries))
	page.Tail = page.Next >= s.next
	return page, s.grown
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	if p.broken(w, r) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	instances := []scheduler.Instance{}
	for _, l := range p.lists {
		if time.Since(l.at) >= p.Lag {
			instances = l.instances
		}
	}
	answer(w, map[string]any{"instances": instances})
}

func (p *Platform) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetFaults(f)
}

func (p *Platform) postInstances(w http.ResponseWriter, r *http.Request) {
	var instances []scheduler.Instance
	if err := json.NewDecoder(r.Body).Decode(&instances); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.Register(instances...)
}

func (p *Platform) deleteInstance(_ http.ResponseWriter, r *http.Request) {
	p.Remove(scheduler.InstanceKind(r.PathValue("kind")), r.PathValue("name"))
}

func answer(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
