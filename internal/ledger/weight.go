package ledger

// Estimates of what a job takes in the memory of an entry, in bytes: the job itself and its places in tables, a step, a
// step of an occurrence in progress with its place among those that wait, a task, an occurrence.
const (
	jobWeight        = 1 << 10
	stepWeight       = 192
	activeStepWeight = 512
	taskWeight       = 72
	roundWeight      = 32
)

// Weight returns about how many bytes of memory the job takes in an entry, with its progress. A body of a few bytes may
// ask for many tasks.
func (j Job) Weight() int64 {
	weight, round := jobWeight+len(j.Spec), 0
	for _, s := range j.Steps {
		weight += stepWeight + len(s.RequiredLabel) + len(s.Rack) + len(s.Image) + 8*len(s.After)
		round += activeStepWeight + taskWeight*s.Count
	}
	return int64(weight + roundWeight*j.Rounds() + round*min(j.Rounds(), j.MaxRoundsInProgress()))
}
