package mesh

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/discovery"
	"github.com/balsamlb/balsamlb/instance/wire"
	"github.com/go-logr/logr/funcr"
	"github.com/matryer/is"
)

// Guards against a log line for each gateway that connects or disconnects while all are cut off from the servers
// (docs/incidents/election-storm.md).
func TestReconnectingGatewaysThatAreCutOffLogFewLines(t *testing.T) {
	is := is.New(t)
	m := newTestMesh(t, "10.0.0.5:7")
	lines := 0
	m.options.Log = funcr.New(func(string, string) { lines++ }, funcr.Options{})
	const gateways = 195
	for range 5 {
		for g := range gateways {
			f := m.NewWatchFeed(&wire.WatchRequest{Name: fmt.Sprint("g", g), Report: 1, IsCutOff: true})
			defer f.Close()
		}
		for g := range gateways / 2 { // connects again before its former connection is found broken
			f := m.NewWatchFeed(&wire.WatchRequest{Name: fmt.Sprint("g", g), Report: 1, IsCutOff: true})
			f.Close()
		}
	}
	is.True(lines > 0)
	is.True(lines <= 4)
}

// Guards against a log line for each server whose state a control instance reports (docs/incidents/election-storm.md).
func TestManyReportedStatesLogFewLines(t *testing.T) {
	is := is.New(t)
	m := newTestMesh(t, "")
	lines := 0
	m.options.Log = funcr.New(func(_, text string) { lines++ }, funcr.Options{})
	now := time.Unix(1000, 0)
	const servers, second = 200, time.Second
	for round := range 10 {
		var list []*wire.AnnouncedServer
		for i := range servers {
			state := discovery.StateReady
			if round%2 == 1 {
				state = discovery.StateDraining
			}
			list = append(list, &wire.AnnouncedServer{Id: fmt.Sprint("s", i), Incarnation: 1, Sequence: uint64(round + 1), Address: fmt.Sprint("10.1.0.", i), State: uint32(state)})
		}
		m.mergeServers(now.Add(time.Duration(round)*second/2), "10.0.0.5:7", list)
	}
	is.Equal(m.reportedStateLog.Begin(math.MaxInt64), 2*servers-maxLinesPerSecond)
	is.True(lines <= 5*(maxLinesPerSecond+1))
}
