package lab

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

// TestBackupOfAllDisksBringsTheStateBack stops the system, backs up every data folder, loses
// all disks and restores them.
func TestBackupOfAllDisksBringsTheStateBack(t *testing.T) {
	is := is.New(t)
	l := start(t)
	before := bookings(l, 1, "colombo-2", "kandy-1")
	is.Equal(before.Violations, nil)
	is.NoErr(l.Apply(t.Context(), 1, "second", base+"[workspace matara]\n", nil))
	for _, i := range l.Instances {
		i.Stop()
	}
	ctl := filepath.Join(bin, "balsamctl")
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
	again := bookings(l, 1, "colombo-2", "kandy-1")
	is.Equal(again.Violations, nil)
	is.Equal(again.Booked, before.Booked)
	for _, c := range countsOf(l).Calls {
		is.Equal(c.Ran, 1) // the keys were known: nothing ran again
	}
}
