package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// keepShare is the part of the log's retention after which a record that
// still counts is repeated.
const keepShare = 3

// keepEnded is how long an item that has ended is remembered. Within it, a
// submission that is repeated under the same identifier starts nothing.
const keepEnded = 5 * time.Minute

// keepLooks is how often within the log's retention an entry looks for records
// to repeat.
const keepLooks = 100

// ReadRecord is a record at its place in a stream. Several records written by
// one append have the same offset.
type ReadRecord struct {
	Offset int64
	At     time.Time // when the log took it, the same for every reader
	Record Record
}

// RecordsRead tells what was read from a stream of the log, in order.
type RecordsRead struct {
	Stream  string
	First   int64 // oldest offset that the log still has
	Next    int64 // offset after the last one read
	Records []ReadRecord
	Tail    bool // nothing newer was there
}

func (e RecordsRead) apply(t *step) {
	switch e.Stream {
	case ConfigStream:
		t.readConfig(e)
	case ZoneStream(t.s.Self.Zone):
		t.readZone(e)
	}
}

func (t *step) readConfig(e RecordsRead) {
	for _, r := range e.Records {
		if r.Offset >= t.s.ConfigNext {
			t.applyConfig(r)
		}
	}
	t.s.ConfigNext = max(t.s.ConfigNext, e.Next)
	t.s.ConfigRead = t.s.ConfigRead || e.Tail
	t.pump()
}

func (t *step) applyConfig(r ReadRecord) {
	switch record := r.Record.(type) {
	case ListRecord:
		t.applyList(r.Offset, record)
	case MarkRecord:
		c := t.s.Config.WithMark(record.Instance, record.Mark)
		t.setConfig(c.WithEdit(Edit{record.Nonce, r.Offset, true}).WithOffset(r.Offset))
	case SnapshotRecord:
		if record.Config.Offset > t.s.Config.Offset {
			t.setConfig(record.Config)
		}
		t.s.ConfigKept = t.now
	}
}

// applyList accepts a list that was edited from the version in force. Two
// edits of the same version race; the first in the log wins at every reader.
func (t *step) applyList(offset int64, r ListRecord) {
	c := t.s.Config
	if _, decided := c.Edit(r.Nonce); decided {
		return
	}
	if r.Basis != c.Version(r.List) {
		t.s.Config = c.WithEdit(Edit{r.Nonce, offset, false})
		return
	}
	switch r.List {
	case ListPlans:
		c = c.WithPlans(r.Plans, offset)
	case ListAllowances:
		c = c.WithAllowances(r.Allowances, offset)
	default:
		return
	}
	t.setConfig(c.WithEdit(Edit{r.Nonce, offset, true}).WithOffset(offset))
}

func (t *step) setConfig(c Config) {
	if c.Offset < t.s.Config.Offset {
		return
	}
	before := t.s.Config.Marks
	t.s.Config = c
	t.s.ConfigKept = t.now
	t.indexMarked(before)
	t.indexMarked(c.Marks)
}

// ConfigHeard tells the configuration of a peer. It counts only if it is newer.
type ConfigHeard struct {
	Config Config
}

func (e ConfigHeard) apply(t *step) {
	if e.Config.Offset <= t.s.Config.Offset {
		return
	}
	t.setConfig(e.Config)
	t.s.ConfigNext = max(t.s.ConfigNext, e.Config.Offset+1)
	t.pump()
}

func (t *step) readZone(e RecordsRead) {
	if t.s.Applied < e.First {
		t.s.First = e.First
	}
	for _, r := range e.Records {
		if r.Offset >= t.s.Applied {
			t.logged = r.At
			t.pruneItems()
			t.applyZone(r)
		}
	}
	t.s.Applied = max(t.s.Applied, e.Next)
	t.s.ZoneRead = t.s.ZoneRead || e.Tail
	t.pump()
	t.placeItems()
}

func (t *step) applyZone(r ReadRecord) {
	switch record := r.Record.(type) {
	case ClaimRecord:
		t.applyClaim(r.Offset, record)
	case SubmitRecord:
		t.applySubmit(r.Offset, record)
	case StartRecord:
		t.applyStart(r.Offset, record)
	case FinishRecord:
		t.applyFinish(record)
	case CancelRecord:
		t.applyCancel(record)
	case KeepRecord:
		t.applyKeep(record)
	}
}

// keepRecords repeats what the log would otherwise forget: ownership by the
// owner, the configuration by the entry of the zone that ranks first.
func (t *step) keepRecords() {
	t.s.Kept = t.now
	age := t.s.Policy.Retention / keepShare
	if t.s.Config.Offset > 0 && t.now.Sub(t.s.ConfigKept) > age && t.ranksFirst(ConfigStream) {
		t.s.ConfigKept = t.now
		t.emit(Append{Stream: ConfigStream, Records: []Record{SnapshotRecord{t.s.Config}}})
	}
	for resource, hold := range t.s.Holds.All() {
		c, _ := t.s.Claims.Get(resource)
		if hold.Recorded && t.now.Sub(c.Read) > age {
			t.record(resource)
		}
	}
	t.keepItems(age)
}

// ranksFirst reports whether this entry does a shared duty of the zone. Two
// entries may both think so for a while; the duties allow it.
func (t *step) ranksFirst(duty string) bool {
	candidates := t.candidates()
	return len(candidates) > 0 && first(duty, candidates) == t.s.Self.ID
}

// pruneItems forgets items that ended long ago by the log's own time, so that
// all readers forget an item at the same place of the log.
func (t *step) pruneItems() {
	if t.logged.IsZero() {
		return
	}
	for _, id := range t.s.Ended.Due(t.logged.Add(-keepEnded)) {
		t.s.Ended = t.s.Ended.Without(id)
		t.s.Items = t.s.Items.Without(id)
	}
}

// keepItems repeats live items that were read long ago.
func (t *step) keepItems(age time.Duration) {
	var old []Item
	for id := range t.s.Live.All() {
		i, _ := t.s.Items.Get(id)
		if t.now.Sub(i.Kept) > age && t.ranksFirst(id) {
			old = append(old, i)
		}
	}
	slices.SortFunc(old, func(a, b Item) int { return cmp.Compare(a.Work.ID, b.Work.ID) })
	for _, i := range old {
		i.Kept = t.now
		t.s.Items = t.s.Items.With(i.Work.ID, i)
		t.emit(Append{Stream: ZoneStream(t.s.Self.Zone), Records: []Record{KeepRecord{i}}})
	}
}

var (
	_ Event = RecordsRead{}
	_ Event = ConfigHeard{}
)
