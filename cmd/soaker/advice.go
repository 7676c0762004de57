package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// advice is the policy of a queue.
type advice struct {
	Decide float64 `json:"decide_ms"`
	Each   float64 `json:"each_ms"`
	Valid  float64 `json:"valid_ms"`
	good   float64 // share of the runners that may run a step
}

// maxAdviceCalls is the number of calls of one machine that may wait.
const maxAdviceCalls = 32

// adviceService decides which runners may run a step.
type adviceService struct {
	board *board
	seed  uint64

	mu      sync.Mutex
	tickets map[string]ticket
}

// adviceCaller is a machine that calls the service, which serves one call of it at a time.
// Each has an address of the service for itself, since all call from one loopback address.
type adviceCaller struct {
	service *adviceService
	turn    sync.Mutex
	waiting atomic.Int64
}

// ticket lets a runner run the tasks of a step in one of its lives.
type ticket struct {
	step, runner string
	life         int
	until        time.Time
}

func newAdviceService(b *board, seed uint64) *adviceService {
	return &adviceService{board: b, seed: seed, tickets: map[string]ticket{}}
}

// admits reports whether a runner may run a step, which doesn't change.
func (s *adviceService) admits(step, runner string, good float64) bool {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%d %s %s", s.seed, step, runner)
	const parts = 10000
	return float64(h.Sum64()%parts) < good*parts
}

// handlerFor returns what serves one more calling machine.
func (s *adviceService) handlerFor() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /advise", (&adviceCaller{service: s}).serveAdvise)
	return mux
}

func (c *adviceCaller) serveAdvise(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	defer c.waiting.Add(-1)
	if c.waiting.Add(1) > maxAdviceCalls {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	c.turn.Lock()
	defer c.turn.Unlock()
	s := c.service
	id, _, _ := strings.Cut(body.Step, ".")
	policy := s.board.advice(id)
	if policy == nil {
		writeJSON(w, http.StatusOK, map[string]any{"good": [][]string{}, "valid_ms": 0})
		return
	}
	time.Sleep(time.Duration((policy.Decide + policy.Each*float64(len(body.Workers))) * float64(time.Millisecond)))
	good := [][]string{}
	for _, runner := range body.Workers {
		if s.admits(body.Step, runner, policy.good) {
			good = append(good, []string{runner, s.issue(body.Step, runner, policy)})
		}
	}
	writeJSON(w, http.StatusOK, map[string]any{"good": good, "valid_ms": policy.Valid})
}

func (s *adviceService) issue(step, runner string, policy *advice) string {
	life := s.board.life(runner)
	s.mu.Lock()
	defer s.mu.Unlock()
	value := strconv.Itoa(len(s.tickets) + 1)
	s.tickets[value] = ticket{step, runner, life, time.Now().Add(time.Duration(policy.Valid * float64(time.Millisecond)))}
	return value
}

// valid reports whether a ticket lets a runner start a task.
func (s *adviceService) valid(value, task, runner string, life int) bool {
	id, _, _ := strings.Cut(task, ".")
	if s.board.advice(id) == nil {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.tickets[value]
	step := task[:strings.LastIndexByte(task, '.')]
	return ok && t.step == step && t.runner == runner && t.life == life && time.Now().Before(t.until)
}
