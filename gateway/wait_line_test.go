package gateway

import (
	"testing"

	"github.com/matryer/is"
)

func isFirst(t *waitTurn) bool {
	select {
	case <-t.isFirst:
		return true
	default:
		return false
	}
}

func TestWaitLineKeepsTheOrderOfArrival(t *testing.T) {
	is := is.New(t)
	l := newWaitLines()
	var turns []*waitTurn
	for range maxLineLength {
		turn, ok := l.join("desk")
		is.True(ok)
		turns = append(turns, turn)
	}
	_, ok := l.join("desk")
	is.True(!ok) // the line is full
	other, ok := l.join("store")
	is.True(ok)
	is.True(isFirst(other))
	is.True(isFirst(turns[0]))
	is.True(!isFirst(turns[1]))
	l.leave(turns[1]) // its caller left
	l.leave(turns[0])
	is.True(!isFirst(turns[1]))
	is.True(isFirst(turns[2]))
	is.True(!isFirst(turns[3]))
	is.True(l.hasWaiters("desk"))
	for _, turn := range turns[2:] {
		l.leave(turn)
	}
	is.True(!l.hasWaiters("desk"))
	is.True(l.hasWaiters("store"))
	l.leave(other)
	is.Equal(l.count.Load(), int64(0))
}
