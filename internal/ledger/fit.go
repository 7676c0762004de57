package ledger

import "fmt"

// CheckFit returns an error if a task of the job needs more than the workspace may ever use.
func (w Workspace) CheckFit(j Job) error {
	for i, s := range j.Steps {
		for _, r := range [...]struct {
			name           string
			request, limit int64
		}{
			{"cpu", s.Request.CPU, w.Cap.CPU}, {"mem_mb", s.Request.Memory, w.Cap.Memory}, {"gpu", s.Request.GPU, w.Cap.GPU},
		} {
			if r.limit > 0 && r.request > r.limit {
				return fmt.Errorf("steps[%d]: a task needs %s %d, the cap of its workspace is %d", i, r.name, r.request, r.limit)
			}
		}
	}
	return nil
}
