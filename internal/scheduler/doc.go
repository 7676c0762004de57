// Package scheduler is the decision core of an entry. It is a pure function:
// State.Apply takes an Event and a time and returns a new State and the Effects
// that are to be carried out. It does no input or output, reads no clock and
// starts nothing, so that another front end, a test or a fuzzer can drive it.
//
// Its types, by subject:
//
//   - Zone, EntryID, Entry, Digest, Member: the entries of the system and what
//     one of them knows of another (zone.go, entry.go).
//   - Instance, Server, Worker, Mark: backend servers and workers with their
//     books, and the operators' marks (instance.go).
//   - Plan, Allowance, Size, Config, Edit: the operators' lists at one version
//     (plan.go, size.go, config.go).
//   - Request, RequestPhase, EndKind, Outcome, Reason: request/response work
//     (request.go, outcome.go).
//   - Work, Item, Placement, Task, Lease, End: work for workers (item.go,
//     effect.go, leases.go).
//   - Claim, Hold, Gift: ownership of resources (claim.go). A resource is a
//     server, a worker or a tranche of the zone's allowances.
//   - Record and its kinds: the entries of the platform's log (record.go).
//   - Event and its kinds: what happened (apply.go and the file of each subject).
//   - Effect and its kinds: what is to be done (effect.go).
//   - Policy: the limits that decisions depend on (policy.go).
//   - State: everything that one entry knows (state.go).
//   - Table, Agenda: the persistent collections that State is made of.
//
// All values are immutable: fields are exported for reading and for literals,
// and a change is made by a With method or by Apply, which return a new value.
//
// Three rules carry the invariants. First, a resource has at most one acting
// owner: see Claim and State.Claim for the line of succession. Second, what may
// still run keeps its slot, its allowance or its lease until there is proof
// that it ended. Third, what readers must agree on depends on nothing but the
// order of the log.
package scheduler
