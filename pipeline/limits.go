package pipeline

import "time"

// Limits bound how long a Stream waits and how often it repairs.
type Limits struct {
	// Silence is the time without any frame after which a connection is given up.
	Silence time.Duration
	// Stall is the least time without progress, while all connections are alive, after which
	// the chain is started again.
	Stall time.Duration
	// FirstStall is the same before the first token, which may wait in queues.
	FirstStall time.Duration
	// Repairs bounds the attempts after the first.
	Repairs int
	// Resumes bounds the new connections to one server in one attempt.
	Resumes int
}

// DefaultLimits are the limits in use.
func DefaultLimits() Limits {
	return Limits{
		Silence:    700 * time.Millisecond,
		Stall:      time.Second,
		FirstStall: 10 * time.Second,
		Repairs:    12,
		Resumes:    4,
	}
}

const (
	// stallGaps is how many usual gaps between tokens make a stall.
	stallGaps = 12
	// maxStallDoublings bounds how often the time of a stall doubles without a token.
	maxStallDoublings = 4
)
