package scheduler_test

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/endivelock/endivelock/internal/scheduler"
)

// chooser returns a number from 0 to n-1.
type chooser func(n int) int

const (
	clusterServers = 3
	serverSlots    = 2
	// largestAllowance is the largest number of slots that an edit grants.
	largestAllowance = 5
	clusterWorkers   = 2
	clusterTranches  = 2
)

// node is one entry of the cluster.
type node struct {
	state  scheduler.State
	alive  bool
	paused bool
	outbox []scheduler.Effect // effects not yet carried out
	next   map[string]int64   // read positions in the log
}

func (n *node) active() bool { return n.alive && !n.paused }

// message is an event in transit to an entry.
type message struct {
	to    scheduler.EntryID
	event scheduler.Event
}

// batch is an append in transit to the log.
type batch struct {
	stream  string
	records []scheduler.Record
}

// exchange is a request at a backend server.
type exchange struct {
	request string
	server  string
	owner   scheduler.EntryID
	ends    time.Time
	broken  bool // the entry no longer waits for it
}

// workerTask is a task on a worker.
type workerTask struct {
	task   scheduler.Task
	worker string
	expiry time.Time
	done   time.Time
	end    scheduler.End
}

// cluster is a fake of everything outside the decision cores: the log, the
// network, servers, workers and callers.
type cluster struct {
	choose   chooser
	now      time.Time
	policy   scheduler.Policy
	nodes    map[string]*node
	messages []message
	batches  []batch
	log      map[string][]scheduler.ReadRecord
	logDown  bool
	offset   map[string]int64

	exchanges []*exchange
	tasks     []*workerTask
	forwards  map[string][]scheduler.EntryID // by request: the entries that forwarded it, in order
	instances []scheduler.Instance
	serial    int
	oracle    *oracle
	tracer    func(format string, values ...any)
}

// trace prints a line of the trace if tracing is on.
func (cl *cluster) trace(format string, values ...any) {
	if cl.tracer != nil {
		cl.tracer(format, values...)
	}
}

func newCluster(choose chooser) *cluster {
	cl := &cluster{
		choose: choose,
		now:    time.Unix(1_000_000, 0),
		policy: scheduler.Policy{
			Tranches: clusterTranches, RequestLimit: 4 * time.Second, QueueWait: 2 * time.Second,
			Lease: 3 * time.Second, Drift: 200 * time.Millisecond, ListLag: time.Hour,
		},
		nodes:    map[string]*node{},
		log:      map[string][]scheduler.ReadRecord{},
		offset:   map[string]int64{},
		forwards: map[string][]scheduler.EntryID{},
		oracle:   newOracle(),
	}
	for _, name := range []string{"a", "b", "c"} {
		cl.instances = append(cl.instances, scheduler.Instance{Kind: scheduler.KindEntry, Name: name, Zone: "z", Address: name})
	}
	for i := range clusterServers {
		cl.instances = append(cl.instances, scheduler.Instance{Kind: scheduler.KindServer, Name: fmt.Sprint("s", i), Zone: "z", Address: fmt.Sprint("s", i), Slots: serverSlots})
	}
	for i := range clusterWorkers {
		cl.instances = append(cl.instances, scheduler.Instance{Kind: scheduler.KindWorker, Name: fmt.Sprint("w", i), Zone: "z", Address: fmt.Sprint("w", i), Size: scheduler.Size{CPU: 2}})
	}
	cl.write(scheduler.ConfigStream, scheduler.ListRecord{List: scheduler.ListPlans, Nonce: "p", Plans: []scheduler.Plan{{Name: "p"}}})
	cl.write(scheduler.ConfigStream, scheduler.ListRecord{List: scheduler.ListAllowances, Nonce: "a", Allowances: []scheduler.Allowance{
		{Plan: "p", Slots: 5, Size: scheduler.Size{CPU: 3}},
	}})
	for _, name := range []string{"a", "b", "c"} {
		cl.start(name)
	}
	return cl
}

// write adds records to the log.
func (cl *cluster) write(stream string, records ...scheduler.Record) {
	cl.offset[stream]++
	cl.trace("log %s %d: %+v", stream, cl.offset[stream], records)
	for _, r := range records {
		cl.log[stream] = append(cl.log[stream], scheduler.ReadRecord{Offset: cl.offset[stream], At: cl.now, Record: r})
	}
}

func (cl *cluster) start(name string) {
	cl.serial++
	id := scheduler.EntryID{Name: name, Incarnation: int64(cl.serial)}
	self := scheduler.Entry{ID: id, Zone: "z", Peer: name, Forward: name}
	cl.nodes[name] = &node{state: scheduler.New(self, cl.policy, cl.now), alive: true, next: map[string]int64{}}
	cl.apply(cl.nodes[name], scheduler.InstancesListed{Instances: cl.instances})
}

// apply applies an event to a core and adds the effects to the node's outbox.
func (cl *cluster) apply(n *node, e scheduler.Event) {
	before := n.state
	s, effects := n.state.Apply(e, cl.now)
	cl.trace("%v: %T %+v -> %+v", n.state.Self.ID, e, e, effects)
	n.state = s
	n.outbox = append(n.outbox, effects...)
	cl.oracle.checkConfig(before, s)
}

// names returns the names of the entries for which a condition holds, sorted.
func (cl *cluster) names(holds func(n *node) bool) []string {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(cl.nodes)) {
		if holds(cl.nodes[name]) {
			names = append(names, name)
		}
	}
	return names
}

// pick returns an entry for which a condition holds, or nil.
func (cl *cluster) pick(holds func(n *node) bool) *node {
	names := cl.names(holds)
	if len(names) == 0 {
		return nil
	}
	return cl.nodes[names[cl.choose(len(names))]]
}

// perform carries out the first count effects in the outbox of an entry.
func (cl *cluster) perform(n *node, count int) {
	for range min(count, len(n.outbox)) {
		e := n.outbox[0]
		n.outbox = n.outbox[1:]
		cl.execute(n, e)
	}
}

func (cl *cluster) execute(n *node, effect scheduler.Effect) {
	cl.trace("%v does %T %+v", n.state.Self.ID, effect, effect)
	self := n.state.Self.ID
	switch e := effect.(type) {
	case scheduler.Append:
		cl.batches = append(cl.batches, batch{e.Stream, e.Records})
	case scheduler.Place:
		cl.place(self, e)
	case scheduler.Forward:
		cl.forward(n, e)
	case scheduler.Refuse:
		cl.refuse(e)
	case scheduler.Probe:
		cl.probe(n, e.Entry)
	case scheduler.SendHandover:
		cl.send(e.To.ID, scheduler.HandoverReceived{From: e.From, Resource: e.Resource, Claim: e.Claim, Running: e.Running, Broken: e.Broken})
		if cl.isAlive(e.To.ID) {
			cl.send(self, scheduler.HandoverConfirmed{Resource: e.Resource, To: e.To.ID})
		}
	case scheduler.ReleaseSlot:
		cl.send(e.To.ID, scheduler.CarriedEnded{Server: e.Server, Request: e.Request})
	case scheduler.PollServer:
		cl.send(self, scheduler.ServerPolled{Server: e.Server, Busy: cl.busy(e.Server), Lost: e.Lost})
	default:
		cl.executeOnWorker(self, effect)
	}
}

func (cl *cluster) send(to scheduler.EntryID, e scheduler.Event) {
	cl.messages = append(cl.messages, message{to, e})
}

func (cl *cluster) isAlive(id scheduler.EntryID) bool {
	n := cl.nodes[id.Name]
	return n != nil && n.alive && n.state.Self.ID == id
}

// probe exchanges digests with the entry that listens at an address.
func (cl *cluster) probe(n *node, to scheduler.Entry) {
	other := cl.nodes[to.Peer]
	if other == nil || other == n {
		return
	}
	if !other.alive {
		cl.send(n.state.Self.ID, scheduler.PeerRefused{Entry: to.ID})
		return
	}
	if other.paused {
		return
	}
	cl.send(other.state.Self.ID, scheduler.DigestReceived{Digest: n.state.Digest()})
	cl.send(n.state.Self.ID, scheduler.DigestReceived{Digest: other.state.Digest()})
}

func (cl *cluster) busy(server string) int {
	busy := 0
	for _, x := range cl.exchanges {
		if x.server == server {
			busy++
		}
	}
	return busy
}

// place begins an exchange, or fails to connect.
func (cl *cluster) place(owner scheduler.EntryID, e scheduler.Place) {
	if cl.choose(20) == 0 {
		cl.send(owner, scheduler.RequestEnded{Request: e.Request, End: scheduler.ExchangeUnsent})
		return
	}
	x := &exchange{request: e.Request, server: e.Server, owner: owner, ends: cl.now.Add(cl.policy.RequestLimit)}
	cl.exchanges = append(cl.exchanges, x)
	cl.oracle.requestRan(e.Request, e.Server, cl.busy(e.Server))
	cl.oracle.checkAllowance(len(cl.exchanges))
}

// finishExchange ends an exchange at its server. An entry that still waits for it
// gets the complete response.
func (cl *cluster) finishExchange(index int) {
	x := cl.exchanges[index]
	cl.exchanges = slices.Delete(cl.exchanges, index, index+1)
	if x.broken {
		return
	}
	cl.send(x.owner, scheduler.RequestEnded{Request: x.request, End: scheduler.ExchangeComplete})
	cl.answerForwards(x.request, false)
}

// breakExchange ends an exchange at the entry while the server continues.
func (cl *cluster) breakExchange(index int) {
	x := cl.exchanges[index]
	if x.broken {
		return
	}
	x.broken = true
	cl.send(x.owner, scheduler.RequestEnded{Request: x.request, End: scheduler.ExchangeBroken})
	cl.answerForwards(x.request, false)
}

func (cl *cluster) arrive(n *node) {
	cl.serial++
	r := scheduler.Request{ID: fmt.Sprint("r", cl.serial), Plan: "p", Deadline: cl.now.Add(3 * time.Second)}
	cl.apply(n, scheduler.RequestArrived{Request: r})
}

func (cl *cluster) forward(n *node, e scheduler.Forward) {
	r, ok := n.state.Requests.Get(e.Request)
	if !ok {
		return
	}
	if !cl.isAlive(e.Entry.ID) {
		cl.send(n.state.Self.ID, scheduler.ForwardEnded{Request: e.Request, Refused: true, Entry: e.Entry.ID})
		return
	}
	cl.forwards[e.Request] = append(cl.forwards[e.Request], n.state.Self.ID)
	inner := scheduler.Request{ID: r.ID, Plan: r.Plan, Deadline: r.Deadline, Hops: r.Hops + 1, Tried: append(slices.Clone(r.Tried), n.state.Self.ID.String())}
	cl.send(e.Entry.ID, scheduler.RequestArrived{Request: inner})
}

// refuse tells the caller, or the entry that forwarded the request, that it
// was not run.
func (cl *cluster) refuse(e scheduler.Refuse) {
	if len(cl.forwards[e.Request]) == 0 {
		cl.oracle.requestRefused(e.Request)
		return
	}
	cl.answerForwards(e.Request, true)
}

// answerForwards passes an answer back: a refusal to the last entry that forwarded
// the request, which decides again, anything else to all of them.
func (cl *cluster) answerForwards(request string, refused bool) {
	path := cl.forwards[request]
	for len(path) > 0 {
		last := path[len(path)-1]
		path = path[:len(path)-1]
		cl.send(last, scheduler.ForwardEnded{Request: request, Refused: refused})
		if refused {
			break
		}
	}
	cl.forwards[request] = path
}

// read lets an entry read from a stream of the log.
func (cl *cluster) read(n *node, stream string, count int) {
	e := scheduler.RecordsRead{Stream: stream, First: 1, Next: n.next[stream]}
	all := cl.log[stream]
	for _, r := range all {
		if r.Offset < n.next[stream] || (len(e.Records) >= count && r.Offset >= e.Next) {
			continue
		}
		e.Records = append(e.Records, r)
		e.Next = r.Offset + 1
	}
	n.next[stream] = e.Next
	e.Tail = len(all) == 0 || all[len(all)-1].Offset < e.Next
	cl.apply(n, e)
}
