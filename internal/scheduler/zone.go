package scheduler

// Zone is the name of an availability zone. The capacity of a zone is owned only
// by entries of that zone.
type Zone string
