package lab

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/balsamlb/balsamlb/operator"
	"github.com/matryer/is"
)

// control returns what a control instance knows of its group, or nil.
func control(l *Lab, i *Instance) *operator.ControlStatus {
	s, err := l.Operator(i).Status()
	if err != nil {
		return nil
	}
	return s.Control
}

func waitLeader(t *testing.T, l *Lab) *Instance {
	t.Helper()
	var leader *Instance
	err := l.Wait(t.Context(), "a leader with a lease", func() bool {
		leader = l.Leader()
		if leader == nil {
			return false
		}
		s := control(l, leader)
		return s != nil && s.Lease
	})
	if err != nil {
		t.Fatal(err)
	}
	return leader
}

// followers returns the voters besides the leader.
func followers(t *testing.T, l *Lab) []*Instance {
	t.Helper()
	leader := waitLeader(t, l)
	var out []*Instance
	for _, i := range l.Instances {
		if i.DataFolder != "" && !i.Standby && i != leader && !i.HasEnded() {
			out = append(out, i)
		}
	}
	return out
}

func waitVoting(t *testing.T, l *Lab, i *Instance) {
	t.Helper()
	err := l.Wait(t.Context(), i.Name+" to vote and have the whole log", func() bool {
		s, leader := control(l, i), l.Leader()
		if s == nil || !s.Voting || leader == nil {
			return false
		}
		of := control(l, leader)
		return of != nil && slices.Contains(of.Voters, i.Name) && len(of.Voters) == of.Size && s.Applied >= of.Commit
	})
	if err != nil {
		t.Fatal(err)
	}
}

func expectBookings(t *testing.T, l *Lab, seed uint64) {
	t.Helper()
	is := is.New(t)
	r := bookings(l, seed, "colombo-2")
	is.Equal(r.Violations, nil)
	is.Equal(r.Booked, 20)
}

func logHas(t *testing.T, i *Instance, text string) bool {
	t.Helper()
	data, err := os.ReadFile(i.LogPath)
	if err != nil {
		t.Fatal(err)
	}
	return strings.Contains(string(data), text)
}

func newestSegment(t *testing.T, i *Instance) string {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(i.DataFolder, "log-*"))
	if err != nil || len(paths) == 0 {
		t.Fatal("no segment in", i.DataFolder, err)
	}
	return paths[len(paths)-1]
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// TestDisksThatForget loses the folder of one voter after the other in each way; what was
// booked before stays booked.
func TestDisksThatForget(t *testing.T) {
	l := start(t)
	expectBookings(t, l, 1)
	t.Run("emptied", func(t *testing.T) {
		lost := followers(t, l)[0]
		lost.Kill()
		must(t, os.RemoveAll(lost.DataFolder))
		must(t, lost.Start())
		waitVoting(t, l, lost)
		// The repaired voter alone keeps the quorum.
		other := followers(t, l)
		for _, i := range other {
			if i != lost {
				i.Kill()
				expectBookings(t, l, 1)
				expectBookings(t, l, 2)
				must(t, i.Start())
				waitVoting(t, l, i)
			}
		}
	})
	t.Run("rolled back", func(t *testing.T) {
		back := followers(t, l)[0]
		folder := filepath.Join(t.TempDir(), "copy")
		back.Kill()
		must(t, os.CopyFS(folder, os.DirFS(back.DataFolder)))
		must(t, back.Start())
		waitVoting(t, l, back)
		expectBookings(t, l, 3)
		back.Kill()
		must(t, os.RemoveAll(back.DataFolder))
		must(t, os.CopyFS(back.DataFolder, os.DirFS(folder)))
		must(t, back.Start())
		waitVoting(t, l, back)
		if !logHas(t, back, "set the folder aside") {
			t.Fatal("the older copy was taken as if nothing was missing")
		}
		expectBookings(t, l, 3)
	})
	t.Run("torn tail", func(t *testing.T) {
		torn := followers(t, l)[1]
		torn.Kill()
		f, err := os.OpenFile(newestSegment(t, torn), os.O_WRONLY|os.O_APPEND, 0)
		must(t, err)
		_, err = f.Write([]byte{200, 0, 0, 0, 1, 2, 3, 4, 5, 6})
		must(t, err)
		must(t, f.Close())
		must(t, torn.Start())
		waitVoting(t, l, torn)
		if !logHas(t, torn, `"cut_bytes":10`) {
			t.Fatal("the torn tail was not reported")
		}
		expectBookings(t, l, 4)
	})
	t.Run("flipped bit", func(t *testing.T) {
		flipped := followers(t, l)[0]
		flipped.Kill()
		path := newestSegment(t, flipped)
		data, err := os.ReadFile(path)
		must(t, err)
		data[len(data)/2] ^= 1
		must(t, os.WriteFile(path, data, 0o600))
		must(t, flipped.Start())
		must(t, l.Wait(t.Context(), "the instance to refuse its folder", flipped.HasEnded))
		if !logHas(t, flipped, "damaged file") || !logHas(t, flipped, path) {
			t.Fatal("the damage was not reported with its path")
		}
		expectBookings(t, l, 5)
	})
}

func TestFrozenLeaderIsReplacedAndLeadsNoMore(t *testing.T) {
	l := start(t)
	old := waitLeader(t, l)
	old.Freeze()
	must(t, l.Wait(t.Context(), "another leader", func() bool {
		for _, i := range l.Instances {
			if i == old || i.DataFolder == "" {
				continue
			}
			if s := control(l, i); s != nil && s.Lease {
				return true
			}
		}
		return false
	}))
	old.Thaw()
	expectBookings(t, l, 1)
	must(t, l.Wait(t.Context(), "the old leader to follow", func() bool {
		s := control(l, old)
		return s != nil && !s.Lease && s.Leader != "" && s.Leader != old.Name
	}))
}

func TestCutOffLeaderFollowsAfterHealing(t *testing.T) {
	is := is.New(t)
	l := start(t)
	old := waitLeader(t, l)
	l.CutDataCentre(old.DataCentre)
	through := "kandy-1"
	if old.Name == through {
		through = "galle-1"
	}
	r := bookings(l, 1, through)
	is.Equal(r.Violations, nil)
	is.Equal(r.Booked, 20)
	must(t, l.Wait(t.Context(), "the old leader to step down", func() bool {
		s := control(l, old)
		return s != nil && s.Role != "leader"
	}))
	l.Heal()
	waitVoting(t, l, old)
	expectBookings(t, l, 1)
}

// TestSecondVoterLostAfterARepair loses a voter for good, and another one right after a
// standby has taken the place of the first.
func TestSecondVoterLostAfterARepair(t *testing.T) {
	layout := testLayout(t)
	layout.DataCentres[2].Instances = 2
	layout.DataCentres[2].Standby = true
	l := startLayout(t, layout)
	expectBookings(t, l, 1)
	lost := followers(t, l)
	lost[0].Kill()
	must(t, os.RemoveAll(lost[0].DataFolder))
	standby := l.Instance("galle-2")
	waitVoting(t, l, standby)
	lost[1].Kill()
	expectBookings(t, l, 1)
	expectBookings(t, l, 2)
}
