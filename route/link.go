package route

import "time"

// Link describes the network link between two data centres.
type Link struct {
	// Delay is the one-way delay.
	Delay time.Duration
	// BytesPerSecond is the bandwidth; 0 means unlimited.
	BytesPerSecond int
}

// DefaultLink is assumed between two data centres for which no Link is configured.
var DefaultLink = Link{Delay: 500 * time.Microsecond}

// Ends names the two data centres of a link, in either order.
type Ends struct {
	A, B string
}

// Links holds the link between each pair of data centres.
type Links map[Ends]Link

func (l Links) between(a, b string) Link {
	if k, ok := l[Ends{A: a, B: b}]; ok {
		return k
	}
	if k, ok := l[Ends{A: b, B: a}]; ok {
		return k
	}
	if a == b {
		return Link{}
	}
	return DefaultLink
}

// transferTime returns the time that a message of the given size takes on the link.
func (l Link) transferTime(bytes int) time.Duration {
	if l.BytesPerSecond == 0 {
		return l.Delay
	}
	return l.Delay + time.Duration(bytes)*time.Second/time.Duration(l.BytesPerSecond)
}
