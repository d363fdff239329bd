package route

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/fleet"
	_ "github.com/balsamlb/balsamlb/internal/seeded"
	"github.com/balsamlb/balsamlb/pipeline"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1_000_000, 0)

func server(name string, from, to int) fleet.BackendServer {
	return fleet.BackendServer{
		Name: name, Incarnation: 1, Sequence: 1, DataCentre: "kandy", Model: "icing-7b", Services: []string{"stock"},
		Layers: fleet.Range{From: from, To: to}, Slots: 8, StepMicros: 4000, PrefillMicros: 50,
	}
}

func draft() Draft { return Draft{Model: "icing-7b", Layers: 32, PromptTokens: 10, MaxTokens: 32} }

// randomFleet returns servers with overlapping ranges in two data centres.
func randomFleet(t *rapid.T) []fleet.BackendServer {
	var servers []fleet.BackendServer
	for i := range rapid.IntRange(1, 12).Draw(t, "servers") {
		from := 8 * rapid.IntRange(0, 3).Draw(t, "from")
		s := server(fmt.Sprintf("s%d", i), from, from+8*rapid.IntRange(1, (32-from)/8).Draw(t, "length"))
		s.PartialRange = rapid.Bool().Draw(t, "partial")
		s.StepMicros = 1000 * rapid.IntRange(1, 9).Draw(t, "step")
		s.DataCentre = rapid.SampledFrom([]string{"kandy", "galle"}).Draw(t, "dc")
		servers = append(servers, s)
	}
	return servers
}

func TestChainCoversEveryLayerOnceIfPlanFindsAChain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		servers := randomFleet(t)
		r := New(Options{DataCentre: "kandy", Seed: 1})
		c, err := r.Chain(epoch, draft(), servers)
		naive, naiveErr := pipeline.Plan(servers, 32, func(pipeline.Stage) time.Duration { return 1 })
		if naiveErr != nil {
			is.True(err != nil)
			return
		}
		if _, repeated := repeatedServer(naive); repeated {
			return
		}
		is.NoErr(err)
		at := 0
		names := map[string]bool{}
		for _, st := range c.Chain {
			is.Equal(st.Layers.From, at)
			is.True(canRun(&st.Server, st.Layers))
			is.True(!names[st.Server.Name])
			names[st.Server.Name] = true
			at = st.Layers.To
		}
		is.Equal(at, 32)
	})
}

// The cost of the chain may exceed that of the cheapest possible chain only by the margin within
// which costs count as nearly equal.
func TestChainCostIsNearlyTheLowest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		servers := randomFleet(t)
		r := New(Options{DataCentre: "kandy", Seed: 1})
		c, err := r.Chain(epoch, draft(), servers)
		if err != nil {
			return
		}
		best := cheapestCost(r, servers, 0, "kandy", nil)
		limit := time.Duration(float64(best)*nearlyEqualFactor) + time.Duration(len(c.Chain))*nearlyEqualMargin
		is.True(chainCost(r, c.Chain) <= limit)
	})
}

func chainCost(r *Router, chain pipeline.Chain) time.Duration {
	dc := r.dataCentre
	var total time.Duration
	for _, st := range chain {
		total += stageTotal(r, &st.Server, st.Layers, dc)
		dc = st.Server.DataCentre
	}
	return total + r.links.between(dc, r.dataCentre).Delay*32
}

func stageTotal(r *Router, s *fleet.BackendServer, layers fleet.Range, from string) time.Duration {
	c := r.stageCost(epoch, draft(), s).scaled(float64(layers.Len()) / float64(s.Layers.Len()))
	return c.total() + 32*(r.links.between(from, s.DataCentre).transferTime(activationBytes)+stageOverhead)
}

// cheapestCost returns the cost of the cheapest chain, found by trying every chain.
func cheapestCost(r *Router, servers []fleet.BackendServer, at int, dc string, used []string) time.Duration {
	if at == 32 {
		return r.links.between(dc, r.dataCentre).Delay * 32
	}
	best := time.Duration(1 << 60)
	for i := range servers {
		s := &servers[i]
		if slices.Contains(used, s.Name) {
			continue
		}
		for q := at + 8; q <= 32; q += 8 {
			layers := fleet.Range{From: at, To: q}
			if !canRun(s, layers) {
				continue
			}
			rest := cheapestCost(r, servers, q, s.DataCentre, append(slices.Clone(used), s.Name))
			best = min(best, stageTotal(r, s, layers, dc)+rest)
		}
	}
	return best
}

// Many routers see the same reports and choose at the same time. No server, not even the one that
// reports less load, may get much more than its share.
func TestRoutersWithTheSameReportsSpreadTheirChoices(t *testing.T) {
	is := is.New(t)
	var servers []fleet.BackendServer
	for i := range 10 {
		s := server(fmt.Sprintf("s%d", i), 0, 32)
		s.Load = fleet.Load{Running: 1}
		servers = append(servers, s)
	}
	servers[7].Load.Running = 0
	counts := map[string]int{}
	for seed := range uint64(100) {
		r := New(Options{DataCentre: "kandy", Seed: seed})
		for range 10 {
			c, err := r.Call(epoch, "stock", servers, nil)
			is.NoErr(err)
			r.Started(epoch, c.Chosen.Name)
			counts[c.Chosen.Name]++
		}
	}
	for name, n := range counts {
		is.True(n < 250) // an equal share is 100
		_ = name
	}
}

// Seven routers send servers requests that last 3 s, based on reports that are 400 to 800 ms old.
// The load of the servers must stay balanced instead of oscillating with the reports.
func TestRoutersWithLateReportsKeepServersBalanced(t *testing.T) {
	is := is.New(t)
	const (
		routers      = 7
		count        = 10
		tick         = 100 * time.Millisecond
		requestTicks = 30
		reportTicks  = 4
		ticks        = 300
	)
	var all []*Router
	for i := range routers {
		r := New(Options{DataCentre: "kandy", Seed: uint64(i)})
		r.SetRouters(routers)
		all = append(all, r)
	}
	var servers []fleet.BackendServer
	for i := range count {
		servers = append(servers, server(fmt.Sprint("s", i), 0, 32))
	}
	type request struct{ router, server, ends int }
	var running []request
	counts := make([]int, count)
	reported := make([]int, count)
	maxDifference := 0
	for n := range ticks {
		now := epoch.Add(time.Duration(n) * tick)
		running = slices.DeleteFunc(running, func(req request) bool {
			if req.ends != n {
				return false
			}
			all[req.router].Ended(servers[req.server].Name)
			counts[req.server]--
			return true
		})
		if n%reportTicks == 0 {
			for i := range servers {
				servers[i].Load.Running = reported[i]
				reported[i] = counts[i]
			}
		}
		for i, r := range all {
			c, err := r.Chain(now, draft(), servers)
			is.NoErr(err)
			at := slices.IndexFunc(servers, func(s fleet.BackendServer) bool { return s.Name == c.Chain[0].Server.Name })
			r.Started(now, servers[at].Name)
			counts[at]++
			running = append(running, request{i, at, n + requestTicks})
		}
		if n > 2*requestTicks {
			maxDifference = max(maxDifference, slices.Max(counts)-slices.Min(counts))
		}
	}
	mean := routers * requestTicks / count
	t.Log("largest difference between two servers:", maxDifference, "requests; mean per server:", mean)
	is.True(maxDifference < mean/2)
}

func TestLocalStartsSinceTheReportAreCounted(t *testing.T) {
	is := is.New(t)
	r := New(Options{DataCentre: "kandy", Seed: 1})
	s := server("a", 0, 32)
	s.Load.Running = 2
	is.Equal(r.estimateRequests(epoch, &s, 1), 2.0)
	for range 5 {
		r.Started(epoch, "a")
	}
	is.Equal(r.estimateRequests(epoch, &s, 1), 7.0)
	// The next report counts two requests of other instances. It was made before the server could
	// count the five starts.
	s.Sequence = 2
	is.Equal(r.estimateRequests(epoch.Add(100*time.Millisecond), &s, 1), 7.0)
	// A later report counts them.
	s.Sequence = 3
	s.Load.Running = 7
	is.Equal(r.estimateRequests(epoch.Add(time.Second), &s, 1), 7.0)
	// A changed load is taken into account even without a new sequence.
	s.Load.Running = 17
	is.Equal(r.estimateRequests(epoch.Add(time.Second), &s, 1), 8.0)
	s.Load.Running = 7
	is.Equal(r.estimateRequests(epoch.Add(time.Second), &s, 1), 7.9)
	r.Ended("a")
	is.Equal(r.estimateRequests(epoch.Add(time.Second), &s, 1), 6.9)
}

func TestSlowServerIsAvoidedAndTriedAgain(t *testing.T) {
	is := is.New(t)
	r := New(Options{DataCentre: "kandy", Seed: 1})
	servers := []fleet.BackendServer{server("a", 0, 32), server("b", 0, 32)}
	for range 5 {
		r.ObserveStep(epoch, servers[0], time.Millisecond, 4*time.Millisecond)
		r.ObserveStep(epoch, servers[1], time.Millisecond, time.Millisecond)
	}
	for range 50 {
		c, err := r.Chain(epoch, draft(), servers)
		is.NoErr(err)
		is.Equal(c.Chain[0].Server.Name, "b")
	}
	later := epoch.Add(10 * slowdownHalfLife)
	tried := false
	for range 50 {
		c, err := r.Chain(later, draft(), servers)
		is.NoErr(err)
		tried = tried || c.Chain[0].Server.Name == "a"
	}
	is.True(tried)
}

func TestSlowdownOfAllServersIsIgnored(t *testing.T) {
	is := is.New(t)
	r := New(Options{DataCentre: "kandy", Seed: 1})
	servers := []fleet.BackendServer{server("a", 0, 32), server("b", 0, 32), server("c", 0, 32)}
	for i := range 60 {
		r.ObserveStep(epoch, servers[i%3], time.Millisecond, time.Duration(3+i%2)*time.Millisecond)
	}
	for i := range servers {
		is.Equal(r.stepSlowdowns.ratio(epoch.Add(medianInterval), &servers[i]), 1.0)
	}
}

func TestCachedPrefixHintDecays(t *testing.T) {
	is := is.New(t)
	r := New(Options{DataCentre: "kandy", Seed: 1})
	servers := []fleet.BackendServer{server("a", 0, 32), server("b", 0, 32)}
	d := draft()
	d.PromptTokens = 2000
	d.MaxTokens = 1
	d.Prefix = 7
	r.Cached(epoch, "b", 7, 2000)
	c, err := r.Chain(epoch, d, servers)
	is.NoErr(err)
	is.Equal(c.Chain[0].Server.Name, "b")
	is.Equal(c.Reason, ReasonPrefix)
	// A queue that is reported several times outweighs the hint.
	servers[1].Load.Running = 16
	for range 10 {
		servers[1].Sequence++
		r.estimateRequests(epoch, &servers[1], 1)
	}
	c, err = r.Chain(epoch, d, servers)
	is.NoErr(err)
	is.Equal(c.Chain[0].Server.Name, "a")
	is.True(r.prefixes.expectedTokens(epoch.Add(10*prefixHalfLife), "b", 7, 2000) < 10)
}

func TestReplacementCanRunTheStageAndIsNotInTheChain(t *testing.T) {
	is := is.New(t)
	r := New(Options{DataCentre: "kandy", Seed: 1})
	servers := []fleet.BackendServer{server("a", 0, 16), server("b", 16, 32), server("c", 16, 32), server("d", 0, 32), server("e", 8, 32)}
	servers[3].PartialRange = true
	chain := pipeline.Chain{{Server: servers[0], Layers: servers[0].Layers}, {Server: servers[1], Layers: servers[1].Layers}}
	seen := map[string]bool{}
	for range 100 {
		c, err := r.Replacement(epoch, draft(), chain, 1, servers)
		is.NoErr(err)
		seen[c.Chosen.Name] = true
	}
	is.True(!seen["a"] && !seen["b"] && !seen["e"])
	d := draft()
	d.Exclude = []string{"c", "d"}
	_, err := r.Replacement(epoch, d, chain, 1, servers)
	is.True(err != nil)
}

func TestChainUsesEachServerOnce(t *testing.T) {
	is := is.New(t)
	r := New(Options{DataCentre: "kandy", Seed: 1})
	servers := []fleet.BackendServer{server("a", 0, 32), server("b", 8, 16), server("c", 16, 32)}
	servers[0].PartialRange = true
	servers[0].StepMicros = 32_000
	servers[1].StepMicros = 100
	servers[2].StepMicros = 100_000
	c, err := r.Chain(epoch, draft(), servers)
	is.NoErr(err)
	_, repeated := repeatedServer(c.Chain)
	is.True(!repeated)
}

func BenchmarkChain(b *testing.B) {
	for _, n := range []int{40, 667, 4000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			random := rand.New(rand.NewPCG(1, 1))
			var servers []fleet.BackendServer
			for i := range n {
				from := 4 * random.IntN(8)
				s := server(fmt.Sprintf("s%d", i), from, from+4*(1+random.IntN((32-from)/4)))
				s.PartialRange = i%4 == 0
				s.DataCentre = []string{"kandy", "galle", "colombo"}[i%3]
				servers = append(servers, s)
			}
			r := New(Options{DataCentre: "kandy", Seed: 1})
			for b.Loop() {
				if _, err := r.Chain(epoch, draft(), servers); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
