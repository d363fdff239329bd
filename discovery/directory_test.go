package discovery

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1_000_000, 0)

func at(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

func beat(id string, incarnation int64, sequence uint64) Announcement {
	return Announcement{
		ID: id, Incarnation: incarnation, Sequence: sequence, Service: "advice",
		Address: "10.0.0.1:80", State: StateReady,
	}
}

func stateOf(t *testing.T, d *Directory, id string) State {
	t.Helper()
	a, ok := d.Get(id)
	if !ok {
		t.Fatalf("%s is not known", id)
	}
	return a.State
}

func TestLateAnnouncementsChangeNothing(t *testing.T) {
	is := is.New(t)
	d := NewDirectory("self")
	d.Announce(at(0), beat("a", 1, 5))
	late := beat("a", 1, 4)
	late.State = StateDraining
	is.True(!d.Announce(at(1), late))
	is.Equal(stateOf(t, d, "a"), StateReady)
	earlier := beat("a", 0, 900)
	earlier.State = StateDraining
	is.True(!d.Announce(at(1), earlier)) // of the start before
	is.Equal(stateOf(t, d, "a"), StateReady)
}

func TestServerThatLeftComesBackOnlyAsALaterStart(t *testing.T) {
	is := is.New(t)
	d := NewDirectory("self")
	d.Announce(at(0), beat("a", 1, 1))
	is.True(d.Leave(at(1), "a"))
	is.True(!d.Leave(at(1), "a"))
	d.Announce(at(2), beat("a", 1, 3)) // was delayed on its way
	is.Equal(stateOf(t, d, "a"), StateLeft)
	is.True(d.Announce(at(3), beat("a", 2, 1)))
	is.Equal(stateOf(t, d, "a"), StateReady)
}

func TestAddressBelongsToTheLatestStart(t *testing.T) {
	is := is.New(t)
	d := NewDirectory("self")
	d.Announce(at(0), beat("old", 1, 1))
	is.True(d.Announce(at(1), beat("new", 2, 1)))
	is.Equal(stateOf(t, d, "old"), StateLeft)
	// A heartbeat that was delayed by a partition arrives after its sender has crashed.
	is.True(!d.Announce(at(2), beat("older", 0, 7)))
	_, known := d.Get("older")
	is.True(!known)
	is.Equal(stateOf(t, d, "new"), StateReady)
}

func TestOnlyTheInstanceThatHeardLastExpiresAServer(t *testing.T) {
	is := is.New(t)
	first, second := NewDirectory("first"), NewDirectory("second")
	first.Announce(at(0), beat("a", 1, 1))
	tell(first, second, at(0))
	is.True(second.Announce(at(1), beat("a", 1, 2))) // the others must learn that it changed over
	tell(second, first, at(1))
	is.Equal(first.Expire(at(9), at(5), everyone), nil)
	is.Equal(second.Expire(at(9), at(5), everyone), []string{"a"})
	tell(second, first, at(9))
	is.Equal(stateOf(t, first, "a"), StateSilent)
	is.True(first.Announce(at(10), beat("a", 1, 3))) // it was only cut off
	is.Equal(stateOf(t, first, "a"), StateReady)
}

// everyone is reached.
func everyone(string) bool { return true }

func tell(from, to *Directory, now time.Time) {
	for _, a := range from.All() {
		to.Merge(now, a)
	}
}

func TestOnlyChangesAreTold(t *testing.T) {
	is := is.New(t)
	d := NewDirectory("self")
	d.Announce(at(0), beat("a", 1, 1))
	seen := d.Revision()
	is.True(!d.Announce(at(1), beat("a", 1, 2)))
	is.Equal(len(d.Since(seen)), 0)
	draining := beat("a", 1, 3)
	draining.State = StateDraining
	is.True(d.Announce(at(2), draining))
	is.Equal(len(d.Since(seen)), 1)
}

func TestServersThatHaveGoneAreForgotten(t *testing.T) {
	is := is.New(t)
	d := NewDirectory("self")
	d.Announce(at(0), beat("a", 1, 1))
	d.Leave(at(1), "a")
	d.Expire(at(30), at(25), everyone)
	is.Equal(len(d.All()), 1)
	d.Expire(at(120), at(115), everyone)
	is.Equal(len(d.All()), 0)
}
