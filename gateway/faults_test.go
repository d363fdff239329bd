package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestUnresponsiveServerIsExcludedUntilRecoveredOrRestarted(t *testing.T) {
	is := is.New(t)
	f := newServerFaults()
	now := time.Unix(1000, 0)
	known := func(string) bool { return true }
	silent := func(string) bool { return true }
	announced := func(string) bool { return false }
	is.True(f.markUnresponsive(now, "a", observedHere))
	is.True(!f.markUnresponsive(now, "a", observedHere)) // already known
	is.True(f.isExcluded(now, "a"))
	is.Equal(f.listUnresponsive(now, announced, known), []string{"a"})

	later := now.Add(unresponsiveFor)
	is.True(!f.isExcluded(later, "a"))
	is.Equal(f.listUnresponsive(later, announced, known), nil)
	is.Equal(f.listUnresponsive(later, silent, known), []string{"a"}) // silent, so it stays excluded
	is.True(f.isUnrecovered("a"))
	f.markRecovered("a")
	is.True(!f.isUnrecovered("a"))

	f.markUnresponsive(now, "b", observedHere)
	f.reset("b")
	is.True(!f.isExcluded(now, "b"))
	is.True(!f.isUnrecovered("b"))
}

func TestRefusingServerIsExcludedForAShortTime(t *testing.T) {
	is := is.New(t)
	f := newServerFaults()
	now := time.Unix(1000, 0)
	f.markRefusing(now, "a", refusalFor)
	is.True(f.isExcluded(now, "a"))
	is.True(!f.isUnresponsive(now, "a"))
	is.True(!f.isExcluded(now.Add(refusalFor), "a"))
}

func TestFaultsOfRemovedServersAreDropped(t *testing.T) {
	is := is.New(t)
	f := newServerFaults()
	now := time.Unix(1000, 0)
	f.markUnresponsive(now, "a", observedHere)
	never := func(string) bool { return false }
	is.Equal(f.listUnresponsive(now.Add(unresponsiveFor), never, never), nil)
	is.True(!f.isUnrecovered("a"))
}

func TestUnresponsiveServerIsCheckedAtAnInterval(t *testing.T) {
	is := is.New(t)
	f := newServerFaults()
	now := time.Unix(1000, 0)
	f.markUnresponsive(now, "a", observedHere)
	f.markUnresponsive(now, "b", observedElsewhere)
	is.Equal(f.dueChecks(now), nil)
	now = now.Add(responsiveCheckInterval)
	is.Equal(f.dueChecks(now), []string{"a", "b"})
	is.Equal(f.dueChecks(now), nil)
	is.True(f.recordAnswer("a"))
	is.True(f.clearUnresponsive("a"))
	is.True(!f.clearUnresponsive("a"))
	is.True(!f.isExcluded(now, "a"))

	// Another server has not heard from this one, so an answer to this instance doesn't clear it.
	is.True(!f.recordAnswer("b"))
	is.True(f.isAnswering("b"))
	is.True(f.isExcluded(now, "b"))
	f.markUnresponsive(now, "b", observedElsewhere)
	is.True(!f.isAnswering("b"))
	is.True(f.clearUnresponsive("b"))
	is.Equal(f.dueChecks(now.Add(responsiveCheckInterval)), nil)
}
