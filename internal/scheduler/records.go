package scheduler

import (
	"cmp"
	"slices"
	"time"
)

// refreshesPerRetention is how often a record that is still in force is repeated
// within the log's retention.
const refreshesPerRetention = 3

// endedItemRetention is how long an ended item is kept. Until then, a repeated
// submission under the same ID starts nothing.
const endedItemRetention = 5 * time.Minute

// refreshChecksPerRetention is how often an entry looks for records to repeat
// within the log's retention.
const refreshChecksPerRetention = 100

// ReadRecord is a record at its offset in a stream. Records written by one
// append have the same offset.
type ReadRecord struct {
	Offset int64
	At     time.Time // when the log took it, the same for every reader
	Record Record
}

// RecordsRead reports the records read from a stream of the log, in order.
type RecordsRead struct {
	Stream  string
	First   int64 // oldest offset in the log
	Next    int64 // offset after the last one read
	Records []ReadRecord
	Tail    bool // the read reached the end of the stream
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
	t.dispatchQueue()
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
		t.s.ConfigRefreshed = t.now
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

// setConfig puts a configuration in force unless it is older than the present
// one.
func (t *step) setConfig(c Config) {
	if c.Offset < t.s.Config.Offset {
		return
	}
	before := t.s.Config.Marks
	t.s.Config = c
	t.s.ConfigRefreshed = t.now
	t.rerankMarked(before)
	t.rerankMarked(c.Marks)
}

// ConfigReceived reports the configuration of a peer. It has an effect only if it is
// newer than that of this entry.
type ConfigReceived struct {
	Config Config
}

func (e ConfigReceived) apply(t *step) {
	if e.Config.Offset <= t.s.Config.Offset {
		return
	}
	t.setConfig(e.Config)
	t.s.ConfigNext = max(t.s.ConfigNext, e.Config.Offset+1)
	t.dispatchQueue()
}

func (t *step) readZone(e RecordsRead) {
	if t.s.Applied < e.First {
		t.s.First = e.First
	}
	for _, r := range e.Records {
		if r.Offset >= t.s.Applied {
			t.logTime = r.At
			t.pruneItems()
			t.applyZone(r)
		}
	}
	t.s.Applied = max(t.s.Applied, e.Next)
	t.s.ZoneRead = t.s.ZoneRead || e.Tail
	t.dispatchQueue()
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
	case ItemSnapshotRecord:
		t.applyItemSnapshot(record)
	}
}

// refreshRecords repeats records before the log trims them: ownership by the
// owner, the configuration and live items by the entry of the zone that ranks
// first for them.
func (t *step) refreshRecords() {
	t.s.RefreshChecked = t.now
	age := t.s.Policy.Retention / refreshesPerRetention
	if t.s.Config.Offset > 0 && t.now.Sub(t.s.ConfigRefreshed) > age && t.ranksFirst(ConfigStream) {
		t.s.ConfigRefreshed = t.now
		t.emit(Append{Stream: ConfigStream, Records: []Record{SnapshotRecord{t.s.Config}}})
	}
	for resource, hold := range t.s.Holds.All() {
		c, _ := t.s.Claims.Get(resource)
		if hold.Recorded && t.now.Sub(c.ReadAt) > age {
			t.recordOwnership(resource)
		}
	}
	t.refreshItems(age)
}

// ranksFirst reports whether this entry is responsible for a shared duty of the
// zone. Two entries may be for a while; the duties tolerate that.
func (t *step) ranksFirst(duty string) bool {
	candidates := t.candidates()
	return len(candidates) > 0 && first(duty, candidates) == t.s.Self.ID
}

// pruneItems removes items that ended more than endedItemRetention ago by the
// log's time, so that all readers remove an item at the same place in the log.
func (t *step) pruneItems() {
	if t.logTime.IsZero() {
		return
	}
	for _, id := range t.s.Ended.Due(t.logTime.Add(-endedItemRetention)) {
		t.s.Ended = t.s.Ended.Without(id)
		t.s.Items = t.s.Items.Without(id)
	}
}

// refreshItems repeats live items that were last read or repeated longer ago than
// age.
func (t *step) refreshItems(age time.Duration) {
	var old []Item
	for id := range t.s.Live.All() {
		i, _ := t.s.Items.Get(id)
		if t.now.Sub(i.LastLogged) > age && t.ranksFirst(id) {
			old = append(old, i)
		}
	}
	slices.SortFunc(old, func(a, b Item) int { return cmp.Compare(a.Work.ID, b.Work.ID) })
	for _, i := range old {
		i.LastLogged = t.now
		t.s.Items = t.s.Items.With(i.Work.ID, i)
		t.emit(Append{Stream: ZoneStream(t.s.Self.Zone), Records: []Record{ItemSnapshotRecord{i}}})
	}
}

var (
	_ Event = RecordsRead{}
	_ Event = ConfigReceived{}
)
