package lab

import (
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/config"
	"github.com/balsamlb/balsamlb/internal/emulate"
	"github.com/balsamlb/balsamlb/operator"
	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// serverLease is the default of the setting server_lease.
const serverLease = 2500 * time.Millisecond

// status returns what an instance knows, or false when it doesn't answer.
func status(i *Instance) (operator.Status, bool) {
	s, err := operator.NewClient(i.Operators()).Status()
	return s, err == nil
}

// sees reports whether the instance holds the other one alive.
func sees(i *Instance, other string) bool {
	s, _ := status(i)
	for _, m := range s.Instances {
		if m.Name == other {
			return m.Alive
		}
	}
	return false
}

func allSee(l *Lab, other string, want bool) func() bool {
	return func() bool {
		for _, i := range l.Instances {
			if i.Name != other && sees(i, other) != want {
				return false
			}
		}
		return true
	}
}

// count returns how often the text is in the logs of all instances.
func count(t *testing.T, l *Lab, text string) int {
	n := 0
	for _, i := range l.Instances {
		data, err := os.ReadFile(i.LogPath)
		if err != nil {
			t.Fatal(err)
		}
		n += strings.Count(string(data), text)
	}
	return n
}

func isReady(i *Instance) bool {
	code, _, err := fasthttp.Get(nil, "http://"+i.Platform()+"/readyz")
	return err == nil && code == fasthttp.StatusOK
}

func TestSilentConnectionsDoNotFailLivePeers(t *testing.T) {
	is := is.New(t)
	l := start(t)
	is.NoErr(l.Wait(t.Context(), "all alive", allSee(l, "galle-1", true)))
	for round := range 3 {
		for _, a := range l.Instances {
			for _, b := range l.Instances {
				l.Silence(a.Name, b.Name)
			}
		}
		// A change reaches all instances only over new connections.
		is.NoErr(l.Apply(t.Context(), uint64(round+1), "silent-"+string(rune('a'+round)), base, nil))
	}
	is.NoErr(l.WaitServers(t.Context(), 2))
	is.Equal(count(t, l, "an instance has failed"), 0)
}

func TestDeadPeerIsNotHiddenByOpenConnections(t *testing.T) {
	is := is.New(t)
	l := start(t)
	is.NoErr(l.Wait(t.Context(), "all alive", allSee(l, "kandy-1", true)))
	// A frozen process keeps its connections open.
	l.Instance("kandy-1").Freeze()
	is.NoErr(l.Wait(t.Context(), "failure", allSee(l, "kandy-1", false)))
	l.Instance("kandy-1").Thaw()
	is.NoErr(l.Wait(t.Context(), "refutation", allSee(l, "kandy-1", true)))
	for _, other := range []string{"colombo-1", "colombo-2", "galle-1"} {
		is.NoErr(l.Wait(t.Context(), "the others at the thawed one", func() bool { return sees(l.Instance("kandy-1"), other) }))
	}
}

func TestKilledInstanceComesBackAsANewIncarnation(t *testing.T) {
	is := is.New(t)
	l := start(t)
	i := l.Instance("colombo-2")
	is.NoErr(l.Wait(t.Context(), "all alive", allSee(l, i.Name, true)))
	i.Kill()
	is.NoErr(l.Wait(t.Context(), "failure", allSee(l, i.Name, false)))
	// Its backend servers have gone to another instance of the data centre.
	is.NoErr(l.WaitServers(t.Context(), 2))
	is.NoErr(i.Start())
	is.NoErr(l.Wait(t.Context(), "the new incarnation", allSee(l, i.Name, true)))
	is.NoErr(l.WaitServers(t.Context(), 2))
	is.NoErr(l.Wait(t.Context(), "readiness", func() bool { return isReady(i) }))
}

func TestStoppedInstanceIsKnownToHaveLeft(t *testing.T) {
	is := is.New(t)
	l := start(t)
	i := l.Instance("colombo-2")
	is.NoErr(l.Wait(t.Context(), "all alive", allSee(l, i.Name, true)))
	i.Stop()
	is.NoErr(l.Wait(t.Context(), "its leave", func() bool { return count(t, l, "an instance has left") == len(l.Instances)-1 }))
	is.Equal(count(t, l, "an instance has failed"), 0)
}

func TestInstanceJoinsMidStream(t *testing.T) {
	is := is.New(t)
	l := start(t)
	i, err := l.Join(t.Context(), "kandy")
	is.NoErr(err)
	is.NoErr(l.Wait(t.Context(), "the others to see it", allSee(l, i.Name, true)))
	is.NoErr(l.WaitServers(t.Context(), 2))
	is.NoErr(l.WaitVersion(t.Context(), 1))
	is.NoErr(l.Wait(t.Context(), "readiness", func() bool { return isReady(i) }))
	r := bookings(l, 1, i.Name)
	is.Equal(r.Violations, nil)
	is.Equal(r.Booked, 20)
}

// Backend servers that die while an instance is frozen are not used by it when it thaws,
// and what they sent into its buffers grants no lease.
func TestThawedInstanceUsesNoOldLeases(t *testing.T) {
	is := is.New(t)
	l := start(t)
	frozen := []*Instance{l.Instance("colombo-1"), l.Instance("colombo-2")}
	for _, i := range frozen {
		i.Freeze()
	}
	// The servers go on announcing themselves to frozen instances until they die.
	galle := l.Instance("galle-1")
	is.NoErr(l.Wait(t.Context(), "the leases to run out", func() bool {
		s, ok := status(galle)
		return ok && len(s.Servers) == 0
	}))
	l.Emulators["emulator"].Kill()
	// The frozen instances may have granted leases just before they froze.
	time.Sleep(serverLease)
	granted := count(t, l, "granted a lease")
	for _, i := range frozen {
		i.Thaw()
	}
	for range 20 {
		for _, i := range l.Instances {
			s, ok := status(i)
			is.True(ok)
			is.Equal(len(s.Servers), 0)
		}
	}
	is.NoErr(l.Wait(t.Context(), "the frozen ones alive", allSee(l, "colombo-1", true)))
	is.Equal(count(t, l, "granted a lease"), granted)
}

func TestCutOffDataCentreGoesOnAndComesBack(t *testing.T) {
	is := is.New(t)
	l := start(t)
	galle := l.Instance("galle-1")
	l.CutDataCentre("galle")
	is.NoErr(l.Wait(t.Context(), "failures on both sides", func() bool {
		return !sees(galle, "colombo-1") && !sees(l.Instance("kandy-1"), "galle-1")
	}))
	// Both servers stand in Colombo, so none is left in Galle.
	is.NoErr(l.Wait(t.Context(), "no server in Galle", func() bool {
		s, ok := status(galle)
		return ok && len(s.Servers) == 0
	}))
	client := operator.NewClient(l.Instance("colombo-1").Operators())
	is.NoErr(l.Wait(t.Context(), "a change in the majority", func() bool {
		s, _ := status(l.Instance("colombo-2"))
		if s.ConfigVersion == 2 {
			return true
		}
		_, _ = client.Change(config.Change{ID: "while-cut", Expect: 1, Base: base})
		return false
	}))
	// It keeps its last version, says how old that is, and goes on serving.
	is.NoErr(l.Wait(t.Context(), "an old configuration", func() bool {
		s, ok := status(galle)
		return ok && s.ConfigVersion == 1 && s.ConfigAgeMs > 3000
	}))
	is.True(isReady(galle))
	l.Heal()
	is.NoErr(l.WaitVersion(t.Context(), 2))
	is.NoErr(l.WaitServers(t.Context(), 2))
	is.NoErr(l.Wait(t.Context(), "a fresh configuration", func() bool {
		s, ok := status(galle)
		return ok && s.ConfigAgeMs < 3000
	}))
}

func TestRegionsShareTheConfigurationButNotTheirServers(t *testing.T) {
	is := is.New(t)
	l, err := Start(t.Context(), Layout{
		Folder: t.TempDir(),
		Bin:    bin,
		DataCentres: []DataCentre{
			{Name: "colombo", Instances: 2, Control: true, Region: "south"},
			{Name: "kandy", Instances: 2, Control: true, Region: "south"},
			{Name: "jaffna", Instances: 3, Control: true, Region: "north"},
		},
		Emulators: []Emulator{{Name: "emulator", Fleet: fleetFile}},
		Base:      base,
		Relayed:   true,
	})
	is.NoErr(err)
	t.Cleanup(l.Close)
	is.NoErr(l.Wait(t.Context(), "the servers in their region alone", func() bool {
		for _, i := range l.Instances {
			s, ok := status(i)
			want := 2
			if i.Region == "north" {
				want = 0
			}
			if !ok || len(s.Servers) != want || len(s.Instances) != len(l.Instances) {
				return false
			}
		}
		return true
	}))
	for _, i := range l.Instances {
		for _, other := range l.Instances {
			is.NoErr(l.Wait(t.Context(), other.Name+" at "+i.Name, func() bool { return i == other || sees(i, other.Name) }))
		}
	}
	is.NoErr(l.Apply(t.Context(), 1, "second", base, nil))
}

func TestLeavingServerIsKnownEverywhere(t *testing.T) {
	is := is.New(t)
	l := start(t)
	address := l.Layout.Net + ".1.200:9000"
	code, _, err := fasthttp.Post(nil, "http://"+address+emulate.PathLeave, nil)
	is.NoErr(err)
	is.Equal(code, fasthttp.StatusOK)
	is.NoErr(l.Wait(t.Context(), "its leave everywhere", func() bool {
		for _, i := range l.Instances {
			s, _ := status(i)
			if !slices.ContainsFunc(s.Servers, func(b operator.ServerStatus) bool { return b.Name == "ordering-0" && b.Leaving }) {
				return false
			}
		}
		return true
	}))
}
