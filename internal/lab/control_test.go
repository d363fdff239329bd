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

// controlStatus returns the control status of an instance, or nil if the instance does not
// answer or is not a control instance.
func controlStatus(l *Lab, i *Instance) *operator.ControlStatus {
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
		s := controlStatus(l, leader)
		return s != nil && s.Lease
	})
	if err != nil {
		t.Fatal(err)
	}
	return leader
}

// followers returns the running voters besides the leader.
func followers(t *testing.T, l *Lab) []*Instance {
	t.Helper()
	leader := waitLeader(t, l)
	var out []*Instance
	for _, i := range l.Instances {
		if i.DataFolder != "" && !i.Standby && i != leader && !i.HasExited() {
			out = append(out, i)
		}
	}
	return out
}

func waitVoting(t *testing.T, l *Lab, i *Instance) {
	t.Helper()
	err := l.Wait(t.Context(), i.Name+" to vote and to have applied the whole log", func() bool {
		s, leader := controlStatus(l, i), l.Leader()
		if s == nil || !s.Voting || leader == nil {
			return false
		}
		leaderStatus := controlStatus(l, leader)
		return leaderStatus != nil && slices.Contains(leaderStatus.Voters, i.Name) && len(leaderStatus.Voters) == leaderStatus.Size && s.Applied >= leaderStatus.Commit
	})
	if err != nil {
		t.Fatal(err)
	}
}

func checkBookings(t *testing.T, l *Lab, seed uint64) {
	t.Helper()
	is := is.New(t)
	r := runBookings(l, seed, "colombo-2")
	is.Equal(r.Violations, nil)
	is.Equal(r.Booked, 20)
}

func logContains(t *testing.T, i *Instance, text string) bool {
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

func requireNoError(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// TestVoterRecoversFromDiskLoss damages the data folder of one voter after the other: emptied,
// rolled back to an older copy, with a torn tail, and with a flipped bit. Recorded bookings must
// survive each case.
func TestVoterRecoversFromDiskLoss(t *testing.T) {
	l := startLab(t)
	checkBookings(t, l, 1)
	t.Run("emptied", func(t *testing.T) {
		lost := followers(t, l)[0]
		lost.Kill()
		requireNoError(t, os.RemoveAll(lost.DataFolder))
		requireNoError(t, lost.Start())
		waitVoting(t, l, lost)
		// With another voter killed, the quorum depends on the repaired one.
		voters := followers(t, l)
		for _, i := range voters {
			if i != lost {
				i.Kill()
				checkBookings(t, l, 1)
				checkBookings(t, l, 2)
				requireNoError(t, i.Start())
				waitVoting(t, l, i)
			}
		}
	})
	t.Run("rolled back", func(t *testing.T) {
		rolledBack := followers(t, l)[0]
		folder := filepath.Join(t.TempDir(), "copy")
		rolledBack.Kill()
		requireNoError(t, os.CopyFS(folder, os.DirFS(rolledBack.DataFolder)))
		requireNoError(t, rolledBack.Start())
		waitVoting(t, l, rolledBack)
		checkBookings(t, l, 3)
		rolledBack.Kill()
		requireNoError(t, os.RemoveAll(rolledBack.DataFolder))
		requireNoError(t, os.CopyFS(rolledBack.DataFolder, os.DirFS(folder)))
		requireNoError(t, rolledBack.Start())
		waitVoting(t, l, rolledBack)
		if !logContains(t, rolledBack, "set the folder aside") {
			t.Fatal("the older copy was accepted although entries were missing")
		}
		checkBookings(t, l, 3)
	})
	t.Run("torn tail", func(t *testing.T) {
		torn := followers(t, l)[1]
		torn.Kill()
		f, err := os.OpenFile(newestSegment(t, torn), os.O_WRONLY|os.O_APPEND, 0)
		requireNoError(t, err)
		_, err = f.Write([]byte{200, 0, 0, 0, 1, 2, 3, 4, 5, 6})
		requireNoError(t, err)
		requireNoError(t, f.Close())
		requireNoError(t, torn.Start())
		waitVoting(t, l, torn)
		if !logContains(t, torn, `"cut_bytes":10`) {
			t.Fatal("the torn tail was not reported")
		}
		checkBookings(t, l, 4)
	})
	t.Run("flipped bit", func(t *testing.T) {
		flipped := followers(t, l)[0]
		flipped.Kill()
		path := newestSegment(t, flipped)
		data, err := os.ReadFile(path)
		requireNoError(t, err)
		data[len(data)/2] ^= 1
		requireNoError(t, os.WriteFile(path, data, 0o600))
		requireNoError(t, flipped.Start())
		requireNoError(t, l.Wait(t.Context(), "the instance to reject its data folder and exit", flipped.HasExited))
		if !logContains(t, flipped, "damaged file") || !logContains(t, flipped, path) {
			t.Fatal("the log does not report the damage with the path of the file")
		}
		checkBookings(t, l, 5)
	})
}

func TestFrozenLeaderIsReplaced(t *testing.T) {
	l := startLab(t)
	old := waitLeader(t, l)
	old.Freeze()
	requireNoError(t, l.Wait(t.Context(), "another leader", func() bool {
		for _, i := range l.Instances {
			if i == old || i.DataFolder == "" {
				continue
			}
			if s := controlStatus(l, i); s != nil && s.Lease {
				return true
			}
		}
		return false
	}))
	old.Thaw()
	checkBookings(t, l, 1)
	requireNoError(t, l.Wait(t.Context(), "the old leader to become a follower", func() bool {
		s := controlStatus(l, old)
		return s != nil && !s.Lease && s.Leader != "" && s.Leader != old.Name
	}))
}

func TestPartitionedLeaderBecomesFollower(t *testing.T) {
	is := is.New(t)
	l := startLab(t)
	old := waitLeader(t, l)
	l.PartitionDataCentre(old.DataCentre)
	entry := "kandy-1"
	if old.Name == entry {
		entry = "galle-1"
	}
	r := runBookings(l, 1, entry)
	is.Equal(r.Violations, nil)
	is.Equal(r.Booked, 20)
	requireNoError(t, l.Wait(t.Context(), "the old leader to step down", func() bool {
		s := controlStatus(l, old)
		return s != nil && s.Role != "leader"
	}))
	l.Heal()
	waitVoting(t, l, old)
	checkBookings(t, l, 1)
}

// TestQuorumSurvivesSecondVoterLossAfterRepair loses a voter permanently, and a second voter right
// after a standby has replaced the first.
func TestQuorumSurvivesSecondVoterLossAfterRepair(t *testing.T) {
	layout := testLayout(t)
	layout.DataCentres[2].Instances = 2
	layout.DataCentres[2].Standby = true
	l := startLayout(t, layout)
	checkBookings(t, l, 1)
	lost := followers(t, l)
	lost[0].Kill()
	requireNoError(t, os.RemoveAll(lost[0].DataFolder))
	standby := l.Instance("galle-2")
	waitVoting(t, l, standby)
	lost[1].Kill()
	checkBookings(t, l, 1)
	checkBookings(t, l, 2)
}
