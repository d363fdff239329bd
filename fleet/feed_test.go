package fleet

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

var update = flag.Bool("update", false, "write the golden files")

// TestFeedSession announces servers to one instance, and records what each heartbeat carries to
// another instance and which servers are available there.
func TestFeedSession(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	var out strings.Builder
	from, to := NewRegistry(), NewRegistry()
	feed, follower := NewFeed(), NewFollower()
	announce := func(name string, incarnation, sequence uint64, running int, leaving bool) {
		s := BackendServer{
			Name: name, Incarnation: incarnation, Sequence: sequence, Address: "127.0.2.100:9000",
			Leaving: leaving, Load: Load{Running: running},
		}
		urgent, err := from.Announce(now, s, lease)
		fmt.Fprintf(&out, "%6s  announced %s %d/%d running %d leaving %t: urgent %t, error %v\n",
			now.Sub(time.Unix(0, 0)), name, incarnation, sequence, running, leaving, urgent, err)
	}
	sendHeartbeat := func() {
		u := feed.Next(now, from.Direct(now))
		fmt.Fprintf(&out, "%6s  beat: remaining %v", now.Sub(time.Unix(0, 0)), u.Remaining)
		for _, d := range u.Described {
			fmt.Fprintf(&out, ", slot %d is %s %d/%d leaving %t", d.Slot, d.Server.Name, d.Server.Incarnation, d.Server.Sequence, d.Server.Leaving)
		}
		for _, l := range u.Loads {
			fmt.Fprintf(&out, ", slot %d runs %d", l.Slot, l.Load.Running)
		}
		is.NoErr(follower.Apply(now, now, u, to))
		out.WriteString("; available")
		for _, s := range to.Available(now) {
			fmt.Fprintf(&out, " %s running %d", s.Name, s.Load.Running)
		}
		out.WriteString("\n")
	}
	step := func(ms int) { now = now.Add(time.Duration(ms) * time.Millisecond) }

	announce("a", 1, 1, 0, false)
	announce("b", 1, 1, 3, false)
	sendHeartbeat()
	step(800)
	announce("a", 1, 2, 0, false)
	announce("b", 1, 2, 9, false)
	sendHeartbeat()
	step(100)
	sendHeartbeat()
	announce("a", 1, 2, 0, false)
	announce("a", 1, 3, 0, true)
	sendHeartbeat()
	step(800)
	announce("b", 2, 1, 1, false)
	sendHeartbeat()
	step(2000)
	sendHeartbeat()
	announce("c", 1, 1, 0, false)
	sendHeartbeat()
	step(700)
	sendHeartbeat()
	step(2000)
	sendHeartbeat()

	path := filepath.Join("testdata", "feed.golden")
	if *update {
		is.NoErr(os.MkdirAll("testdata", 0o755))
		is.NoErr(os.WriteFile(path, []byte(out.String()), 0o644))
	}
	want, err := os.ReadFile(path)
	is.NoErr(err)
	is.Equal(out.String(), string(want))
}

func TestSlotsAreReused(t *testing.T) {
	is := is.New(t)
	f := NewFeed()
	now := time.Unix(0, 0)
	for n := range 100 {
		l := Lease{Server: BackendServer{Name: fmt.Sprint(n)}, Expires: now.Add(lease)}
		is.Equal(len(f.Next(now, []Lease{l}).Remaining), 1)
	}
	is.Equal(len(f.Next(now, nil).Remaining), 0)
}

func TestUpdatesForUnknownSlotsAreRefused(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	for _, u := range []Update{
		{Remaining: []byte{9}},
		{Loads: []LoadChange{{Slot: 0}}},
		{Loads: []LoadChange{{Slot: -1}}},
		{Described: []Description{{Slot: maxSlots, Server: BackendServer{Name: "s"}}}},
		{Described: []Description{{Slot: -1, Server: BackendServer{Name: "s"}}}},
		{Described: []Description{{Slot: 0}}},
	} {
		is.Equal(NewFollower().Apply(now, now, u, NewRegistry()), ErrBadUpdate)
	}
}

// Guards against an instance that is cut off from a peer with more servers than a follower accepts: each
// update ended the subscription.
func TestFollowerAcceptsEveryFeed(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	from, to := NewRegistry(), NewRegistry()
	for n := range maxServers {
		_, err := from.Announce(now, BackendServer{Name: fmt.Sprint(n), Incarnation: 1, Sequence: 1, Address: "127.0.0.1:1"}, lease)
		is.NoErr(err)
	}
	is.NoErr(NewFollower().Apply(now, now, NewFeed().Next(now, from.Direct(now)), to))
	is.Equal(len(to.Available(now)), maxServers)
}

// Guards against servers that are missing at one instance without a word: it had no room for them.
func TestLeasesWithoutRoomAreCounted(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	to := NewRegistry()
	for n := range maxServers {
		is.NoErr(to.Merge(now, BackendServer{Name: fmt.Sprint(n), Incarnation: 1, Address: "127.0.0.1:1"}, now.Add(lease)))
	}
	u := Update{Remaining: []byte{9}, Described: []Description{{Server: BackendServer{Name: "late", Incarnation: 1, Address: "127.0.0.1:1"}}}}
	is.NoErr(NewFollower().Apply(now, now, u, to))
	is.Equal(to.TakeRefused(), 1)
	is.Equal(to.TakeRefused(), 0)
}
