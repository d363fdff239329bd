package mesh

import (
	"fmt"
	"testing"

	"github.com/balsamlb/balsamlb/instance/wire"
	"github.com/matryer/is"
)

// Guards against control instances that look through all gateways with each heartbeat while many gateways are cut off, and
// against relays named that are cut off themselves, or gone.
func TestRelaysAreFoundAmongThoseThatTakeRequests(t *testing.T) {
	is := is.New(t)
	m := newTestMesh(t, "10.0.0.5:7")
	report := func(i int, isCutOff bool) *wire.WatchRequest {
		return &wire.WatchRequest{Name: fmt.Sprintf("g%03d", i), DataCentre: fmt.Sprint("z", i%3), RelayAddress: fmt.Sprint("10.2.0.", i), IsCutOff: isCutOff, NeedsRelays: isCutOff}
	}
	var feeds []*feed
	for i := range 195 {
		f, ok := m.NewWatchFeed(report(i, true)).(*feed)
		is.True(ok)
		feeds = append(feeds, f)
	}
	is.Equal(len(m.relaysFor("g000")), 0)
	is.True(testing.AllocsPerRun(100, func() { m.relaysFor("g000") }) == 0)
	feeds[1].HandleRequest(report(1, false))
	feeds[3].HandleRequest(report(3, false))
	relays := m.relaysFor("g000")
	is.Equal(len(relays), 2)
	is.Equal([]string{relays[0].Name, relays[1].Name}, []string{"g003", "g001"}) // its own data centre first
	moved := report(3, false)
	moved.RelayAddress = "10.2.9.9"
	feeds[3].HandleRequest(moved)
	is.Equal(m.relaysFor("g000")[0].Address, "10.2.9.9")
	feeds[3].Close()
	feeds[1].HandleRequest(report(1, true))
	is.Equal(len(m.relaysFor("g000")), 0)
}
