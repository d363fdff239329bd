package route

import "time"

// Link is the way between two data centres.
type Link struct {
	// Delay is the one-way delay.
	Delay time.Duration
	// BytesPerSecond is the bandwidth; 0 means that it doesn't limit.
	BytesPerSecond int
}

// DefaultLink is assumed between two data centres without a Link.
var DefaultLink = Link{Delay: 500 * time.Microsecond}

// Ends names the two data centres of a link, in either order.
type Ends struct {
	A, B string
}

// Links gives the link between each two data centres.
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

// carry returns the time that the link takes for a message.
func (l Link) carry(bytes int) time.Duration {
	if l.BytesPerSecond == 0 {
		return l.Delay
	}
	return l.Delay + time.Duration(bytes)*time.Second/time.Duration(l.BytesPerSecond)
}
