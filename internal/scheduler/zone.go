package scheduler

// Zone names an availability zone. Capacity of a zone is only ever owned by
// entries of that zone.
type Zone string
