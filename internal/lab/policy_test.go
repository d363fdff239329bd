package lab

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/internal/emulate"
	"github.com/balsamlb/balsamlb/internal/load"
	"github.com/balsamlb/balsamlb/operator"
	"github.com/balsamlb/balsamlb/outcome"
	"github.com/matryer/is"
)

const wholeModelServers = 6

// wholeModelFleet returns a fleet file of servers that each hold the whole model.
func wholeModelFleet() string {
	var b strings.Builder
	b.WriteString("[data_centre colombo]\nannounce = $ANNOUNCE(colombo)\n")
	for i := range wholeModelServers {
		fmt.Fprintf(&b, "[server whole-%d]\naddress = $NET.1.%d:9000\ndata_centre = colombo\nmodel = icing-7b\nlayers = 0-32\nstep = 2000\nslots = 4\nservices = stock\n", i, 100+i)
	}
	return b.String()
}

func startWholeModelLab(t *testing.T) *Lab {
	t.Helper()
	l, err := Start(t.Context(), Layout{
		Folder:      t.TempDir(),
		BinFolder:   binFolder,
		DataCentres: []DataCentre{{Name: "colombo", Instances: 2, Control: true}},
		Emulators:   []Emulator{{Name: "emulator", Fleet: wholeModelFleet()}},
		Base:        baseConfig + "[service stock]\n",
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	if err := l.WaitServers(t.Context(), wholeModelServers); err != nil {
		t.Fatal(err)
	}
	return l
}

// One draft crashes each server that runs it. It must be quarantined after two crashes, also
// when its caller sends it again to another instance, and concurrent drafts must finish.
func TestCrashingRequestIsQuarantinedAfterTwoServers(t *testing.T) {
	is := is.New(t)
	l := startWholeModelLab(t)
	for i := range wholeModelServers {
		address := fmt.Sprintf("%s.1.%d:9000", l.Layout.Network, 100+i)
		is.NoErr(emulate.SetFault(address, emulate.Fault{Kind: emulate.FaultCrashOn, Content: "poison"}))
	}
	callers := []string{l.Instances[0].CallerAddress(), l.Instances[1].CallerAddress()}
	var others load.Result
	var group sync.WaitGroup
	group.Go(func() {
		others = load.Run(t.Context(), load.Options{
			Instances: callers, Workspace: "kandy", Drafts: 24, Concurrent: 12, MaxTokens: 60, Seed: 1, Deadline: 25 * time.Second,
		})
	})
	sendCrashing := func(try int) load.Reply {
		return load.Do(t.Context(), load.Request{
			Instance: callers[try%2], Workspace: "kandy", Service: "draft", Prompt: "poison", MaxTokens: 20, Deadline: 20 * time.Second,
		})
	}
	// A fault takes effect shortly after SetFault returns.
	is.NoErr(l.Wait(t.Context(), "the faults to be in force", func() bool {
		return sendCrashing(0).Code == outcome.CodeQuarantined
	}))
	// The other instance learns of the quarantine within a second; this test does not check the
	// time.
	is.NoErr(l.Wait(t.Context(), "the quarantine at both instances", func() bool { return instancesWithQuarantine(l) == 2 }))
	for try := range 6 {
		reply := sendCrashing(try)
		is.Equal(reply.Outcome, outcome.NotRun)
		is.Equal(reply.Code, outcome.CodeQuarantined)
	}
	group.Wait()
	is.Equal(others.Violations, nil)
	is.Equal(others.Answered, 24)
	is.NoErr(l.Wait(t.Context(), "the leases of two servers to end", func() bool {
		s, err := operator.NewClient(l.Instances[0].OperatorAddress()).Status()
		return err == nil && len(s.Servers) == wholeModelServers-2
	}))
	entries, err := operator.NewClient(l.Instances[1].OperatorAddress()).Quarantine()
	is.NoErr(err)
	for _, e := range entries {
		if e.Quarantined {
			is.NoErr(operator.NewClient(l.Instances[1].OperatorAddress()).Release(e.Fingerprint))
		}
	}
	is.NoErr(l.Wait(t.Context(), "the release at both instances", func() bool { return instancesWithQuarantine(l) == 0 }))
}

// instancesWithQuarantine returns the number of instances that report a quarantined request.
func instancesWithQuarantine(l *Lab) int {
	n := 0
	for _, i := range l.Instances {
		entries, err := operator.NewClient(i.OperatorAddress()).Quarantine()
		if err != nil {
			continue
		}
		for _, e := range entries {
			if e.Quarantined {
				n++
				break
			}
		}
	}
	return n
}

// Many more drafts arrive than can finish before their deadline. Those with the outcome not_run
// must not have reached a server, by the servers' counts, and must carry a time to retry after.
func TestRefusedDraftsHaveNotRunUnderOverload(t *testing.T) {
	is := is.New(t)
	l := startWholeModelLab(t)
	const count = 400
	replies := make([]load.Reply, count)
	var group sync.WaitGroup
	for i := range count {
		group.Go(func() {
			replies[i] = load.Do(t.Context(), load.Request{
				Instance: l.Instances[i%2].CallerAddress(), Workspace: "kandy", Service: "draft",
				Prompt: fmt.Sprint("cake ", i), MaxTokens: 60, Deadline: time.Second,
			})
		})
	}
	group.Wait()
	refused := 0
	for _, r := range replies {
		is.Equal(r.Violation, "")
		if r.Outcome == outcome.NotRun {
			refused++
			is.True(r.RetryAfter > 0)
		}
	}
	counts, err := emulate.FetchCounts(fmt.Sprintf("%s.1.100:9000", l.Layout.Network))
	is.NoErr(err)
	t.Logf("%d of %d refused, %d reached a server", refused, count, counts.Requests)
	is.True(refused > 0)
	is.True(counts.Requests <= count-refused)
}

// A move drains its two servers one after the other while drafts run. No draft may fail.
func TestMoveDrainsServersWithoutFailingDrafts(t *testing.T) {
	is := is.New(t)
	l := startWholeModelLab(t)
	move := fmt.Sprintf("[move old]\nservice = draft\nservers = whole-0, whole-1\ndate = %s\n", time.Now().Add(time.Hour).UTC().Format(time.RFC3339))
	var result load.Result
	var group sync.WaitGroup
	group.Go(func() {
		result = load.Run(t.Context(), load.Options{
			Instances: []string{l.Instances[0].CallerAddress(), l.Instances[1].CallerAddress()},
			Workspace: "kandy", Drafts: 60, Concurrent: 6, MaxTokens: 100, Seed: 1, Deadline: 25 * time.Second,
		})
	})
	is.NoErr(l.Apply(t.Context(), 1, "move", baseConfig+"[service stock]\n"+move, nil))
	is.NoErr(l.Wait(t.Context(), "the move to be done", func() bool {
		moves, err := operator.NewClient(l.Instances[0].OperatorAddress()).Moves()
		return err == nil && len(moves) == 1 && moves[0].Total == 2 && moves[0].Done == 2
	}))
	group.Wait()
	is.Equal(result.Violations, nil)
	is.Equal(result.Answered, 60)
	s, err := operator.NewClient(l.Instances[1].OperatorAddress()).Status()
	is.NoErr(err)
	is.Equal(s.Drains, []string{"whole-0", "whole-1"})
}
