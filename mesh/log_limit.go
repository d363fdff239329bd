package mesh

import "time"

// maxLinesPerSecond bounds the lines of one kind that an instance logs when the states of many servers change at once.
const maxLinesPerSecond = 8

// logLimit bounds the lines of one kind. It is not safe for concurrent use.
type logLimit struct {
	began          time.Time // of the current second
	lines, leftOut int
}

// begin begins a new second if the current one is over. It returns how many lines were left out in that.
func (l *logLimit) begin(now time.Time) (leftOut int) {
	if now.Sub(l.began) < time.Second {
		return 0
	}
	leftOut = l.leftOut
	*l = logLimit{began: now}
	return leftOut
}

// allows counts a line and reports whether it may be logged.
func (l *logLimit) allows() bool {
	if l.lines >= maxLinesPerSecond {
		l.leftOut++
		return false
	}
	l.lines++
	return true
}

// cutOffShare is how many of the gateways that watch a control instance are cut off from all backend servers.
type cutOffShare int

const (
	cutOffNone cutOffShare = iota
	cutOffSome
	cutOffMost
)

// newCutOffShare returns the share. It stays what it was while it is near one half, since each gateway that connects
// changes it.
func newCutOffShare(before cutOffShare, cutOff, gateways int) cutOffShare {
	switch {
	case cutOff == 0:
		return cutOffNone
	case 4*cutOff >= 3*gateways:
		return cutOffMost
	case before == cutOffMost && 4*cutOff > gateways:
		return cutOffMost
	default:
		return cutOffSome
	}
}
