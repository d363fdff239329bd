package layers

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// After the loss of servers in one data centre, all its drafts may move to another one at once.
// Transfers on a link queue behind each other, and a queue of seconds delays every draft on it.
func TestInstanceLimitsItselfToItsShareOfAPipe(t *testing.T) {
	is := is.New(t)
	e := mixedEngine()
	p := NewPipes()
	now := time.Unix(1000, 0)
	crossing := Path{{ID: "a1", DataCentre: "a"}, {ID: "b1", DataCentre: "b"}, {ID: "b2", DataCentre: "b"}}
	const instances = 20
	begun := 0
	for range 10_000 { // ten seconds in which every draft would cross data centres
		if p.Wait(now, "a", "b") <= maxPipeWait {
			p.Begin(now, e, usualDraft, crossing, instances)
			begun++
		}
		now = now.Add(time.Millisecond)
	}
	carried := time.Duration(begun*instances) * transferTime(e, usualDraft.tokens())
	is.True(carried <= time.Duration(pipeShare*float64(10*time.Second))+time.Second)
	is.True(carried >= time.Duration(0.9*pipeShare*float64(10*time.Second)))
	is.Equal(p.Wait(now, "b", "a"), time.Duration(0)) // the opposite direction is a separate pipe
}

func TestDraftAvoidsPipeWithALongQueue(t *testing.T) {
	is := is.New(t)
	s := NewSearch(mixedEngine(), holdersOf(threeDataCentres()))
	head := Part{ID: "b-large-0", Address: "b-large-0:1", DataCentre: "b", From: 0, To: 30}
	// Only other data centres hold the layers after the first part.
	query := Query{Draft: usualDraft, Home: "b", Head: head, Avoid: func(id string) bool { return id[0] == 'b' && id != head.ID }}
	path, _, ok := s.Find(query)
	is.True(ok)
	is.Equal(path[0].DataCentre, "b")
	busy := path[1].DataCentre
	is.True(busy != "b")
	query.PipeWait = func(from, to string) time.Duration {
		if from == "b" && to == busy {
			return maxPipeWait + 1
		}
		return 0
	}
	path, _, ok = s.Find(query)
	is.True(ok)
	is.True(path[1].DataCentre != busy && path[1].DataCentre != "b")
	query.PipeWait = func(string, string) time.Duration { return time.Second }
	_, _, ok = s.Find(query)
	is.True(!ok)
}
