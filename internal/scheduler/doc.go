// Package scheduler is the decision core of an entry. It is a pure function:
// State.Apply takes an Event and a time and returns a new State and the Effects
// to carry out. It does no I/O, reads no clock and starts no goroutine, so that
// another front end, a test or a fuzzer can drive it.
//
// Its types, by subject:
//
//   - Zone, EntryID, Entry, Digest, Member: the entries of the system and what
//     one of them knows of another (zone.go, entry.go).
//   - Instance, Server, Worker, Mark: backend servers and workers with their
//     capacity in use, and the operators' marks (instance.go).
//   - Plan, Allowance, Size, Config, Edit: the operators' lists at one version
//     (plan.go, size.go, config.go).
//   - Request, RequestPhase, ExchangeEnd, Outcome, Reason: request/response work
//     (request.go, requests.go, outcome.go).
//   - Work, Item, Placement, Task, Lease, End: work for workers (item.go,
//     effect.go, leases.go, record.go).
//   - Claim, Hold, Handover: ownership of resources (claim.go). A resource is a
//     server, a worker or a tranche of the zone's allowances.
//   - Record and its kinds: the records of the platform's log (record.go).
//   - Event and its kinds: what happened (apply.go and the file of each subject).
//   - Effect and its kinds: what traffic goroutines are to do (effect.go).
//   - Policy: the limits that decisions depend on (policy.go).
//   - State: everything that one entry knows (state.go).
//   - Table, Ranking, TimeIndex: the persistent collections that State is made
//     of (collections.go).
//
// All values are immutable: fields are exported for reading and for literals,
// and a change is made by a With method or by Apply, which return a new value.
//
// Three rules carry the invariants. First, a resource has at most one acting
// owner: see Claim and State.Claim for the order of succession. Second, what may
// still run keeps its slot, its allowance or its lease until there is proof
// that it ended. Third, what all readers of the log must agree on depends only
// on the records and their order.
package scheduler
