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
	// longDraftTokens is the length of a draft that outlasts the time for which a leaving server
	// is expected to stay.
	longDraftTokens = 600
	// slowStageTokens is the length of a draft that runs long enough for a slow stage to be
	// detected.
	slowStageTokens = 250
)

// draftServers are the servers of three ranges of layers, a, b and c, with two servers each.
var draftServers = []string{"a-0", "a-1", "b-0", "b-1", "c-0", "c-1"}

func draftAddress(l *Lab, server string) string {
	for i, s := range draftServers {
		if s == server {
			return fmt.Sprintf("%s.1.%d:9000", l.Layout.Network, 100+i)
		}
	}
	return ""
}

// draftFleet returns the fleet file of a process that emulates the servers for which isLocal
// returns true. The others are its peers.
func draftFleet(isLocal func(server string) bool) string {
	var b strings.Builder
	b.WriteString("[data_centre colombo]\nannounce = $ANNOUNCE(colombo)\n[accelerator small]\ndelay = 150\n")
	for i, s := range draftServers {
		from := 10 * (i / 2)
		fmt.Fprintf(&b, "[server %s]\naddress = $NET.1.%d:9000\ndata_centre = colombo\nmodel = icing-7b\nlayers = %d-%d\nstep = 2000\naccelerator = small\npeer = %t\n",
			s, 100+i, from, from+10, !isLocal(s))
	}
	return b.String()
}

// startDraftLab starts a lab whose servers run in one process, or in one process each if
// separate is true.
func startDraftLab(t *testing.T, separate bool) *Lab {
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
		BinFolder:   binFolder,
		DataCentres: []DataCentre{{Name: "colombo", Instances: 1, Control: true}},
		Emulators:   emulators,
		Base:        strings.ReplaceAll(baseConfig, "layers = 32", fmt.Sprintf("layers = %d", draftLayers)),
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

// runDrafts sends drafts, calls fault once their servers run them, and returns the caller's
// results.
func runDrafts(t *testing.T, l *Lab, count int, fault func()) load.Result {
	t.Helper()
	return runDraftsOfLength(t, l, count, draftTokens, fault)
}

func runDraftsOfLength(t *testing.T, l *Lab, count, tokens int, fault func()) load.Result {
	t.Helper()
	done := make(chan load.Result, 1)
	go func() {
		done <- load.Run(context.Background(), load.Options{
			Instances: []string{l.Instances[0].CallerAddress()}, Workspace: "kandy", Drafts: count, Concurrent: count,
			MaxTokens: tokens, Seed: 1, Deadline: 25 * time.Second,
		})
	}()
	before := fetchCounts(l).LayerRuns
	err := l.Wait(t.Context(), "the servers to run the drafts", func() bool {
		return fetchCounts(l).LayerRuns > before+uint64(count*20*draftLayers)
	})
	if err != nil {
		t.Fatal(err)
	}
	fault()
	return <-done
}

// fetchCounts returns the sum of the counts of all emulator processes that answer.
func fetchCounts(l *Lab) emulate.Summary {
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

// busyServer returns a server of the range that has requests in flight, such as a-0 for range a.
func busyServer(t *testing.T, l *Lab, layers string) string {
	t.Helper()
	s, err := operator.NewClient(l.Instances[0].OperatorAddress()).Status()
	if err != nil {
		t.Fatal(err)
	}
	for _, b := range s.Servers {
		if strings.HasPrefix(b.Name, layers) && b.InFlight > 0 {
			return b.Name
		}
	}
	t.Fatalf("no server of range %s has requests in flight", layers)
	return ""
}

// checkExactlyOnce checks by the engines' counts that every token passed every layer exactly
// once, in order.
func checkExactlyOnce(t *testing.T, l *Lab, drafts, tokens int) emulate.Summary {
	t.Helper()
	is := is.New(t)
	c := fetchCounts(l)
	is.Equal(c.Violations, []string{})
	is.Equal(len(c.Runs), drafts)
	for _, rr := range c.Runs {
		is.True(c.RanExactlyOnce(rr.Request, draftLayers, tokens)) // every token passed every layer exactly once
	}
	return c
}

func TestCrashedStageIsReplaced(t *testing.T) {
	for _, layers := range []string{"a", "b", "c"} {
		t.Run("range "+layers, func(t *testing.T) {
			is := is.New(t)
			l := startDraftLab(t, false)
			r := runDrafts(t, l, 4, func() {
				is.NoErr(emulate.SetFault(draftAddress(l, busyServer(t, l, layers)), emulate.Fault{Kind: emulate.FaultCrash}))
			})
			is.Equal(r.Violations, nil)
			is.Equal(r.Answered, 4)
			checkExactlyOnce(t, l, 4, draftTokens)
		})
	}
}

func TestTwoStagesCrashingTogetherAreReplaced(t *testing.T) {
	for _, pair := range []string{"ab", "bc", "ac"} {
		t.Run("ranges "+pair, func(t *testing.T) {
			is := is.New(t)
			l := startDraftLab(t, false)
			r := runDrafts(t, l, 2, func() {
				one, two := busyServer(t, l, pair[:1]), busyServer(t, l, pair[1:])
				is.NoErr(emulate.SetFault(draftAddress(l, one), emulate.Fault{Kind: emulate.FaultCrash}))
				is.NoErr(emulate.SetFault(draftAddress(l, two), emulate.Fault{Kind: emulate.FaultCrash}))
			})
			is.Equal(r.Violations, nil)
			is.Equal(r.Answered, 2)
		})
	}
}

func TestSilentConnectionIsResumedOnSameServer(t *testing.T) {
	is := is.New(t)
	l := startDraftLab(t, false)
	for i, layers := range []string{"a", "b", "c"} {
		r := runDrafts(t, l, 2, func() {
			is.NoErr(emulate.SetFault(draftAddress(l, busyServer(t, l, layers)), emulate.Fault{Kind: emulate.FaultSilence}))
		})
		is.Equal(r.Violations, nil)
		is.Equal(r.Answered, 2)
		for _, rr := range checkExactlyOnce(t, l, 2*(i+1), draftTokens).Runs {
			is.Equal(rr.Rebuilt, 0) // the stage stayed on its server
		}
	}
}

func TestLeavingServerHandsOverStages(t *testing.T) {
	is := is.New(t)
	l := startDraftLab(t, false)
	imported := 0
	r := runDraftsOfLength(t, l, 4, longDraftTokens, func() {
		is.NoErr(emulate.Leave(draftAddress(l, busyServer(t, l, "b"))))
	})
	is.Equal(r.Violations, nil)
	is.Equal(r.Answered, 4)
	for _, rr := range checkExactlyOnce(t, l, 4, longDraftTokens).Runs {
		imported += rr.Imported
		is.Equal(rr.Rebuilt, 0)
	}
	is.True(imported > 0) // the new servers imported the KV cache
}

func TestFaultyFramesAreFiltered(t *testing.T) {
	is := is.New(t)
	l := startDraftLab(t, false)
	for i, kind := range []emulate.FaultKind{
		emulate.FaultMalformed, emulate.FaultHuge, emulate.FaultForeign, emulate.FaultOldAttempt,
		emulate.FaultDuplicate, emulate.FaultReorder,
	} {
		address := ""
		r := runDrafts(t, l, 2, func() {
			address = draftAddress(l, busyServer(t, l, "c"))
			is.NoErr(emulate.SetFault(address, emulate.Fault{Kind: kind}))
		})
		t.Log(kind, r)
		is.Equal(r.Violations, nil)
		is.Equal(r.Answered, 2)
		checkExactlyOnce(t, l, 2*(i+1), draftTokens)
		is.NoErr(emulate.SetFault(address, emulate.Fault{Kind: emulate.FaultNone}))
	}
}

// Guards against drafts that wait for a stage whose server answers with heads that HTTP doesn't allow.
func TestDraftsAreAnsweredBesideServersWithBrokenHeads(t *testing.T) {
	is := is.New(t)
	l := startDraftLab(t, false)
	for _, s := range []string{"a-0", "b-0", "c-0"} {
		is.NoErr(emulate.SetFault(draftAddress(l, s), emulate.Fault{Kind: emulate.FaultBrokenHead}))
	}
	r := runDrafts(t, l, 4, func() {})
	t.Log(r)
	is.Equal(r.Violations, nil)
	is.Equal(r.Answered, 4)
	checkExactlyOnce(t, l, 4, draftTokens)
}

func TestWrongLayerReportFailsStream(t *testing.T) {
	is := is.New(t)
	l := startDraftLab(t, false)
	r := runDrafts(t, l, 1, func() {
		is.NoErr(emulate.SetFault(draftAddress(l, busyServer(t, l, "b")), emulate.Fault{Kind: emulate.FaultWrongLayers}))
	})
	is.Equal(r.Answered, 0)
	is.Equal(len(r.Violations), 1)
	is.True(strings.Contains(r.Violations[0], "did not pass every layer once")) // the text of the error event in the stream
}

func TestStageWithoutReplacementFailsStream(t *testing.T) {
	is := is.New(t)
	l := startDraftLab(t, false)
	r := runDrafts(t, l, 1, func() {
		for _, s := range []string{"b-0", "b-1"} {
			is.NoErr(emulate.SetFault(draftAddress(l, s), emulate.Fault{Kind: emulate.FaultCrash}))
		}
	})
	is.Equal(r.Answered, 0)
	is.Equal(len(r.Violations), 1)
	is.True(strings.Contains(r.Violations[0], "could take it over"))
}

func TestKilledServerProcessIsReplaced(t *testing.T) {
	for _, layers := range []string{"a", "b", "c"} {
		t.Run("range "+layers, func(t *testing.T) {
			is := is.New(t)
			l := startDraftLab(t, true)
			killed := ""
			r := runDrafts(t, l, 2, func() {
				killed = busyServer(t, l, layers)
				l.Emulators[killed].Kill()
			})
			is.Equal(r.Violations, nil)
			is.Equal(r.Answered, 2)
			is.Equal(fetchCounts(l).Violations, []string{})
		})
	}
}

func TestFrozenServerProcessIsReplaced(t *testing.T) {
	is := is.New(t)
	l := startDraftLab(t, true)
	r := runDrafts(t, l, 2, func() { l.Emulators[busyServer(t, l, "b")].Freeze() })
	is.Equal(r.Violations, nil)
	is.Equal(r.Answered, 2)
}

func TestSlowFleetFailsNoDraft(t *testing.T) {
	is := is.New(t)
	l := startDraftLab(t, false)
	r := runDrafts(t, l, 2, func() {
		for _, s := range draftServers {
			is.NoErr(emulate.SetFault(draftAddress(l, s), emulate.Fault{Kind: emulate.FaultSlowStep, Factor: 5}))
		}
	})
	is.Equal(r.Violations, nil)
	is.Equal(r.Answered, 2)
	checkExactlyOnce(t, l, 2, draftTokens)
}

func TestSlowStageIsReplaced(t *testing.T) {
	for _, f := range []emulate.Fault{
		{Kind: emulate.FaultSlowStep, Factor: 20},
		{Kind: emulate.FaultSlowLink, Factor: 100},
	} {
		t.Run(string(f.Kind), func(t *testing.T) {
			is := is.New(t)
			l := startDraftLab(t, false)
			slow := ""
			r := runDraftsOfLength(t, l, 1, slowStageTokens, func() {
				slow = busyServer(t, l, "b")
				is.NoErr(emulate.SetFault(draftAddress(l, slow), f))
				is.NoErr(l.Wait(t.Context(), "the draft to move off the slow server", func() bool { return !isBusy(t, l, slow) }))
			})
			is.Equal(r.Violations, nil)
			is.Equal(r.Answered, 1)
			for _, rr := range checkExactlyOnce(t, l, 1, slowStageTokens).Runs {
				is.True(rr.Imported > 0) // the new server imported the KV cache
				is.Equal(rr.Rebuilt, 0)
			}
		})
	}
}

// isBusy reports whether the server has requests in flight.
func isBusy(t *testing.T, l *Lab, server string) bool {
	t.Helper()
	s, err := operator.NewClient(l.Instances[0].OperatorAddress()).Status()
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

func TestDisconnectedCallerCancelsWorkAtAllStages(t *testing.T) {
	is := is.New(t)
	l := startDraftLab(t, false)
	caller, err := net.Dial("tcp", l.Instances[0].CallerAddress())
	is.NoErr(err)
	body := `{"model": "draft", "prompt": "a cake", "max_tokens": 4000, "stream": true}`
	_, err = fmt.Fprintf(caller, "POST /v1/completions HTTP/1.1\r\nHost: lab\r\nX-Workspace: kandy\r\nX-Deadline-Ms: 600000\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	is.NoErr(err)
	is.NoErr(l.Wait(t.Context(), "the draft to start", func() bool { return fetchCounts(l).LayerRuns > 0 }))
	is.NoErr(caller.Close())
	is.NoErr(l.Wait(t.Context(), "the layers to stop running", func() bool {
		before := fetchCounts(l).LayerRuns
		time.Sleep(200 * time.Millisecond)
		return fetchCounts(l).LayerRuns == before
	}))
	s, err := operator.NewClient(l.Instances[0].OperatorAddress()).Status()
	is.NoErr(err)
	for _, b := range s.Servers {
		is.Equal(b.InFlight, 0)
	}
}
