package intake

import (
	"testing"

	"github.com/matryer/is"
)

func TestConnectionOfAnInstanceMakesWayBetweenCallsOnly(t *testing.T) {
	is := is.New(t)
	var c Calls
	c.Read(40, 4096)
	is.Equal(c.Stage(), Idle)
	c.SetInCall(true)
	is.Equal(c.Stage(), Working)
	for range 4 { // a part of a large message
		c.Read(FreeMessage, 64<<10)
	}
	is.Equal(c.Stage(), Arriving)
	is.True(c.Cost() >= 4*FreeMessage)
	c.EndMessage()
	is.Equal(c.Stage(), Working)
	c.SetInCall(false)
	is.Equal(c.Stage(), Idle)
	c.SetQueued(1 << 20)
	is.Equal(c.Stage(), Arriving)
}

// Guards against large buffers that connections keep without being charged.
func TestLargeMessageIsChargedUntilSmallOnesHaveCome(t *testing.T) {
	is := is.New(t)
	var c Calls
	c.SetInCall(true)
	for range 100 {
		c.Read(FreeMessage, 4096)
	}
	c.EndMessage()
	is.True(c.Cost() >= 100*FreeMessage)
	is.Equal(c.Stage(), Arriving)
	for range keptMessages {
		c.Read(100, 4096)
		c.EndMessage()
	}
	is.Equal(c.Cost(), int64(0))
	is.Equal(c.Stage(), Working)
	c.Read(100, 4<<20) // a frame of this size keeps its buffer
	c.EndMessage()
	is.Equal(c.Stage(), Arriving)
}
