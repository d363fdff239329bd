// Package loglimit bounds the log lines of one kind.
package loglimit

import "time"

// Limit allows a number of lines in each interval. It is not safe for concurrent use.
type Limit struct {
	Lines    int
	Interval time.Duration

	began          time.Duration // of the current interval
	lines, leftOut int
}

// Begin begins a new interval if the current one is over, and returns how many lines were left out in that. now is a time
// of any clock that doesn't go back.
func (l *Limit) Begin(now time.Duration) (leftOut int) {
	if now-l.began < l.Interval {
		return 0
	}
	leftOut = l.leftOut
	l.began, l.lines, l.leftOut = now, 0, 0
	return leftOut
}

// Allows counts a line and reports whether it may be logged.
func (l *Limit) Allows() bool {
	if l.lines >= l.Lines {
		l.leftOut++
		return false
	}
	l.lines++
	return true
}
