package bench

import (
	"fmt"
	"path/filepath"
	"strings"

	"github.com/balsamlb/balsamlb/internal/lab"
)

const controlDataCentres = 3

// controlLayout returns one region of three data centres. The emulated servers of a data
// centre share one process.
func controlLayout(o Options, n int, size controlSize) lab.Layout {
	l := lab.Layout{
		Network:   o.Net,
		Folder:    filepath.Join(o.Folder, fmt.Sprintf("control-%d", n)),
		BinFolder: o.Bin,
		Base:      standardBase,
	}
	for d := range controlDataCentres {
		name := fmt.Sprintf("dc%d", d+1)
		l.DataCentres = append(l.DataCentres, lab.DataCentre{Name: name, Instances: evenShare(size.instances, d), Control: true})
		l.Emulators = append(l.Emulators, lab.Emulator{Name: "emulator-" + name, Fleet: controlFleet(d, evenShare(size.servers, d))})
	}
	return l
}

// evenShare returns the part of total that data centre d gets when total is divided evenly.
func evenShare(total, d int) int {
	share := total / controlDataCentres
	if d < total%controlDataCentres {
		share++
	}
	return share
}

// controlFleet returns the fleet file of one data centre.
func controlFleet(d, servers int) string {
	var b strings.Builder
	dc := fmt.Sprintf("dc%d", d+1)
	fmt.Fprintf(&b, "[data_centre %s]\nannounce = $ANNOUNCE(%s)\n", dc, dc)
	for n := range servers {
		layers := "0-16"
		if n%2 == 1 {
			layers = "16-32"
		}
		fmt.Fprintf(&b, "[server %s-advice-%d]\naddress = $NET.%d.%d:%d\ndata_centre = %s\naccelerator = kind-%d\nmodel = icing-7b\nlayers = %s\nstep = %d\n",
			dc, n, d+1, 100+n%100, 9000+n/100, dc, n%3, layers, 3000+1000*(n%3))
	}
	return b.String()
}
