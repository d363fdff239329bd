package bench

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/balsamlb/balsamlb/internal/lab"
	"github.com/balsamlb/balsamlb/internal/load"
)

var bookingsBench = Bench{
	Name: "bookings",
	Help: "bookings a second through the ledger, without faults",
	Run:  runBookings,
}

const (
	bookingsShort = 1000
	bookingsLong  = 10_000
)

func runBookings(ctx context.Context, o Options) (Figure, error) {
	l, err := lab.Start(ctx, standardLayout(o))
	if err != nil {
		return Figure{}, err
	}
	defer l.Close()
	if err := l.WaitServers(ctx, standardServers); err != nil {
		return Figure{}, err
	}
	count := bookingsLong
	if o.Short {
		count = bookingsShort
	}
	var callers []string
	for _, i := range l.Instances {
		callers = append(callers, i.CallerAddress())
	}
	start := time.Now()
	r := load.Run(ctx, load.Options{
		Instances: callers, Workspace: "kandy", Bookings: count, Concurrent: 64, Seed: o.Seed, Deadline: 30 * time.Second,
	})
	elapsed := time.Since(start).Seconds()
	if len(r.Violations) > 0 {
		return Figure{}, fmt.Errorf("bench: %d bookings violated a guarantee, the first: %s", len(r.Violations), r.Violations[0])
	}
	return Figure{Value: float64(r.Booked) / elapsed, Unit: "bookings/s"}, nil
}

const standardServers = 42

// standardLayout has the size of the current deployment: 7 instances in 3 data centres, and
// 42 backend servers.
func standardLayout(o Options) lab.Layout {
	return lab.Layout{
		Network:   o.Net,
		Folder:    o.Folder,
		BinFolder: o.Bin,
		DataCentres: []lab.DataCentre{
			{Name: "colombo", Instances: 3, Control: true},
			{Name: "kandy", Instances: 2, Control: true},
			{Name: "galle", Instances: 2, Control: true},
		},
		Emulators: []lab.Emulator{{Name: "emulator", Fleet: standardFleet()}},
		Base:      standardBase,
		Relayed:   true,
	}
}

const standardBase = `
[service draft]
kind = draft
model = icing-7b
layers = 32
[service stock]
[service booking]
idempotent = false
[workspace colombo]
[workspace kandy]
[workspace galle]
`

// standardFleet has 13 advice servers and 1 ordering server in each data centre. An advice
// server holds half of the layers, so two of them form a chain.
func standardFleet() string {
	var b strings.Builder
	for d, dc := range []string{"colombo", "kandy", "galle"} {
		fmt.Fprintf(&b, "[data_centre %s]\nannounce = $ANNOUNCE(%s)\n", dc, dc)
		for n := range 13 {
			layers := "0-16"
			if n%2 == 1 {
				layers = "16-32"
			}
			fmt.Fprintf(&b, "[server %s-advice-%d]\naddress = $NET.%d.%d:9000\ndata_centre = %s\nmodel = icing-7b\nlayers = %s\nstep = %d\n",
				dc, n, d+1, 100+n, dc, layers, 3000+1000*(n%3))
		}
		fmt.Fprintf(&b, "[server %s-ordering]\naddress = $NET.%d.200:9000\ndata_centre = %s\nservices = booking, stock\n", dc, d+1, dc)
	}
	return b.String()
}
