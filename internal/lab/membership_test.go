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

// fetchStatus returns an instance's status, or false if it does not answer.
func fetchStatus(i *Instance) (operator.Status, bool) {
	s, err := operator.NewClient(i.OperatorAddress()).Status()
	return s, err == nil
}

// seesAlive reports whether the instance considers the other one alive.
func seesAlive(i *Instance, other string) bool {
	s, _ := fetchStatus(i)
	for _, m := range s.Instances {
		if m.Name == other {
			return m.Alive
		}
	}
	return false
}

// allSeeAlive returns a condition for Lab.Wait: every instance except other considers other alive,
// or not alive if want is false.
func allSeeAlive(l *Lab, other string, want bool) func() bool {
	return func() bool {
		for _, i := range l.Instances {
			if i.Name != other && seesAlive(i, other) != want {
				return false
			}
		}
		return true
	}
}

// countInLogs returns how often the text occurs in the logs of all instances.
func countInLogs(t *testing.T, l *Lab, text string) int {
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

func reportsReady(i *Instance) bool {
	code, _, err := fasthttp.Get(nil, "http://"+i.PlatformAddress()+"/readyz")
	return err == nil && code == fasthttp.StatusOK
}

func TestBlackholedConnectionsDoNotFailLivePeers(t *testing.T) {
	is := is.New(t)
	l := startLab(t)
	is.NoErr(l.Wait(t.Context(), "all instances to be alive", allSeeAlive(l, "galle-1", true)))
	for round := range 3 {
		for _, a := range l.Instances {
			for _, b := range l.Instances {
				l.BlackholeConnections(a.Name, b.Name)
			}
		}
		// The open connections are blackholed, so a change reaches all instances only over new
		// connections.
		is.NoErr(l.Apply(t.Context(), uint64(round+1), "silent-"+string(rune('a'+round)), baseConfig, nil))
	}
	is.NoErr(l.WaitServers(t.Context(), 2))
	is.Equal(countInLogs(t, l, "an instance has failed"), 0)
}

func TestFrozenPeerFailsDespiteOpenConnections(t *testing.T) {
	is := is.New(t)
	l := startLab(t)
	is.NoErr(l.Wait(t.Context(), "all instances to be alive", allSeeAlive(l, "kandy-1", true)))
	// A frozen process keeps its connections open.
	l.Instance("kandy-1").Freeze()
	is.NoErr(l.Wait(t.Context(), "the frozen instance to be detected as failed", allSeeAlive(l, "kandy-1", false)))
	l.Instance("kandy-1").Thaw()
	is.NoErr(l.Wait(t.Context(), "the thawed instance to refute its failure", allSeeAlive(l, "kandy-1", true)))
	for _, other := range []string{"colombo-1", "colombo-2", "galle-1"} {
		is.NoErr(l.Wait(t.Context(), "the thawed instance to see the others alive", func() bool { return seesAlive(l.Instance("kandy-1"), other) }))
	}
}

func TestKilledInstanceRejoinsWithNewIncarnation(t *testing.T) {
	is := is.New(t)
	l := startLab(t)
	i := l.Instance("colombo-2")
	is.NoErr(l.Wait(t.Context(), "all instances to be alive", allSeeAlive(l, i.Name, true)))
	i.Kill()
	is.NoErr(l.Wait(t.Context(), "the killed instance to be detected as failed", allSeeAlive(l, i.Name, false)))
	// Its backend servers now announce themselves to another instance of the data centre.
	is.NoErr(l.WaitServers(t.Context(), 2))
	is.NoErr(i.Start())
	is.NoErr(l.Wait(t.Context(), "the new incarnation to be alive", allSeeAlive(l, i.Name, true)))
	is.NoErr(l.WaitServers(t.Context(), 2))
	is.NoErr(l.Wait(t.Context(), "the instance to be ready", func() bool { return reportsReady(i) }))
}

func TestStoppedInstanceAnnouncesItsLeave(t *testing.T) {
	is := is.New(t)
	l := startLab(t)
	i := l.Instance("colombo-2")
	is.NoErr(l.Wait(t.Context(), "all instances to be alive", allSeeAlive(l, i.Name, true)))
	i.Stop()
	is.NoErr(l.Wait(t.Context(), "all other instances to log its leave", func() bool { return countInLogs(t, l, "an instance has left") == len(l.Instances)-1 }))
	is.Equal(countInLogs(t, l, "an instance has failed"), 0)
}

func TestInstanceJoinsRunningSystem(t *testing.T) {
	is := is.New(t)
	l := startLab(t)
	i, err := l.Join(t.Context(), "kandy")
	is.NoErr(err)
	is.NoErr(l.Wait(t.Context(), "the others to see the new instance alive", allSeeAlive(l, i.Name, true)))
	is.NoErr(l.WaitServers(t.Context(), 2))
	is.NoErr(l.WaitVersion(t.Context(), 1))
	is.NoErr(l.Wait(t.Context(), "the instance to be ready", func() bool { return reportsReady(i) }))
	r := runBookings(l, 1, i.Name)
	is.Equal(r.Violations, nil)
	is.Equal(r.Booked, 20)
}

// Backend servers crash while two instances are frozen. The thawed instances must not use
// them, and announcements left in their socket buffers must grant no lease.
func TestThawedInstanceUsesNoOldLeases(t *testing.T) {
	is := is.New(t)
	l := startLab(t)
	frozen := []*Instance{l.Instance("colombo-1"), l.Instance("colombo-2")}
	for _, i := range frozen {
		i.Freeze()
	}
	// The servers continue to announce themselves to the frozen instances until they are killed.
	galle := l.Instance("galle-1")
	var last operator.Status
	var answered bool
	err := l.Wait(t.Context(), "the leases to expire", func() bool {
		last, answered = fetchStatus(galle)
		return answered && len(last.Servers) == 0
	})
	if err != nil {
		t.Logf("galle-1 exited: %t, answered: %t, servers: %+v, instances: %+v", galle.HasExited(), answered, last.Servers, last.Instances)
	}
	is.NoErr(err)
	l.Emulators["emulator"].Kill()
	// The frozen instances may have granted leases just before they were frozen.
	time.Sleep(serverLease)
	granted := countInLogs(t, l, "granted a lease")
	for _, i := range frozen {
		i.Thaw()
	}
	for range 20 {
		for _, i := range l.Instances {
			s, ok := fetchStatus(i)
			is.True(ok)
			is.Equal(len(s.Servers), 0)
		}
	}
	is.NoErr(l.Wait(t.Context(), "the thawed instances to be alive", allSeeAlive(l, "colombo-1", true)))
	is.Equal(countInLogs(t, l, "granted a lease"), granted)
}

func TestPartitionedDataCentreRecovers(t *testing.T) {
	is := is.New(t)
	l := startLab(t)
	galle := l.Instance("galle-1")
	l.PartitionDataCentre("galle")
	is.NoErr(l.Wait(t.Context(), "both sides to detect the failure", func() bool {
		return !seesAlive(galle, "colombo-1") && !seesAlive(l.Instance("kandy-1"), "galle-1")
	}))
	// Both servers are in Colombo, which Galle can't reach, so their leases expire in Galle.
	is.NoErr(l.Wait(t.Context(), "no server in Galle", func() bool {
		s, ok := fetchStatus(galle)
		return ok && len(s.Servers) == 0
	}))
	client := operator.NewClient(l.Instance("colombo-1").OperatorAddress())
	is.NoErr(l.Wait(t.Context(), "the majority to accept a change", func() bool {
		s, _ := fetchStatus(l.Instance("colombo-2"))
		if s.ConfigVersion == 2 {
			return true
		}
		_, _ = client.Change(config.Change{ID: "while-cut", Expect: 1, Base: baseConfig})
		return false
	}))
	// The instance keeps its last version, reports its age, and stays ready.
	is.NoErr(l.Wait(t.Context(), "the partitioned instance to report the age of its configuration", func() bool {
		s, ok := fetchStatus(galle)
		return ok && s.ConfigVersion == 1 && s.ConfigAgeMs > 3000
	}))
	is.True(reportsReady(galle))
	l.Heal()
	is.NoErr(l.WaitVersion(t.Context(), 2))
	is.NoErr(l.WaitServers(t.Context(), 2))
	is.NoErr(l.Wait(t.Context(), "the healed instance to confirm its configuration", func() bool {
		s, ok := fetchStatus(galle)
		return ok && s.ConfigAgeMs < 3000
	}))
}

func TestRegionsShareConfigurationButNotServers(t *testing.T) {
	is := is.New(t)
	l, err := Start(t.Context(), Layout{
		Folder:    t.TempDir(),
		BinFolder: binFolder,
		DataCentres: []DataCentre{
			{Name: "colombo", Instances: 2, Control: true, Region: "south"},
			{Name: "kandy", Instances: 2, Control: true, Region: "south"},
			{Name: "jaffna", Instances: 3, Control: true, Region: "north"},
		},
		Emulators: []Emulator{{Name: "emulator", Fleet: fleetFile}},
		Base:      baseConfig,
		Relayed:   true,
	})
	is.NoErr(err)
	t.Cleanup(l.Close)
	is.NoErr(l.Wait(t.Context(), "each region to know only its own servers", func() bool {
		for _, i := range l.Instances {
			s, ok := fetchStatus(i)
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
			is.NoErr(l.Wait(t.Context(), other.Name+" to be alive at "+i.Name, func() bool { return i == other || seesAlive(i, other.Name) }))
		}
	}
	is.NoErr(l.Apply(t.Context(), 1, "second", baseConfig, nil))
}

func TestLeavingServerIsReportedByAllInstances(t *testing.T) {
	is := is.New(t)
	l := startLab(t)
	address := l.Layout.Network + ".1.200:9000"
	code, _, err := fasthttp.Post(nil, "http://"+address+emulate.PathLeave, nil)
	is.NoErr(err)
	is.Equal(code, fasthttp.StatusOK)
	is.NoErr(l.Wait(t.Context(), "all instances to report its leave", func() bool {
		for _, i := range l.Instances {
			s, _ := fetchStatus(i)
			if !slices.ContainsFunc(s.Servers, func(b operator.ServerStatus) bool { return b.Name == "ordering-0" && b.Leaving }) {
				return false
			}
		}
		return true
	}))
}
