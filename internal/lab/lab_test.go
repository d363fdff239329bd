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

var bin string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "balsamlb-bin-")
	if err != nil {
		panic(err)
	}
	if err := Build(context.Background(), "../..", folder); err != nil {
		panic(err)
	}
	bin = folder
	code := m.Run()
	_ = os.RemoveAll(folder)
	os.Exit(code)
}

const base = `
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
		Folder: t.TempDir(),
		Bin:    bin,
		DataCentres: []DataCentre{
			{Name: "colombo", Instances: 2, Control: true},
			{Name: "kandy", Instances: 1, Control: true},
			{Name: "galle", Instances: 1, Control: true},
		},
		Emulators: []Emulator{{Name: "emulator", Fleet: fleetFile}},
		Base:      base,
		Relayed:   true,
	}
}

func start(t *testing.T) *Lab {
	t.Helper()
	return startLayout(t, testLayout(t))
}

func startLayout(t *testing.T, layout Layout) *Lab {
	t.Helper()
	return startLayoutWith(t, layout, 2)
}

func startLayoutWith(t *testing.T, layout Layout, servers int) *Lab {
	t.Helper()
	l, err := Start(t.Context(), layout)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		l.Close()
		if t.Failed() {
			showLogs(t, l)
		}
	})
	if err := l.WaitServers(t.Context(), servers); err != nil {
		t.Fatal(err)
	}
	return l
}

// shownLogBytes is how much of each process's log a failed test prints: some seconds of it.
const shownLogBytes = 16 << 10

// showLogs prints the end of each log, which goes with the test's folder.
func showLogs(t *testing.T, l *Lab) {
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
		t.Logf("log of %s:\n%s", p.Name, data[max(0, len(data)-shownLogBytes):])
	}
}

func bookings(l *Lab, seed uint64, instances ...string) load.Result {
	var addresses []string
	for _, name := range instances {
		addresses = append(addresses, l.Instance(name).Callers())
	}
	return load.Run(context.Background(), load.Options{
		Instances: addresses, Workspace: "kandy", Bookings: 20, Concurrent: 4, Seed: seed, Deadline: 20 * time.Second,
	})
}

func TestBookingsGoOnWithoutTheLeader(t *testing.T) {
	is := is.New(t)
	l := start(t)
	is.NoErr(l.Wait(t.Context(), "a leader", func() bool { return l.Leader() != nil }))
	l.Leader().Kill()
	r := bookings(l, 1, "colombo-2")
	is.Equal(r.Violations, nil)
	is.Equal(r.Booked, 20)
}

func TestBookingsGoOnAfterConnectionsFallSilent(t *testing.T) {
	is := is.New(t)
	l := start(t)
	for _, a := range l.Instances {
		for _, b := range l.Instances {
			l.Silence(a.Name, b.Name)
		}
	}
	r := bookings(l, 1, "colombo-2", "kandy-1")
	is.Equal(r.Violations, nil)
	is.Equal(r.Booked, 20)
}

func TestBookingsGoOnAfterADataCentreIsCutOff(t *testing.T) {
	is := is.New(t)
	l := start(t)
	l.CutDataCentre("galle")
	r := bookings(l, 1, "colombo-2", "kandy-1")
	is.Equal(r.Violations, nil)
	is.Equal(r.Booked, 20)
}

func TestDraftsWithoutFaultsAreAllAnswered(t *testing.T) {
	is := is.New(t)
	layout := testLayout(t)
	layout.Emulators = []Emulator{{Name: "emulator", Fleet: twoStageFleet}}
	l := startLayoutWith(t, layout, 5)
	var addresses []string
	for _, i := range l.Instances {
		addresses = append(addresses, i.Callers())
	}
	r := load.Run(context.Background(), load.Options{
		Instances: addresses, Workspace: "kandy", Drafts: 400, MaxTokens: 24, Concurrent: 32, Seed: 1, Deadline: 20 * time.Second,
	})
	is.Equal(r.Violations, nil)
	is.Equal(r.Answered, 400)
}

func TestDraftsAreAnsweredWholeWhileServersAreDrained(t *testing.T) {
	is := is.New(t)
	layout := testLayout(t)
	layout.Emulators = []Emulator{{Name: "emulator", Fleet: twoStageFleet}}
	l := startLayoutWith(t, layout, 5)
	var addresses []string
	for _, i := range l.Instances {
		addresses = append(addresses, i.Callers())
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

// drainInTurn drains one server after the other, and ends each drain, until stop is closed.
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
		case <-time.After(drainPause):
		}
	}
}

const drainPause = 150 * time.Millisecond

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
