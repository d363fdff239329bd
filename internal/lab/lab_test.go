package lab

import (
	"context"
	"os"
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/internal/load"
	"github.com/balsamlb/balsamlb/operator"
	"github.com/matryer/is"
)

var binFolder string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "balsamlb-bin-")
	if err != nil {
		panic(err)
	}
	if err := Build(context.Background(), "../..", folder); err != nil {
		panic(err)
	}
	binFolder = folder
	code := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

const baseConfig = `
[service draft]
kind = draft
model = icing-7b
layers = 32
[service booking]
idempotent = false
[workspace kandy]
`

const fleetFile = `
[data_centre colombo]
announce = $ANNOUNCE(colombo)
[server advice-0]
address = $NET.1.100:9000
data_centre = colombo
model = icing-7b
layers = 0-32
[server ordering-0]
address = $NET.1.200:9000
data_centre = colombo
services = booking
`

func testLayout(t *testing.T) Layout {
	return Layout{
		Folder:    t.TempDir(),
		BinFolder: binFolder,
		DataCentres: []DataCentre{
			{Name: "colombo", Instances: 2, Control: true},
			{Name: "kandy", Instances: 1, Control: true},
			{Name: "galle", Instances: 1, Control: true},
		},
		Emulators: []Emulator{{Name: "emulator", Fleet: fleetFile}},
		Base:      baseConfig,
		Relayed:   true,
	}
}

func startLab(t *testing.T) *Lab {
	t.Helper()
	return startLayout(t, testLayout(t))
}

func startLayout(t *testing.T, layout Layout) *Lab {
	t.Helper()
	return startLayoutWithServers(t, layout, 2)
}

func startLayoutWithServers(t *testing.T, layout Layout, servers int) *Lab {
	t.Helper()
	l, err := Start(t.Context(), layout)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		l.Close()
		if t.Failed() {
			printLogs(t, l)
		}
	})
	if err := l.WaitServers(t.Context(), servers); err != nil {
		t.Fatal(err)
	}
	return l
}

// printedLogBytes is how much of each process's log a failed test prints. It covers the last
// few seconds.
const printedLogBytes = 16 << 10

// printLogs prints the end of each process's log, since the log files are removed with the
// test's folder.
func printLogs(t *testing.T, l *Lab) {
	t.Helper()
	var processes []*Process
	for _, i := range l.Instances {
		processes = append(processes, i.Process)
	}
	for _, p := range l.Emulators {
		processes = append(processes, p)
	}
	for _, p := range processes {
		data, err := os.ReadFile(p.LogPath)
		if err != nil {
			t.Logf("log of %s: %v", p.Name, err)
			continue
		}
		t.Logf("log of %s:\n%s", p.Name, data[max(0, len(data)-printedLogBytes):])
	}
}

func runBookings(l *Lab, seed uint64, instances ...string) load.Result {
	var addresses []string
	for _, name := range instances {
		addresses = append(addresses, l.Instance(name).CallerAddress())
	}
	return load.Run(context.Background(), load.Options{
		Instances: addresses, Workspace: "kandy", Bookings: 20, Concurrent: 4, Seed: seed, Deadline: 20 * time.Second,
	})
}

func TestBookingsSurviveLeaderCrash(t *testing.T) {
	is := is.New(t)
	l := startLab(t)
	is.NoErr(l.Wait(t.Context(), "a leader", func() bool { return l.Leader() != nil }))
	l.Leader().Kill()
	r := runBookings(l, 1, "colombo-2")
	is.Equal(r.Violations, nil)
	is.Equal(r.Booked, 20)
}

func TestBookingsSurviveBlackholedConnections(t *testing.T) {
	is := is.New(t)
	l := startLab(t)
	for _, a := range l.Instances {
		for _, b := range l.Instances {
			l.BlackholeConnections(a.Name, b.Name)
		}
	}
	r := runBookings(l, 1, "colombo-2", "kandy-1")
	is.Equal(r.Violations, nil)
	is.Equal(r.Booked, 20)
}

func TestBookingsSurviveDataCentrePartition(t *testing.T) {
	is := is.New(t)
	l := startLab(t)
	l.PartitionDataCentre("galle")
	r := runBookings(l, 1, "colombo-2", "kandy-1")
	is.Equal(r.Violations, nil)
	is.Equal(r.Booked, 20)
}

func TestAllDraftsCompleteWithoutFaults(t *testing.T) {
	is := is.New(t)
	layout := testLayout(t)
	layout.Emulators = []Emulator{{Name: "emulator", Fleet: twoStageFleet}}
	l := startLayoutWithServers(t, layout, 5)
	var addresses []string
	for _, i := range l.Instances {
		addresses = append(addresses, i.CallerAddress())
	}
	r := load.Run(context.Background(), load.Options{
		Instances: addresses, Workspace: "kandy", Drafts: 400, MaxTokens: 24, Concurrent: 32, Seed: 1, Deadline: 20 * time.Second,
	})
	is.Equal(r.Violations, nil)
	is.Equal(r.Answered, 400)
}

func TestAllDraftsCompleteWhileServersDrain(t *testing.T) {
	is := is.New(t)
	layout := testLayout(t)
	layout.Emulators = []Emulator{{Name: "emulator", Fleet: twoStageFleet}}
	l := startLayoutWithServers(t, layout, 5)
	var addresses []string
	for _, i := range l.Instances {
		addresses = append(addresses, i.CallerAddress())
	}
	stop := make(chan struct{})
	drained := make(chan error, 1)
	go func() { drained <- drainInTurn(l, stop, "advice-0", "advice-1") }()
	r := load.Run(context.Background(), load.Options{
		Instances: addresses, Workspace: "kandy", Drafts: 400, MaxTokens: 24, Concurrent: 32, Seed: 1, Deadline: 20 * time.Second,
	})
	close(stop)
	is.NoErr(<-drained)
	is.Equal(r.Violations, nil)
	is.Equal(r.Answered, 400)
}

// drainInTurn starts and ends a drain of one server after the other until stop is closed.
func drainInTurn(l *Lab, stop chan struct{}, servers ...string) error {
	client := l.Operator(l.Instances[0])
	for n := 0; ; n++ {
		server := servers[n/2%len(servers)]
		if err := client.Drain(operator.DrainRequest{Server: server, On: n%2 == 0}); err != nil {
			return err
		}
		select {
		case <-stop:
			return nil
		case <-time.After(drainInterval):
		}
	}
}

const drainInterval = 150 * time.Millisecond

const twoStageFleet = `
[data_centre colombo]
announce = $ANNOUNCE(colombo)
[server advice-0]
address = $NET.1.100:9000
data_centre = colombo
model = icing-7b
layers = 0-16
step = 2000
[server advice-1]
address = $NET.1.101:9000
data_centre = colombo
model = icing-7b
layers = 16-32
step = 2000
[server advice-2]
address = $NET.1.102:9000
data_centre = colombo
model = icing-7b
layers = 0-16
step = 3000
[server advice-3]
address = $NET.1.103:9000
data_centre = colombo
model = icing-7b
layers = 16-32
step = 3000
[server ordering-0]
address = $NET.1.200:9000
data_centre = colombo
services = booking
`
