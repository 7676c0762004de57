package editor

import (
	"fmt"

	"github.com/endivelock/endivelock/internal/scheduler"
)

// maxRows bounds the length of a list.
const maxRows = 10000

// maxNameBytes bounds the length of a name.
const maxNameBytes = 128

func checkName(kind, name string) error {
	if name == "" {
		return fmt.Errorf("%s has no name", kind)
	}
	if len(name) > maxNameBytes {
		return fmt.Errorf("name of %s has %d bytes, allowed are %d", kind, len(name), maxNameBytes)
	}
	return nil
}

func checkPlans(plans []scheduler.Plan) error {
	if len(plans) > maxRows {
		return fmt.Errorf("list of plans has more than %d rows", maxRows)
	}
	seen := map[string]bool{}
	for i, p := range plans {
		if err := checkName(fmt.Sprintf("plan %d", i), p.Name); err != nil {
			return err
		}
		if seen[p.Name] {
			return fmt.Errorf("plan %q is listed twice", p.Name)
		}
		if p.Weight < 0 {
			return fmt.Errorf("plan %q has weight %d, allowed are 0 and more", p.Name, p.Weight)
		}
		seen[p.Name] = true
	}
	return nil
}

func checkAllowances(allowances []scheduler.Allowance) error {
	if len(allowances) > maxRows {
		return fmt.Errorf("list of allowances has more than %d rows", maxRows)
	}
	seen := map[string]bool{}
	for i, a := range allowances {
		if err := checkName(fmt.Sprintf("plan of allowance %d", i), a.Plan); err != nil {
			return err
		}
		if seen[a.Plan] {
			return fmt.Errorf("plan %q has two allowances", a.Plan)
		}
		if a.Slots < 0 {
			return fmt.Errorf("allowance of plan %q has %d slots, allowed are 0 and more", a.Plan, a.Slots)
		}
		if a.Size != (scheduler.Size{}) && !a.Size.Valid() {
			return fmt.Errorf("allowance of plan %q has a negative size", a.Plan)
		}
		seen[a.Plan] = true
	}
	return nil
}

func checkMark(instance string, m scheduler.Mark) error {
	if err := checkName("instance", instance); err != nil {
		return err
	}
	switch m {
	case scheduler.MarkNone, scheduler.MarkLeave, scheduler.MarkStop:
		return nil
	}
	return fmt.Errorf("mark is %q, allowed are %q, %q and an empty one", m, scheduler.MarkLeave, scheduler.MarkStop)
}
