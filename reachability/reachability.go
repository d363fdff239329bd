// Package reachability decides whether backend servers that an instance can't reach have failed, or the
// instance itself is cut off from the servers.
//
// An instance that fails to reach a server samples others. The sample tells on which side the fault is near:
// an instance that reaches none of them says nothing about servers. What it does say is weighed by the
// control instances against the answers that other instances get (Doubts).
package reachability

import "time"

// Sample is the outcome of attempts to open connections to different servers at about the same time.
type Sample struct {
	Reached   int
	Unreached int
	// IsWhole means that the sample holds all known servers.
	IsWhole bool
}

const (
	// SampleSize is the number of servers that are sampled beside the one that wasn't reached.
	SampleSize = 5
	// RecheckSize is the number of servers that are sampled where none is known to be out of reach.
	RecheckSize = 3
	// minUnreached is the number of servers that must be out of reach before an instance counts as cut
	// off, unless there are fewer.
	minUnreached = 3
	// cutOffRatio is by how many times more servers must be out of reach than reached.
	cutOffRatio = 4
)

// IsCutOff reports whether the sample shows that the instance reaches hardly any server. A single server that is
// out of reach shows nothing.
func (s Sample) IsCutOff() bool {
	return s.Unreached >= max(minUnreached, cutOffRatio*s.Reached) || s.IsWhole && s.Reached == 0 && s.Unreached > 1
}

// Blame is what the instance may say about a server that it hasn't reached.
type Blame int

const (
	// BlameNone means that the fault may be near the instance.
	BlameNone Blame = iota
	// BlamePresumed means that the server may have failed, but so may a part of the instance's links: a
	// refused connection doesn't show that a server has crashed.
	BlamePresumed
	// BlameCertain means that the fault is the server's.
	BlameCertain
)

// Blame returns what the sample, which includes a server that wasn't reached, allows to say about it. If no
// other server is known, there is nothing to compare with, and the server is to blame.
func (s Sample) Blame() Blame {
	switch {
	case s.IsWhole && s.Reached+s.Unreached <= 1:
		return BlameCertain
	case s.Reached == 0 || s.IsCutOff():
		return BlameNone
	case s.Reached > s.Unreached:
		return BlameCertain
	default:
		return BlamePresumed
	}
}

// Observer tracks whether an instance is cut off from the servers of a service. It is not safe for concurrent use.
type Observer struct {
	isCutOff bool
	since    time.Time // of the last change
}

// Add records a sample and reports whether it changes the state. One sample that shows a cut starts it; it ends
// when most of a sample are reached.
func (o *Observer) Add(now time.Time, s Sample) (changed bool) {
	isCutOff := o.isCutOff
	switch {
	case s.IsCutOff():
		isCutOff = true
	case s.Reached > s.Unreached:
		isCutOff = false
	}
	if isCutOff == o.isCutOff {
		return false
	}
	o.isCutOff, o.since = isCutOff, now
	return true
}

// IsCutOff reports whether the instance is cut off.
func (o *Observer) IsCutOff() bool { return o.isCutOff }

// Since returns when the instance was cut off or connected again; the zero time if it never was cut off.
func (o *Observer) Since() time.Time { return o.since }
