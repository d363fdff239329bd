package drain

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/fleet"
	_ "github.com/balsamlb/balsamlb/internal/seeded"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1_000_000, 0)

func server(name, dc string, from, to int) Server {
	return Server{BackendServer: fleet.BackendServer{
		Name: name, DataCentre: dc, Model: "icing-7b", Layers: fleet.Range{From: from, To: to}, Slots: 8,
	}}
}

func move(dc string) Move {
	return Move{Name: "m", Service: "draft", Model: "icing-7b", Layers: 32, DataCentre: dc, Start: epoch, Date: epoch.Add(100 * time.Hour)}
}

// A complete move never leaves a layer without a server, keeps enough capacity for the present
// work, drains one server at a time, and ends before its date.
func TestMoveKeepsCapacityAndEndsInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		var f Fleet
		for i := range rapid.IntRange(1, 6).Draw(t, "old") {
			f.Servers = append(f.Servers, server(fmt.Sprint("old-a", i), "kandy", 0, 16), server(fmt.Sprint("old-b", i), "kandy", 16, 32))
		}
		newServers := rapid.IntRange(1, 4).Draw(t, "new")
		for i := range newServers {
			f.Servers = append(f.Servers, server(fmt.Sprint("new", i), "galle", 0, 32))
		}
		// The remaining servers have capacity for the work.
		work := rapid.IntRange(0, newServers*8*4/5).Draw(t, "work")
		m := move("kandy")
		for now := epoch; ; now = now.Add(time.Hour) {
			is.True(now.Before(m.Date)) // ends before its date
			p := Evaluate(now, m, f)
			if p.IsDone() {
				return
			}
			is.True(p.Risk == RiskNone || p.Risk == RiskLate)
			draining := 0
			for i := range f.Servers {
				s := &f.Servers[i]
				s.Load.Running = work / len(f.Servers)
				if s.Name == p.Next {
					s.DrainedAt = now
					s.InFlight = 1
				} else if s.isDrained() {
					s.InFlight = 0
				}
				if s.isDrained() && s.InFlight > 0 {
					draining++
				}
			}
			is.True(draining <= 1)
			left := m.capacity("", f)
			is.True(left > 0 && left >= work)
		}
	})
}

func TestMoveThatWouldUncoverALayerIsBlockedAndWarns(t *testing.T) {
	is := is.New(t)
	f := Fleet{Servers: []Server{server("a", "kandy", 0, 16), server("b", "galle", 16, 32)}}
	p := Evaluate(epoch.Add(time.Hour), move("kandy"), f)
	is.Equal(p.Next, "")
	is.Equal(p.Risk, RiskLayers)
}

func TestMoveWaitsForCapacity(t *testing.T) {
	is := is.New(t)
	f := Fleet{Servers: []Server{server("a", "kandy", 0, 32), server("b", "galle", 0, 32)}}
	f.Servers[1].Load.Running = 7
	p := Evaluate(epoch.Add(time.Hour), move("kandy"), f)
	is.Equal(p.Next, "")
	is.Equal(p.Risk, RiskCapacity)
}

func TestMoveIsSpreadOverTheTimeToItsDate(t *testing.T) {
	is := is.New(t)
	f := Fleet{Servers: []Server{server("a", "kandy", 0, 32), server("b", "kandy", 0, 32), server("c", "galle", 0, 32)}}
	is.Equal(Evaluate(epoch.Add(-time.Hour), move("kandy"), f).Next, "")
	is.Equal(Evaluate(epoch, move("kandy"), f).Next, "a")
	f.Servers[0].DrainedAt = epoch
	is.Equal(Evaluate(epoch.Add(time.Hour), move("kandy"), f).Next, "")
	f.Servers[0].InFlight = 1
	is.Equal(Evaluate(epoch.Add(50*time.Hour), move("kandy"), f).Next, "") // one at a time
	f.Servers[0].InFlight = 0
	is.Equal(Evaluate(epoch.Add(50*time.Hour), move("kandy"), f).Next, "b")
}

func TestLateForecastIsReportedAsARisk(t *testing.T) {
	is := is.New(t)
	f := Fleet{Servers: []Server{server("c", "galle", 0, 32)}}
	for i := range 10 {
		f.Servers = append(f.Servers, server(fmt.Sprint("s", i), "kandy", 0, 32))
	}
	f.Servers[1].DrainedAt = epoch
	p := Evaluate(epoch.Add(20*time.Hour), move("kandy"), f)
	is.Equal(p.Done, 1)
	is.Equal(p.Forecast, epoch.Add(200*time.Hour))
	is.Equal(p.Risk, RiskLate)
	is.Equal(Evaluate(epoch.Add(101*time.Hour), move("kandy"), f).Risk, RiskOverdue)
}

func TestDepartedServersCountAsDone(t *testing.T) {
	is := is.New(t)
	m := move("")
	m.Servers = []string{"a", "b"}
	f := Fleet{Servers: []Server{server("b", "kandy", 0, 32), server("c", "galle", 0, 32)}, Departed: map[string]Departure{"a": {DrainedAt: epoch}, "z": {DrainedAt: epoch}}}
	p := Evaluate(epoch.Add(time.Hour), m, f)
	is.Equal(p.Total, 2)
	is.Equal(p.Done, 1)
}

// Guards against a move of a data centre that drains everything at once: servers that had departed no
// longer counted, so it always looked as if none had been drained yet.
func TestDepartedServersOfADataCentreKeepThePace(t *testing.T) {
	is := is.New(t)
	const servers = 10
	m := move("kandy")
	f := Fleet{Servers: []Server{server("stays", "galle", 0, 32)}, Departed: map[string]Departure{"other": {DrainedAt: epoch, Move: "another"}}}
	for i := range servers {
		f.Servers = append(f.Servers, server(fmt.Sprint("old", i), "kandy", 0, 32))
	}
	for hour := range 100 {
		now := epoch.Add(time.Duration(hour) * time.Hour)
		p := Evaluate(now, m, f)
		is.Equal(p.Total, servers)
		is.True(p.Drained <= hour*servers/90+1) // spread over nine tenths of the time
		if p.Next != "" {
			// It is idle and gone by the next hour.
			f.Servers = slices.DeleteFunc(f.Servers, func(s Server) bool { return s.Name == p.Next })
			f.Departed[p.Next] = Departure{DrainedAt: now, Move: m.Name}
		}
	}
	p := Evaluate(m.Date, m, f)
	is.Equal(p.Done, servers)
	is.Equal(p.Risk, RiskNone)
}

func TestServerWhoseDrainLeavesTheMostCapacityIsDrainedFirst(t *testing.T) {
	is := is.New(t)
	f := Fleet{Servers: []Server{
		server("a", "kandy", 16, 32), server("b", "kandy", 0, 16), server("c", "kandy", 0, 16), server("stays", "galle", 0, 32),
	}}
	is.Equal(Evaluate(epoch, move("kandy"), f).Next, "b")
	f.Servers[1].InFlight = 3
	is.Equal(Evaluate(epoch, move("kandy"), f).Next, "c")
}

// plainServer returns a server of the plain service stock.
func plainServer(name, dc string) Server {
	return Server{BackendServer: fleet.BackendServer{Name: name, DataCentre: dc, Services: []string{"stock"}, Slots: 8}}
}

// Guards against a leader that panics on a move of a plain service whose section names a model: it has no
// layers.
func TestMoveOfAServiceWithAModelButNoLayers(t *testing.T) {
	is := is.New(t)
	m := move("kandy")
	m.Service, m.Layers = "stock", 0
	f := Fleet{Servers: []Server{plainServer("old", "kandy"), plainServer("new", "galle")}}
	for i := range f.Servers {
		f.Servers[i].Model = m.Model
	}
	p := Evaluate(epoch, m, f)
	is.Equal(p.Total, 1)
	is.Equal(p.Next, "old")
}

// Guards against a wrong reason: a plain service has no layers that the servers that stay don't cover.
func TestMoveOfTheLastPlainServerLacksCapacity(t *testing.T) {
	is := is.New(t)
	m := move("kandy")
	m.Service, m.Model, m.Layers = "stock", "", 0
	p := Evaluate(epoch, m, Fleet{Servers: []Server{plainServer("last", "kandy")}})
	is.Equal(p.Next, "")
	is.Equal(p.Risk, RiskCapacity)
}
