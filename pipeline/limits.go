package pipeline

import "time"

// Limits bound how long a Stream waits and how often it repairs its chain.
type Limits struct {
	// SilenceTimeout is the time without a frame after which a connection is given up.
	SilenceTimeout time.Duration
	// StallTimeout is the shortest time without progress, while all connections are alive, after
	// which the chain counts as stalled.
	StallTimeout time.Duration
	// FirstStallTimeout replaces StallTimeout before the first token, which may wait in queues, and
	// while a KV cache is rebuilt.
	FirstStallTimeout time.Duration
	// MaxRepairs bounds the attempts after the first one.
	MaxRepairs int
	// MaxResumes bounds the reconnections to one server between two tokens of an attempt.
	MaxResumes int
}

// DefaultLimits returns the limits that the dispatcher uses.
func DefaultLimits() Limits {
	return Limits{
		SilenceTimeout:    700 * time.Millisecond,
		StallTimeout:      time.Second,
		FirstStallTimeout: 10 * time.Second,
		MaxRepairs:        12,
		MaxResumes:        4,
	}
}

const (
	// stallGaps is the number of average gaps between tokens after which the chain counts as
	// stalled.
	stallGaps = 12
	// maxStallDoublings bounds how often the stall timeout doubles while no token arrives.
	maxStallDoublings = 4
)
