package admission

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// overloads are loads from which the system has to recover. Callers state up to 15 % less than the time limit.
var overloads = []load{
	{name: "a tenth of the servers gone for 5 s", rate: steady(1), room: roomBetween(5, 10, 0.9)},
	{name: "a wave of returning callers", rate: steady(0.85), room: roomBetween(5, 8, 0.1)},
	{name: "4 x for 20 s", rate: func(_ int, at time.Duration) float64 {
		if during(at, 5, 25) {
			return 4
		}
		return 0.7
	}, length: 30 * time.Second},
	{name: "one slow sort of cards", rate: steady(0.8), change: func(c *call, random *rand.Rand) {
		if random.IntN(3) == 0 {
			c.pace = 3
		}
	}},
}

func roomBetween(from, to int, part float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if during(at, from, to) {
			return part
		}
		return 1
	}
}

// goodputOf plays an overload at 8 instances with callers that differ in patience, and compares what it earned with a
// clairvoyant order. In plain services all calls have one rank.
func goodputOf(t *testing.T, name string, isPlain bool) float64 {
	i := slices.IndexFunc(overloads, func(l load) bool { return l.name == name })
	l := overloads[i]
	l.instances, l.slots, l.lag, l.impatience = 8, 60, 250*time.Millisecond, 0.15
	l.change = func(c *call, random *rand.Rand) {
		if change := overloads[i].change; change != nil {
			change(c, random)
		}
		if isPlain {
			c.rank = 0
		}
	}
	_, calls := l.play(1)
	goodput := earned(calls) / l.clairvoyant(calls, false)
	t.Logf("%s, plain %t: goodput %.3f", name, isPlain, goodput)
	return goodput
}

func TestGoodputWithATenthOfTheServersGoneForFiveSeconds(t *testing.T) {
	is := is.New(t)
	is.True(goodputOf(t, "a tenth of the servers gone for 5 s", false) >= 0.9)
	is.True(goodputOf(t, "a tenth of the servers gone for 5 s", true) >= 0.9)
}

func TestGoodputInAWaveOfReturningImpatientCallers(t *testing.T) {
	is := is.New(t)
	is.True(goodputOf(t, "a wave of returning callers", false) >= 0.9)
	is.True(goodputOf(t, "a wave of returning callers", true) >= 0.9)
}

func TestGoodputOfARankedServiceWithOneSlowSortOfCards(t *testing.T) {
	is.New(t).True(goodputOf(t, "one slow sort of cards", false) >= 0.9)
}

// In KNOWN-RED.txt.
func TestGoodputOfAPlainServiceWithOneSlowSortOfCards(t *testing.T) {
	is.New(t).True(goodputOf(t, "one slow sort of cards", true) >= 0.9)
}

// In KNOWN-RED.txt.
func TestGoodputAtFourTimesTheRoomForTwentySeconds(t *testing.T) {
	ranked, plain := goodputOf(t, "4 x for 20 s", false), goodputOf(t, "4 x for 20 s", true)
	is.New(t).True(ranked >= 0.9 && plain >= 0.9)
}
