// Package emulator emulates the systems around an entry: the platform, backend
// servers and workers. It is for tests, the demo and experiments; no code of an
// entry depends on it. Emulators record what they executed themselves, so that
// violations are never counted by the system under test.
//
// Platform, Backend and Worker serve HTTP. Log and Cell are in-memory
// implementations of the ports of an entry that schedules jobs.
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
	// maxPageEntries is the maximum number of batches in one response.
	maxPageEntries = 2000
	// maxBatchBytes is the maximum size of one append.
	maxBatchBytes = 4 << 20
)

// Faults are the faults injected into the platform.
type Faults struct {
	Outage     bool     `json:"outage"`  // every request fails
	Delay      string   `json:"slow"`    // delay of every response, as a duration
	Lossy      float64  `json:"lossy"`   // share of appends that take effect but get no response
	Cut        []string `json:"cut"`     // zones that are partitioned from the platform
	FrozenList bool     `json:"unfresh"` // the list of instances does not change any more
}

// Platform emulates the platform's log and its list of instances.
type Platform struct {
	Retention     time.Duration // of records, 0 for unlimited
	MaxAppendRate int           // maximum number of appends per second, 0 for no limit
	Lag           time.Duration // age of the list that is served

	mu           sync.Mutex
	streams      map[string]*stream
	instances    map[string]scheduler.Instance
	lists        []listSnapshot
	faults       Faults
	appendSecond int64 // Unix second that appends counts in
	appends      int   // in appendSecond
	lossyAppends int   // appends while Lossy was set
}

type stream struct {
	first    int64
	next     int64
	entries  []connector.Batch
	appended chan struct{}
}

type listSnapshot struct {
	at        time.Time
	instances []scheduler.Instance
}

// SetFaults replaces the faults of the platform.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Register adds instances to the list or replaces them.
func (p *Platform) Register(instances ...scheduler.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.instances == nil {
		p.instances = map[string]scheduler.Instance{}
	}
	for _, i := range instances {
		p.instances[string(i.Kind)+"/"+i.Name] = i
	}
	p.publishList()
}

// Remove removes an instance from the list.
func (p *Platform) Remove(kind scheduler.InstanceKind, name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.instances, string(kind)+"/"+name)
	p.publishList()
}

func (p *Platform) publishList() {
	if p.faults.FrozenList {
		return
	}
	l := listSnapshot{at: time.Now()}
	for _, key := range slices.Sorted(maps.Keys(p.instances)) {
		l.instances = append(l.instances, p.instances[key])
	}
	p.lists = append(p.lists, l)
}

// Handler serves the platform's protocol and, under /admin/, the injection of
// faults and the registration of instances.
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

// injectFaults applies the faults to a request. If it returns true, it has
// written an error response.
func (p *Platform) injectFaults(w http.ResponseWriter, r *http.Request) bool {
	p.mu.Lock()
	f := p.faults
	p.mu.Unlock()
	if d, err := time.ParseDuration(f.Delay); err == nil {
		time.Sleep(d)
	}
	if f.Outage || slices.Contains(f.Cut, r.Header.Get("Platform-Zone")) {
		http.Error(w, "the platform does not answer", http.StatusServiceUnavailable)
		return true
	}
	return false
}

func (p *Platform) appendTo(w http.ResponseWriter, r *http.Request) {
	if p.injectFaults(w, r) {
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBatchBytes))
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
	writeJSON(w, map[string]int64{"offset": offset})
}

// add appends a batch. It returns lost if the response must not be sent, and not
// ok if the cap on appends is reached.
func (p *Platform) add(name string, data []byte) (offset int64, lost, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if now.Unix() != p.appendSecond {
		p.appendSecond, p.appends = now.Unix(), 0
	}
	if p.MaxAppendRate > 0 && p.appends >= p.MaxAppendRate {
		return 0, false, false
	}
	p.appends++
	s := p.stream(name)
	offset = s.next
	s.next++
	s.entries = append(s.entries, connector.Batch{Offset: offset, Time: now, Data: data})
	p.trim(s, now)
	close(s.appended)
	s.appended = make(chan struct{})
	if p.faults.Lossy > 0 {
		p.lossyAppends++
		lost = float64(p.lossyAppends%100) < p.faults.Lossy*100
	}
	return offset, lost, true
}

func (p *Platform) stream(name string) *stream {
	if p.streams == nil {
		p.streams = map[string]*stream{}
	}
	if p.streams[name] == nil {
		p.streams[name] = &stream{first: 1, next: 1, appended: make(chan struct{})}
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
	if p.injectFaults(w, r) {
		return
	}
	page, grown := p.page(r.PathValue("stream"), from)
	if len(page.Batches) == 0 && wait > 0 {
		select {
		case <-grown:
		case <-time.After(wait):
		case <-r.Context().Done():
		}
		if p.injectFaults(w, r) {
			return
		}
		page, _ = p.page(r.PathValue("stream"), from)
	}
	writeJSON(w, page)
}

func (p *Platform) page(name string, from int64) (connector.Page, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stream(name)
	p.trim(s, time.Now())
	page := connector.Page{First: s.first, Next: max(from, s.first)}
	skip := min(int64(len(s.entries)), max(0, from-s.first))
	rest := s.entries[skip:]
	page.Batches = slices.Clone(rest[:min(len(rest), maxPageEntries)])
	page.Next += int64(len(page.Batches))
	page.Tail = page.Next >= s.next
	return page, s.appended
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	if p.injectFaults(w, r) {
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
	writeJSON(w, map[string]any{"instances": instances})
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

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
