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

// benchDataCentres are the data centres of the policy benchmarks.
var benchDataCentres = []string{"colombo", "kandy", "galle"}

// fleetFile builds the text of a fleet file, which describes the emulated backend servers.
type fleetFile struct {
	text string
}

// newFleetFile adds the data centres, with a link of random delay between each pair.
func newFleetFile(random *rand.Rand) *fleetFile {
	f := &fleetFile{}
	for i, dc := range benchDataCentres {
		f.appendf("[data_centre %s]\nannounce = $ANNOUNCE(%s)\n", dc, dc)
		for _, other := range benchDataCentres[i+1:] {
			f.appendf("[link %s %s]\ndelay = %d\n", dc, other, 200+random.IntN(800))
		}
	}
	return f
}

func (f *fleetFile) appendf(format string, args ...any) { f.text += fmt.Sprintf(format, args...) }

// acceleratorType describes one type of accelerator.
type acceleratorType struct {
	name       string
	slots      int
	stepMicros int
}

// addServer adds a server. dataCentre is an index into benchDataCentres, index the number of
// the server in its data centre.
func (f *fleetFile) addServer(dataCentre, index int, accelerator acceleratorType, layers fleet.Range) {
	f.appendf("[server %s-%d]\naddress = $NET.%d.%d:9000\ndata_centre = %s\naccelerator = %s\nmodel = %s\nlayers = %d-%d\nstep = %d\nslots = %d\nprefill = 200\n",
		benchDataCentres[dataCentre], index, dataCentre+1, 100+index, benchDataCentres[dataCentre], accelerator.name, benchModel, layers.From, layers.To, accelerator.stepMicros, accelerator.slots)
}

// tunedFleet is the fleet on which the policy was tuned: 24 servers with three types of
// accelerator, each with half of the layers.
func tunedFleet(seed uint64) string {
	random := rand.New(rand.NewPCG(seed, 1))
	accelerators := []acceleratorType{{"a", 8, 40_000}, {"b", 8, 50_000}, {"c", 8, 60_000}}
	f := newFleetFile(random)
	for dataCentre := range benchDataCentres {
		for index := range 8 {
			from := index % 2 * benchLayers / 2
			f.addServer(dataCentre, index, accelerators[index/2%3], fleet.Range{From: from, To: from + benchLayers/2})
		}
	}
	return f.text
}

// unseenFleet has random accelerators, and layer ranges that overlap and don't align: thirds,
// halves and whole models. The policy was not tuned on it, so it shows whether the results
// carry over to another fleet.
func unseenFleet(seed uint64) string {
	random := rand.New(rand.NewPCG(seed, 2))
	cuts := []fleet.Range{{From: 0, To: 10}, {From: 10, To: 22}, {From: 22, To: 32}, {From: 0, To: 16}, {From: 16, To: 32}, {From: 0, To: 22}, {From: 0, To: 32}}
	f := newFleetFile(random)
	for dataCentre := range benchDataCentres {
		for index := range 9 {
			accelerator := acceleratorType{name: string(rune('p' + random.IntN(4))), slots: 4 + random.IntN(8), stepMicros: 30_000 + random.IntN(50_000)}
			f.addServer(dataCentre, index, accelerator, cuts[(index+dataCentre)%len(cuts)])
		}
	}
	return f.text
}

// parseServers returns the servers of a fleet file. It fills in placeholder addresses, which
// the callers don't use.
func parseServers(text string) ([]fleet.BackendServer, error) {
	text = strings.ReplaceAll(text, "$NET", "127.0")
	for _, dc := range benchDataCentres {
		text = strings.ReplaceAll(text, "$ANNOUNCE("+dc+")", "127.0.0.1:1")
	}
	f, err := settings.ParseFleet("fleet", []byte(text))
	return f.Servers, err
}
