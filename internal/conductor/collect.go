package conductor

import "runtime/debug"

const (
	// leadingGCPercent is the garbage collector's target while this entry leads, in
	// percent of the live heap. Each decision leaves the values that it replaced behind,
	// and a leader's processor is scarcer than its memory.
	leadingGCPercent = 300
	// followingGCPercent is the target otherwise, which is the runtime's default.
	followingGCPercent = 100
	// heapLimit is the size in bytes of the process beyond which garbage is collected
	// more often, whatever the target.
	heapLimit = 200 << 20
)

// setCollector sets the garbage collector's targets for a process that leads, or that
// does not.
func setCollector(leading bool) {
	debug.SetMemoryLimit(heapLimit)
	if leading {
		debug.SetGCPercent(leadingGCPercent)
		return
	}
	debug.SetGCPercent(followingGCPercent)
}
