package scheduler

import "slices"

// DigestReceived reports that another entry sent its digest.
type DigestReceived struct {
	Digest Digest
}

func (e DigestReceived) apply(t *step) {
	id := e.Digest.Entry.ID
	if id.Name == t.s.Self.ID.Name {
		return
	}
	m, _ := t.s.Members.Get(id.String())
	if m.Dead {
		return
	}
	if m.Digest.Acked > e.Digest.Acked {
		e.Digest.Acked = m.Digest.Acked
	}
	t.s.Members = t.s.Members.With(id.String(), m.WithDigest(e.Digest, t.now))
	t.supersede(id)
	if t.s.Queue.Len() > 0 {
		t.dispatchQueue()
	}
}

// supersede marks earlier incarnations of an entry as dead.
func (t *step) supersede(id EntryID) {
	for key, m := range t.s.Members.All() {
		other := m.Digest.Entry.ID
		if other.Name == id.Name && other.Incarnation < id.Incarnation && !m.Dead {
			t.s.Members = t.s.Members.With(key, m.WithDead())
		}
	}
}

// PeerRefused reports that the address of an entry refused a connection, which
// the operating system does only when no process listens there.
type PeerRefused struct {
	Entry EntryID
}

func (e PeerRefused) apply(t *step) {
	key := e.Entry.String()
	m, ok := t.s.Members.Get(key)
	if !ok || m.Dead || m.Digest.Entry.Zone != t.s.Self.Zone {
		return
	}
	if m.Refused.IsZero() {
		t.s.Members = t.s.Members.With(key, m.WithRefused(t.now))
		return
	}
	if t.now.Sub(m.Refused) >= t.s.Policy.RefusalGap {
		t.s.Members = t.s.Members.With(key, m.WithDead())
		t.claimAll()
	}
}

// InstancesListed reports what the platform's list holds. The list may lag.
type InstancesListed struct {
	Instances []Instance
}

func (e InstancesListed) apply(t *step) {
	t.s.Listed = true
	t.s.Entries = Table[Instance]{}
	seen := map[string]bool{}
	for _, i := range e.Instances {
		seen[string(i.Kind)+i.Name] = true
		t.updateInstance(i)
	}
	t.markGone(seen)
	t.updateListed()
	t.dispatchQueue()
}

// updateInstance stores an instance from the platform's list.
func (t *step) updateInstance(i Instance) {
	switch {
	case i.Kind == KindEntry:
		t.s.Entries = t.s.Entries.With(i.Name, i)
	case i.Zone != t.s.Self.Zone:
	case i.Kind == KindServer:
		v, _ := t.s.Servers.Get(i.Name)
		t.putServer(i.Name, v.WithInstance(i))
	case i.Kind == KindWorker:
		w, _ := t.s.Workers.Get(i.Name)
		t.putWorker(i.Name, w.WithInstance(i))
	}
}

// markGone marks servers and workers that the platform's list lacks.
func (t *step) markGone(seen map[string]bool) {
	for name, v := range t.s.Servers.All() {
		if !seen[string(KindServer)+name] && !v.Gone {
			t.putServer(name, v.WithGone())
		}
	}
	for name, w := range t.s.Workers.All() {
		if !seen[string(KindWorker)+name] && !w.Gone {
			t.putWorker(name, w.WithGone())
		}
	}
}

// updateListed stores for each member whether the platform's list has it.
func (t *step) updateListed() {
	for key, m := range t.s.Members.All() {
		if m.Dead {
			continue
		}
		present := t.s.Entries.Has(m.Digest.Entry.ID.Name)
		t.s.Members = t.s.Members.With(key, m.WithListed(present, t.now))
	}
}

// addMember adds an entry that a claim names to the members, so that its death
// can be established.
func (t *step) addMember(id EntryID) {
	if id == t.s.Self.ID || t.s.Members.Has(id.String()) {
		return
	}
	m := Member{Digest: Digest{Entry: Entry{ID: id, Zone: t.s.Self.Zone}}}
	m.Dead = id.Name == t.s.Self.ID.Name
	for _, other := range t.s.Members.All() {
		known := other.Digest.Entry.ID
		if known.Name == id.Name && known.Incarnation > id.Incarnation {
			m.Dead = true
		}
	}
	t.s.Members = t.s.Members.With(id.String(), m)
}

// checkMembers probes silent members of the zone and marks those as dead that
// the platform's list proves to be gone.
func (t *step) checkMembers() {
	for key, m := range t.s.Members.All() {
		if m.Dead || m.Digest.Entry.Zone != t.s.Self.Zone {
			continue
		}
		silent := t.now.Sub(m.Heard)
		if silent < t.s.Policy.Silence/2 {
			continue
		}
		if t.absent(m) {
			t.s.Members = t.s.Members.With(key, m.WithDead())
			continue
		}
		t.probe(key, m)
	}
}

// absent reports whether the platform's list proves that the member is gone: the
// list has lacked it and the member has been silent for longer than the list can
// lag.
func (t *step) absent(m Member) bool {
	if m.UnlistedSince.IsZero() || t.now.Sub(m.UnlistedSince) < t.s.Policy.ListLag {
		return false
	}
	return t.now.Sub(m.Heard) >= t.s.Policy.ListLag
}

// probe asks a member for its digest, at most once per RefusalGap.
func (t *step) probe(key string, m Member) {
	entry := m.Digest.Entry
	if entry.Peer == "" {
		i, ok := t.s.Entries.Get(entry.ID.Name)
		if !ok {
			return
		}
		entry.Peer = i.Address
	}
	if t.now.Sub(m.Probed) < t.s.Policy.RefusalGap {
		return
	}
	t.s.Members = t.s.Members.With(key, m.WithProbed(t.now))
	t.emit(Probe{Entry: entry})
}

// dead reports whether an entry is proven never to act again.
func (s State) dead(id EntryID) bool {
	m, ok := s.Members.Get(id.String())
	return ok && m.Dead
}

// candidates returns the entries of this zone that may own resources now,
// ordered by ID, this one included unless it is draining.
func (t *step) candidates() []EntryID {
	var ids []EntryID
	if !t.s.Draining {
		ids = append(ids, t.s.Self.ID)
	}
	for _, m := range t.s.Members.All() {
		if m.Digest.Entry.Zone == t.s.Self.Zone && m.Usable(t.now, t.s.Policy.Silence) {
			ids = append(ids, m.Digest.Entry.ID)
		}
	}
	slices.SortFunc(ids, func(a, b EntryID) int { return compareIDs(a, b) })
	return ids
}

func compareIDs(a, b EntryID) int {
	switch {
	case a.Name < b.Name:
		return -1
	case a.Name > b.Name:
		return 1
	default:
		return int(a.Incarnation - b.Incarnation)
	}
}

var (
	_ Event = DigestReceived{}
	_ Event = PeerRefused{}
	_ Event = InstancesListed{}
)
