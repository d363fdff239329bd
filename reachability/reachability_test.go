package reachability_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/balsamlb/balsamlb/reachability"
	"github.com/matryer/is"
)

// Guards against the incident RECOVER: a gateway that reaches no server blames none.
func TestSampleTellsOwnCutFromCrash(t *testing.T) {
	for _, c := range []struct {
		name     string
		sample   reachability.Sample
		isCutOff bool
		blame    reachability.Blame
	}{
		{"the only server", reachability.Sample{Unreached: 1, IsWhole: true}, false, reachability.BlameCertain},
		{"both of two servers", reachability.Sample{Unreached: 2, IsWhole: true}, true, reachability.BlameNone},
		{"one of two servers", reachability.Sample{Reached: 1, Unreached: 1, IsWhole: true}, false, reachability.BlamePresumed},
		{"one server of many", reachability.Sample{Reached: 5, Unreached: 1}, false, reachability.BlameCertain},
		{"half of the servers", reachability.Sample{Reached: 3, Unreached: 3}, false, reachability.BlamePresumed},
		{"one of many reached", reachability.Sample{Reached: 1, Unreached: 5}, true, reachability.BlameNone},
		{"all that were sampled", reachability.Sample{Unreached: 6}, true, reachability.BlameNone},
		{"too few to tell", reachability.Sample{Unreached: 2}, false, reachability.BlameNone},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(c.sample.IsCutOff(), c.isCutOff)
			is.Equal(c.sample.Blame(), c.blame)
		})
	}
}

// observation is one made-up history: gateways, some of which reach no server or not all of them, before
// servers, some of which are down.
type observation struct {
	gateways, servers int
	cutOff            []bool   // by gateway
	unreached         [][]bool // by gateway and server: a part of the links is broken
	down              []bool   // by server
}

func newObservation(rng *rand.Rand) observation {
	o := observation{gateways: 1 + rng.IntN(400), servers: 2 + rng.IntN(60)}
	cutShare, linkShare, downShare := rng.Float64()*float64(rng.IntN(2)), 0.5*rng.Float64()*float64(rng.IntN(2)), rng.Float64()*float64(rng.IntN(2))
	for range o.gateways {
		o.cutOff = append(o.cutOff, rng.Float64() < cutShare)
		links := make([]bool, o.servers)
		for s := range links {
			links[s] = rng.Float64() < linkShare
		}
		o.unreached = append(o.unreached, links)
	}
	for range o.servers {
		o.down = append(o.down, rng.Float64() < downShare)
	}
	return o
}

func serverName(s int) string { return fmt.Sprintf("s%02d", s) }

func (o observation) reaches(g, s int) bool { return !o.cutOff[g] && !o.unreached[g][s] && !o.down[s] }

// report returns what a gateway says that has tried all servers.
func (o observation) report(g int) reachability.Report {
	sample := reachability.Sample{IsWhole: true}
	var r reachability.Report
	for s := range o.servers {
		if o.reaches(g, s) {
			sample.Reached++
			r.Answering = append(r.Answering, serverName(s))
			continue
		}
		sample.Unreached++
		r.Unresponsive = append(r.Unresponsive, serverName(s))
	}
	r.Unreached = r.Unresponsive
	r.IsCutOff = sample.IsCutOff()
	return r
}

// Guards against the incident RECOVER, for 1 to 400 gateways: servers that answer a gateway are taken from
// none, and servers that answer nobody are avoided by all as soon as two gateways have tried them.
func TestServersAreJudgedByAllObservers(t *testing.T) {
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 21))
		o := newObservation(rng)
		d := reachability.NewDoubts()
		tried := 0 // gateways whose word counts
		for _, g := range rng.Perm(o.gateways) {
			r := o.report(g)
			d.Set(fmt.Sprint("g", g), r)
			if !r.IsCutOff {
				tried++
			}
		}
		unresponsive := d.Unresponsive(o.gateways)
		for s := range o.servers {
			reached := 0
			for g := range o.gateways {
				if o.reaches(g, s) {
					reached++
				}
			}
			isAvoided := slices.Contains(unresponsive, serverName(s))
			if reached > 0 && isAvoided {
				t.Errorf("seed %d: %s answers %d of %d gateways and is avoided by all", seed, serverName(s), reached, o.gateways)
			}
			if reached == 0 && (tried >= 2 || tried == 0) && o.gateways > 1 && !isAvoided {
				t.Errorf("seed %d: %s answers none of %d gateways and is not avoided", seed, serverName(s), o.gateways)
			}
		}
		for g := range o.gateways {
			d.Remove(fmt.Sprint("g", g))
		}
		if left := append(d.Unresponsive(o.gateways), d.Doubted()...); len(left) > 0 {
			t.Errorf("seed %d: %v are left without reports", seed, left)
		}
	}
}
