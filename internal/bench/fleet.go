package bench

import (
	"fmt"
	"math/rand/v2"
	"strings"

	"github.com/balsamlb/balsamlb/fleet"
	"github.com/balsamlb/balsamlb/settings"
)

const (
	benchModel  = "icing-7b"
	benchLayers = 32
)

// benchCentres are the data centres of the benchmarks of policy.
var benchCentres = []string{"colombo", "kandy", "galle"}

// fleetFile is the file of the emulated backend servers of a benchmark.
type fleetFile struct {
	text string
}

// newFleetFile writes the data centres, with a link of its own between each two.
func newFleetFile(random *rand.Rand) *fleetFile {
	f := &fleetFile{}
	for i, dc := range benchCentres {
		f.add("[data_centre %s]\nannounce = $ANNOUNCE(%s)\n", dc, dc)
		for _, other := range benchCentres[i+1:] {
			f.add("[link %s %s]\ndelay = %d\n", dc, other, 200+random.IntN(800))
		}
	}
	return f
}

func (f *fleetFile) add(format string, args ...any) { f.text += fmt.Sprintf(format, args...) }

// kind is one kind of accelerator.
type kind struct {
	name  string
	slots int
	step  int // µs
}

// serve adds a server; place counts the servers of its data centre.
func (f *fleetFile) serve(centre, place int, k kind, layers fleet.Range) {
	f.add("[server %s-%d]\naddress = $NET.%d.%d:9000\ndata_centre = %s\naccelerator = %s\nmodel = %s\nlayers = %d-%d\nstep = %d\nslots = %d\nprefill = 200\n",
		benchCentres[centre], place, centre+1, 100+place, benchCentres[centre], k.name, benchModel, layers.From, layers.To, k.step, k.slots)
}

// tunedFleet has 24 servers of three kinds that each hold half of the layers.
func tunedFleet(seed uint64) string {
	random := rand.New(rand.NewPCG(seed, 1))
	kinds := []kind{{"a", 8, 40_000}, {"b", 8, 50_000}, {"c", 8, 60_000}}
	f := newFleetFile(random)
	for centre := range benchCentres {
		for place := range 8 {
			from := place % 2 * benchLayers / 2
			f.serve(centre, place, kinds[place/2%3], fleet.Range{From: from, To: from + benchLayers/2})
		}
	}
	return f.text
}

// unseenFleet has other kinds, and ranges that overlap and don't line up: thirds, halves and
// whole models. Nothing was tuned on it.
func unseenFleet(seed uint64) string {
	random := rand.New(rand.NewPCG(seed, 2))
	cuts := []fleet.Range{{From: 0, To: 10}, {From: 10, To: 22}, {From: 22, To: 32}, {From: 0, To: 16}, {From: 16, To: 32}, {From: 0, To: 22}, {From: 0, To: 32}}
	f := newFleetFile(random)
	for centre := range benchCentres {
		for place := range 9 {
			k := kind{name: string(rune('p' + random.IntN(4))), slots: 4 + random.IntN(8), step: 30_000 + random.IntN(50_000)}
			f.serve(centre, place, k, cuts[(place+centre)%len(cuts)])
		}
	}
	return f.text
}

// parsed returns the servers of a fleet file; the addresses don't matter.
func parsed(text string) ([]fleet.BackendServer, error) {
	text = strings.ReplaceAll(text, "$NET", "127.0")
	for _, dc := range benchCentres {
		text = strings.ReplaceAll(text, "$ANNOUNCE("+dc+")", "127.0.0.1:1")
	}
	f, err := settings.ParseFleet("fleet", []byte(text))
	return f.Servers, err
}
