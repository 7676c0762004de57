package scheduler

// Record is one decoded record of the platform's log. Every reader of a stream
// sees the same records in the same order and applies them by the same rules.
type Record interface {
	record()
}

// ListRecord replaces one of the two lists. It is accepted only if Basis is
// the version of the list that precedes it in the log.
type ListRecord struct {
	List       ListName    `json:"list"`
	Basis      int64       `json:"basis"`
	Nonce      string      `json:"nonce"`
	Plans      []Plan      `json:"plans,omitempty"`
	Allowances []Allowance `json:"allowances,omitempty"`
	By         string      `json:"by"`
}

// MarkRecord sets the mark of one instance. The last one in the log is in force.
type MarkRecord struct {
	Instance string `json:"instance"`
	Mark     Mark   `json:"mark"`
	Nonce    string `json:"nonce"`
	By       string `json:"by"`
}

// SnapshotRecord repeats the whole configuration before the records that set
// it are trimmed.
type SnapshotRecord struct {
	Config Config `json:"config"`
}

// ClaimRecord records the owner of one resource. It is accepted if Basis is the
// epoch of the claim that precedes it, or if Held is set and the reader cannot
// have seen that claim because it was trimmed.
type ClaimRecord struct {
	Resource   string    `json:"resource"`
	Owner      EntryID   `json:"owner"`
	Basis      int64     `json:"basis"`
	Successors []EntryID `json:"line"`
	Displaced  []EntryID `json:"over,omitempty"`
	Held       bool      `json:"sure,omitempty"`  // the writer already acts as the owner
	Acquire    bool      `json:"found,omitempty"` // ownership begins only when the record is read back
}

// SubmitRecord adds a work item. Only the first one with an ID has an effect.
type SubmitRecord struct {
	Work Work `json:"work"`
}

// StartRecord places a pending item. It is accepted if the item is pending with
// attempt number Attempt, By is the recorded owner of every worker named, and
// the plan's use in the zone together with the item is within Limit.
type StartRecord struct {
	Item    string      `json:"item"`
	Attempt int         `json:"attempt"`
	By      EntryID     `json:"by"`
	Limit   Size        `json:"limit"` // the zone's share of the plan's allowance
	Placed  []Placement `json:"placed"`
}

// End is how a task ended.
type End string

// Ends of a task.
const (
	EndSucceeded End = "well"   // it reported success
	EndFailed    End = "failed" // it reported failure
	EndLost      End = "lost"   // its lease expired without a report
	EndHalted    End = "halted" // it was halted on request or at the end of its lease
	EndUnused    End = "unused" // it was never started
)

// FinishRecord ends one task of an item.
type FinishRecord struct {
	Item string `json:"item"`
	Task string `json:"task"`
	End  End    `json:"end"`
	Why  string `json:"why,omitempty"`
}

// CancelRecord cancels an item that has not ended.
type CancelRecord struct {
	Item string `json:"item"`
}

// ItemSnapshotRecord repeats a live item before its records are trimmed. It has an
// effect only for a reader that does not know the item.
type ItemSnapshotRecord struct {
	Item Item `json:"item"`
}

func (ListRecord) record()         {}
func (MarkRecord) record()         {}
func (SnapshotRecord) record()     {}
func (ClaimRecord) record()        {}
func (SubmitRecord) record()       {}
func (StartRecord) record()        {}
func (FinishRecord) record()       {}
func (CancelRecord) record()       {}
func (ItemSnapshotRecord) record() {}

var (
	_ Record = ListRecord{}
	_ Record = MarkRecord{}
	_ Record = SnapshotRecord{}
	_ Record = ClaimRecord{}
	_ Record = SubmitRecord{}
	_ Record = StartRecord{}
	_ Record = FinishRecord{}
	_ Record = CancelRecord{}
	_ Record = ItemSnapshotRecord{}
)

// ConfigStream is the stream that holds the two lists and the marks.
const ConfigStream = "config"

// ZoneStream names the stream of a zone: ownership and the ledger of items.
func ZoneStream(z Zone) string {
	return "zone-" + string(z)
}
