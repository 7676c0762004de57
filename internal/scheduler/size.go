package scheduler

// Size is an amount of a worker's resources.
type Size struct {
	CPU          int64 `json:"cpu" yaml:"cpu"`                   // thousandths of a core
	Memory       int64 `json:"memory" yaml:"memory"`             // MiB
	Accelerators int64 `json:"accelerators" yaml:"accelerators"` // whole devices
}

// Plus returns the sum of two sizes.
func (z Size) Plus(o Size) Size {
	return Size{z.CPU + o.CPU, z.Memory + o.Memory, z.Accelerators + o.Accelerators}
}

// Minus returns the difference of two sizes.
func (z Size) Minus(o Size) Size {
	return Size{z.CPU - o.CPU, z.Memory - o.Memory, z.Accelerators - o.Accelerators}
}

// Fits reports whether z fits into room in every dimension.
func (z Size) Fits(room Size) bool {
	return z.CPU <= room.CPU && z.Memory <= room.Memory && z.Accelerators <= room.Accelerators
}

// Valid reports whether no dimension is negative and at least one is positive.
func (z Size) Valid() bool {
	return z.CPU >= 0 && z.Memory >= 0 && z.Accelerators >= 0 && z != Size{}
}
