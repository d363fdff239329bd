package lab

import (
	"context"
	"os"
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/internal/load"
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
	l, err := Start(t.Context(), layout)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	if err := l.WaitServers(t.Context(), 2); err != nil {
		t.Fatal(err)
	}
	return l
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
	is.Equal(r.Broken, nil)
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
	is.Equal(r.Broken, nil)
	is.Equal(r.Booked, 20)
}

func TestBookingsGoOnAfterADataCentreIsCutOff(t *testing.T) {
	is := is.New(t)
	l := start(t)
	l.CutDataCentre("galle")
	r := bookings(l, 1, "colombo-2", "kandy-1")
	is.Equal(r.Broken, nil)
	is.Equal(r.Booked, 20)
}
