package instance

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// askAll plays a proposer whose control instances end each attempt after a time, and returns the attempts at each within
// 900 ms. One with no time doesn't answer.
func askAll(ends map[string]time.Duration, order []string, target string) map[string]int {
	a, now := newAttempts(), time.Unix(0, 0)
	asked, turn := map[string]int{}, 0
	for end := now.Add(900 * time.Millisecond); now.Before(end); now = now.Add(time.Millisecond) {
		for address, at := range a.open {
			if took := ends[address]; took > 0 && now.Sub(at) >= took {
				a.end(now, address, target)
			}
		}
		a.takeOverdue(now)
		if now.Before(a.next) {
			continue
		}
		for i := range order {
			if address := order[(turn+i)%len(order)]; !a.isOpen(address) {
				a.begin(now, address)
				asked[address]++
				turn++
				break
			}
		}
	}
	return asked
}

// Guards against proposers that take the time of control instances which elect a leader: some 35 calls a second each.
func TestProposersWithoutALeaderAskRarely(t *testing.T) {
	is := is.New(t)
	asked := askAll(map[string]time.Duration{"a": time.Millisecond, "b": time.Millisecond, "c": time.Millisecond}, []string{"a", "b", "c"}, "")
	is.True(asked["a"]+asked["b"]+asked["c"] <= 12)
	is.True(asked["a"] > 0 && asked["b"] > 0 && asked["c"] > 0)
}

// Guards against a late leader that is asked again and again, or whose followers are asked without a pause as they name it.
func TestLateLeaderIsAskedOnce(t *testing.T) {
	is := is.New(t)
	asked := askAll(map[string]time.Duration{"b": time.Millisecond, "c": time.Millisecond}, []string{"a", "b", "c"}, "a")
	is.Equal(asked["a"], 1)
	is.True(asked["b"]+asked["c"] >= 2 && asked["b"]+asked["c"] <= 8)
}
