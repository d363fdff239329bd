package lab

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

// TestRestoreOfAllDisksFromBackup stops the system, backs up every data folder, deletes all of
// them and restores them. The configuration and the recorded bookings must survive.
func TestRestoreOfAllDisksFromBackup(t *testing.T) {
	is := is.New(t)
	l := startLab(t)
	before := runBookings(l, 1, "colombo-2", "kandy-1")
	is.Equal(before.Violations, nil)
	is.NoErr(l.Apply(t.Context(), 1, "second", baseConfig+"[workspace matara]\n", nil))
	for _, i := range l.Instances {
		i.Stop()
	}
	ctl := filepath.Join(binFolder, "balsamctl")
	for _, i := range l.Instances {
		if i.DataFolder == "" {
			continue
		}
		archive := i.DataFolder + ".tar.zst"
		is.NoErr(exec.Command(ctl, "backup", "-data-folder", i.DataFolder, archive).Run())
		is.NoErr(os.RemoveAll(i.DataFolder))
		is.NoErr(exec.Command(ctl, "restore", "-data-folder", i.DataFolder, archive).Run())
	}
	for _, i := range l.Instances {
		is.NoErr(i.Start())
	}
	is.NoErr(l.WaitVersion(t.Context(), 2))
	is.NoErr(l.WaitServers(t.Context(), 2))
	again := runBookings(l, 1, "colombo-2", "kandy-1")
	is.Equal(again.Violations, nil)
	is.Equal(again.Booked, before.Booked)
	for _, c := range fetchCounts(l).Calls {
		is.Equal(c.Ran, 1) // the restored ledger knows the keys, so no call ran again
	}
}
