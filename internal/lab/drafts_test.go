package lab

import (
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/internal/emulate"
	"github.com/balsamlb/balsamlb/internal/load"
	"github.com/balsamlb/balsamlb/operator"
	"github.com/matryer/is"
)

const (
	draftLayers = 30
	draftTokens = 120
	// longTokens make a draft that takes longer than a leaving server is expected to stay.
	longTokens = 600
	// slowTokens make one that is long enough to judge a stage by.
	slowTokens = 250
)

// draftServers are three ranges of layers with two servers each, named by their first layer.
var draftServers = []string{"a-0", "a-1", "b-0", "b-1", "c-0", "c-1"}

func draftAddress(l *Lab, server string) string {
	for i, s := range draftServers {
		if s == server {
			return fmt.Sprintf("%s.1.%d:9000", l.Layout.Net, 100+i)
		}
	}
	return ""
}

// draftFleet returns the fleet file of the process that emulates the named servers; the
// others are its peers.
func draftFleet(own func(server string) bool) string {
	var b strings.Builder
	b.WriteString("[data_centre colombo]\nannounce = $ANNOUNCE(colombo)\n[accelerator small]\ndelay = 150\n")
	for i, s := range draftServers {
		from := 10 * (i / 2)
		fmt.Fprintf(&b, "[server %s]\naddress = $NET.1.%d:9000\ndata_centre = colombo\nmodel = icing-7b\nlayers = %d-%d\nstep = 2000\naccelerator = small\npeer = %t\n",
			s, 100+i, from, from+10, !own(s))
	}
	return b.String()
}

// startDrafts starts a lab whose servers are in one process, or each in its own.
func startDrafts(t *testing.T, separate bool) *Lab {
	t.Helper()
	emulators := []Emulator{{Name: "emulator", Fleet: draftFleet(func(string) bool { return true })}}
	if separate {
		emulators = nil
		for _, s := range draftServers {
			emulators = append(emulators, Emulator{Name: s, Fleet: draftFleet(func(o string) bool { return o == s })})
		}
	}
	l, err := Start(t.Context(), Layout{
		Folder:      t.TempDir(),
		Bin:         bin,
		DataCentres: []DataCentre{{Name: "colombo", Instances: 1, Control: true}},
		Emulators:   emulators,
		Base:        strings.ReplaceAll(base, "layers = 32", fmt.Sprintf("layers = %d", draftLayers)),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	if err := l.WaitServers(t.Context(), len(draftServers)); err != nil {
		t.Fatal(err)
	}
	return l
}

// drafts sends drafts, calls fault once their servers are at work, and returns what the
// caller saw.
func drafts(t *testing.T, l *Lab, count int, fault func()) load.Result {
	t.Helper()
	return draftsOf(t, l, count, draftTokens, fault)
}

func draftsOf(t *testing.T, l *Lab, count, tokens int, fault func()) load.Result {
	t.Helper()
	done := make(chan load.Result, 1)
	go func() {
		done <- load.Run(context.Background(), load.Options{
			Instances: []string{l.Instances[0].Callers()}, Workspace: "kandy", Drafts: count, Concurrent: count,
			MaxTokens: tokens, Seed: 1, Deadline: 25 * time.Second,
		})
	}()
	before := countsOf(l).LayerRuns
	err := l.Wait(t.Context(), "drafts at work", func() bool {
		return countsOf(l).LayerRuns > before+uint64(count*20*draftLayers)
	})
	if err != nil {
		t.Fatal(err)
	}
	fault()
	return <-done
}

// countsOf sums the counts of the emulators that run.
func countsOf(l *Lab) emulate.Summary {
	var parts []emulate.Summary
	seen := make(map[string]bool)
	for _, s := range draftServers {
		process := s
		if _, ok := l.Emulators[s]; !ok {
			process = "emulator"
		}
		if seen[process] {
			continue
		}
		if c, err := emulate.FetchCounts(draftAddress(l, s)); err == nil {
			parts = append(parts, c)
			seen[process] = true
		}
	}
	return emulate.Sum(parts...)
}

// inUse returns a server of the range that has work, such as a-0 for range a.
func inUse(t *testing.T, l *Lab, layers string) string {
	t.Helper()
	s, err := operator.NewClient(l.Instances[0].Operators()).Status()
	if err != nil {
		t.Fatal(err)
	}
	for _, b := range s.Servers {
		if strings.HasPrefix(b.Name, layers) && b.InFlight > 0 {
			return b.Name
		}
	}
	t.Fatalf("no server of range %s has work", layers)
	return ""
}

// checkWhole checks by the engines' counts that every token passed every layer once.
func checkWhole(t *testing.T, l *Lab, drafts, tokens int) emulate.Summary {
	t.Helper()
	is := is.New(t)
	c := countsOf(l)
	is.Equal(c.Violations, []string{})
	is.Equal(len(c.Runs), drafts)
	for _, rr := range c.Runs {
		is.True(c.IsWhole(rr.Request, draftLayers, tokens)) // every token passed every layer once
	}
	return c
}

func TestAStageThatCrashesIsReplacedAlone(t *testing.T) {
	for _, layers := range []string{"a", "b", "c"} {
		t.Run("range "+layers, func(t *testing.T) {
			is := is.New(t)
			l := startDrafts(t, false)
			r := drafts(t, l, 4, func() {
				is.NoErr(emulate.SetFault(draftAddress(l, inUse(t, l, layers)), emulate.Fault{Kind: emulate.FaultCrash}))
			})
			is.Equal(r.Violations, nil)
			is.Equal(r.Answered, 4)
			checkWhole(t, l, 4, draftTokens)
		})
	}
}

func TestTwoStagesThatCrashTogetherAreReplaced(t *testing.T) {
	for _, pair := range []string{"ab", "bc", "ac"} {
		t.Run("ranges "+pair, func(t *testing.T) {
			is := is.New(t)
			l := startDrafts(t, false)
			r := drafts(t, l, 2, func() {
				one, two := inUse(t, l, pair[:1]), inUse(t, l, pair[1:])
				is.NoErr(emulate.SetFault(draftAddress(l, one), emulate.Fault{Kind: emulate.FaultCrash}))
				is.NoErr(emulate.SetFault(draftAddress(l, two), emulate.Fault{Kind: emulate.FaultCrash}))
			})
			is.Equal(r.Violations, nil)
			is.Equal(r.Answered, 2)
		})
	}
}

func TestASilentConnectionIsResumedAndItsServerStays(t *testing.T) {
	is := is.New(t)
	l := startDrafts(t, false)
	for i, layers := range []string{"a", "b", "c"} {
		r := drafts(t, l, 2, func() {
			is.NoErr(emulate.SetFault(draftAddress(l, inUse(t, l, layers)), emulate.Fault{Kind: emulate.FaultSilence}))
		})
		is.Equal(r.Violations, nil)
		is.Equal(r.Answered, 2)
		for _, rr := range checkWhole(t, l, 2*(i+1), draftTokens).Runs {
			is.Equal(rr.Rebuilt, 0) // the server kept its stage
		}
	}
}

func TestALeavingServerHandsItsStagesOn(t *testing.T) {
	is := is.New(t)
	l := startDrafts(t, false)
	imported := 0
	r := draftsOf(t, l, 4, longTokens, func() {
		is.NoErr(emulate.Leave(draftAddress(l, inUse(t, l, "b"))))
	})
	is.Equal(r.Violations, nil)
	is.Equal(r.Answered, 4)
	for _, rr := range checkWhole(t, l, 4, longTokens).Runs {
		imported += rr.Imported
		is.Equal(rr.Rebuilt, 0)
	}
	is.True(imported > 0) // by way of the KV cache
}

func TestFaultyFramesReachNoCaller(t *testing.T) {
	is := is.New(t)
	l := startDrafts(t, false)
	for i, kind := range []emulate.FaultKind{
		emulate.FaultMalformed, emulate.FaultHuge, emulate.FaultForeign, emulate.FaultOldAttempt,
		emulate.FaultDuplicate, emulate.FaultReorder,
	} {
		address := ""
		r := drafts(t, l, 2, func() {
			address = draftAddress(l, inUse(t, l, "c"))
			is.NoErr(emulate.SetFault(address, emulate.Fault{Kind: kind}))
		})
		t.Log(kind, r)
		is.Equal(r.Violations, nil)
		is.Equal(r.Answered, 2)
		checkWhole(t, l, 2*(i+1), draftTokens)
		is.NoErr(emulate.SetFault(address, emulate.Fault{Kind: emulate.FaultNone}))
	}
}

func TestAWrongLayerReportEndsTheStreamWithoutItsMark(t *testing.T) {
	is := is.New(t)
	l := startDrafts(t, false)
	r := drafts(t, l, 1, func() {
		is.NoErr(emulate.SetFault(draftAddress(l, inUse(t, l, "b")), emulate.Fault{Kind: emulate.FaultWrongLayers}))
	})
	is.Equal(r.Answered, 0)
	is.Equal(len(r.Violations), 1)
	is.True(strings.Contains(r.Violations[0], "did not pass every layer once")) // told inside the stream
}

func TestAStageWithoutReplacementIsToldInTheStream(t *testing.T) {
	is := is.New(t)
	l := startDrafts(t, false)
	r := drafts(t, l, 1, func() {
		for _, s := range []string{"b-0", "b-1"} {
			is.NoErr(emulate.SetFault(draftAddress(l, s), emulate.Fault{Kind: emulate.FaultCrash}))
		}
	})
	is.Equal(r.Answered, 0)
	is.Equal(len(r.Violations), 1)
	is.True(strings.Contains(r.Violations[0], "could take it over"))
}

func TestAKilledProcessIsADeadStage(t *testing.T) {
	for _, layers := range []string{"a", "b", "c"} {
		t.Run("range "+layers, func(t *testing.T) {
			is := is.New(t)
			l := startDrafts(t, true)
			killed := ""
			r := drafts(t, l, 2, func() {
				killed = inUse(t, l, layers)
				l.Emulators[killed].Kill()
			})
			is.Equal(r.Violations, nil)
			is.Equal(r.Answered, 2)
			is.Equal(countsOf(l).Violations, []string{})
		})
	}
}

func TestAFrozenProcessIsADeadStage(t *testing.T) {
	is := is.New(t)
	l := startDrafts(t, true)
	r := drafts(t, l, 2, func() { l.Emulators[inUse(t, l, "b")].Freeze() })
	is.Equal(r.Violations, nil)
	is.Equal(r.Answered, 2)
}

func TestASlowFleetBreaksNothing(t *testing.T) {
	is := is.New(t)
	l := startDrafts(t, false)
	r := drafts(t, l, 2, func() {
		for _, s := range draftServers {
			is.NoErr(emulate.SetFault(draftAddress(l, s), emulate.Fault{Kind: emulate.FaultSlowStep, Factor: 5}))
		}
	})
	is.Equal(r.Violations, nil)
	is.Equal(r.Answered, 2)
	checkWhole(t, l, 2, draftTokens)
}

func TestAStageThatBecomesSlowIsLeft(t *testing.T) {
	for _, f := range []emulate.Fault{
		{Kind: emulate.FaultSlowStep, Factor: 20},
		{Kind: emulate.FaultSlowLink, Factor: 100},
	} {
		t.Run(string(f.Kind), func(t *testing.T) {
			is := is.New(t)
			l := startDrafts(t, false)
			slow := ""
			r := draftsOf(t, l, 1, slowTokens, func() {
				slow = inUse(t, l, "b")
				is.NoErr(emulate.SetFault(draftAddress(l, slow), f))
				is.NoErr(l.Wait(t.Context(), "the slow server to be left", func() bool { return !isInUse(t, l, slow) }))
			})
			is.Equal(r.Violations, nil)
			is.Equal(r.Answered, 1)
			for _, rr := range checkWhole(t, l, 1, slowTokens).Runs {
				is.True(rr.Imported > 0) // by way of the KV cache
				is.Equal(rr.Rebuilt, 0)
			}
		})
	}
}

func isInUse(t *testing.T, l *Lab, server string) bool {
	t.Helper()
	s, err := operator.NewClient(l.Instances[0].Operators()).Status()
	if err != nil {
		t.Fatal(err)
	}
	for _, b := range s.Servers {
		if b.Name == server {
			return b.InFlight > 0
		}
	}
	return false
}

func TestACallerThatLeavesEndsTheWorkAtEveryStage(t *testing.T) {
	is := is.New(t)
	l := startDrafts(t, false)
	caller, err := net.Dial("tcp", l.Instances[0].Callers())
	is.NoErr(err)
	body := `{"model": "draft", "prompt": "a cake", "max_tokens": 4000, "stream": true}`
	_, err = fmt.Fprintf(caller, "POST /v1/completions HTTP/1.1\r\nHost: lab\r\nX-Workspace: kandy\r\nX-Deadline-Ms: 600000\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	is.NoErr(err)
	is.NoErr(l.Wait(t.Context(), "the work to begin", func() bool { return countsOf(l).LayerRuns > 0 }))
	is.NoErr(caller.Close())
	is.NoErr(l.Wait(t.Context(), "the work to end", func() bool {
		before := countsOf(l).LayerRuns
		time.Sleep(200 * time.Millisecond)
		return countsOf(l).LayerRuns == before
	}))
	s, err := operator.NewClient(l.Instances[0].Operators()).Status()
	is.NoErr(err)
	for _, b := range s.Servers {
		is.Equal(b.InFlight, 0)
	}
}
