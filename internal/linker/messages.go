package linker

import (
	"time"

	"github.com/endivelock/endivelock/internal/keeper"
	"github.com/endivelock/endivelock/internal/leader"
	"github.com/endivelock/endivelock/internal/ledger"
)

// Methods of the protocol.
const (
	methodHello  = "hello"
	methodPing   = "ping"
	methodState  = "state"
	methodWrite  = "write"
	methodAdvise = "advise"
	methodResign = "resign"
	methodLead   = "lead"
	methodAppend = "append"
	methodTell   = "tell"
	methodCounts = "counts"
	methodDo     = "commands"
	methodEvents = "reports"
)

type helloMessage struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Epoch   int64  `json:"epoch"` // epoch with which the sender takes the receiver to lead
	// Strength is the sender's share of a processor.
	Strength float64 `json:"strength"`
	Zone     string  `json:"zone,omitempty"`
	ReadsLog bool    `json:"log,omitempty"` // whether the log has answered the sender lately
	// Follows says that the sender calls no workers as a leader of an earlier epoch.
	Follows bool `json:"follows,omitempty"`
}

type pingMessage struct {
	Version  int64 `json:"version,omitempty"` // version of the linked entries that the sender knows
	ReadsLog bool  `json:"log,omitempty"`     // whether the log has answered the sender lately
}

// pongMessage is the answer to a ping. Only a leader sets the fields but Lead.
type pongMessage struct {
	Standby   *bool               `json:"standby,omitempty"`   // whether the entry is to be able to take over
	Version   int64               `json:"version,omitempty"`   // rises with each change of the linked entries
	Peers     map[string]string   `json:"peers,omitempty"`     // addresses of the linked entries by name, if the version has changed
	Strongest float64             `json:"strongest,omitempty"` // largest strength of the linked entries and the leader
	ReadsLog  bool                `json:"log,omitempty"`       // whether the log has answered the leader lately
	Lead      keeper.LeaderRecord `json:"lead"`                // who leads, as the answering entry knows it
}

type helloAnswer struct {
	Leading bool `json:"leading"` // whether the receiver leads with the epoch of the hello or a later one
	Standby bool `json:"standby,omitempty"`
}

type stateMessage struct {
	Job ledger.ID `json:"job"`
}

type stateAnswer struct {
	State ledger.State `json:"state,omitempty"` // empty if there is no such job
	Epoch int64        `json:"epoch"`
}

type countsAnswer struct {
	Waiting map[string]int `json:"waiting"` // jobs that have not begun, by queue
}

type writeMessage struct {
	Name  string        `json:"name"`
	Data  []byte        `json:"data"`
	Claim *claimMessage `json:"claim,omitempty"` // of a job
}

// claimMessage is a ledger.Claim.
type claimMessage struct {
	Workspace string        `json:"workspace,omitempty"`
	Priority  int           `json:"priority,omitempty"`
	Chain     time.Duration `json:"chain,omitempty"`
	Limit     time.Duration `json:"limit,omitempty"`
	Weight    int64         `json:"weight,omitempty"`
}

// refusal is the data of the error of a write that was refused for the workspace's share.
type refusal struct {
	RetryAfter time.Duration `json:"after"`
}

// writeFailure is the data of the error of a write.
type writeFailure struct {
	Waiting bool `json:"waiting"` // the log has not answered the leader yet
}

type adviseMessage struct {
	Step    string   `json:"step"`
	Workers []string `json:"workers"`
}

type adviseAnswer struct {
	Permits []leader.Permit `json:"permits"`
	Valid   time.Duration   `json:"valid"`
}

// Codes of errors between entries.
const (
	codeNotLeading = 1 // the entry does not lead
	codeNotDone    = 2 // the call was not carried out
	codeUnknown    = 3 // the call may have been carried out
	codeCongested  = 4 // the call was not carried out, since too much waits for the log
	codeBeyond     = 5 // the call was not carried out, since the workspace has used up its share
)
