package pipeline

import (
	"errors"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// removeCopies removes all servers except those of the first chain.
func (sim *simulation) removeCopies() {
	sim.servers = slices.DeleteFunc(sim.servers, func(s *fakeServer) bool { return s.name[1] != '0' })
}

// pauseAfter pauses the server of a stage.
func (sim *simulation) pauseAfter(at time.Duration, stage int, d time.Duration) {
	sim.after(at, func() {
		if !sim.ended {
			sim.server(sim.stream.Servers()[stage]).pause(d)
		}
	})
}

// drawPause draws when a stage's server falls silent and for how long.
func drawPause(t *rapid.T) (stage int, at, d time.Duration) {
	stage = rapid.IntRange(0, 2).Draw(t, "stage")
	at = time.Duration(rapid.IntRange(0, 400_000).Draw(t, "at_us")) * time.Microsecond
	return stage, at, time.Duration(rapid.IntRange(100, 8000).Draw(t, "pause_ms")) * time.Millisecond
}

// checkReplaced fails if a server that was never paused was replaced.
func checkReplaced(t *rapid.T, sim *simulation) {
	for _, line := range sim.log {
		_, rest, ok := strings.Cut(line, "  replace ")
		if !ok {
			continue
		}
		name, _, _ := strings.Cut(rest, ":")
		if sim.server(name).pausedAt.IsZero() {
			t.Fatalf("%s was never silent and was replaced: %v", name, sim.log)
		}
	}
}

// Guards against the incident LOST: a draft ends because a server without a replacement is silent for
// a while.
func TestSilentServerWithoutReplacementIsWaitedFor(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"))
		sim.removeCopies()
		stage, at, d := drawPause(t)
		sim.pauseAfter(at, stage, d)
		sim.run(time.Minute)
		checkAnswer(t, sim)
		checkRuns(t, sim)
		checkReplaced(t, sim)
	})
}

// Guards against the incident LOST: a draft ends because all servers are silent for a while.
func TestDraftOutlastsSilenceOfAllServers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"))
		_, at, d := drawPause(t)
		sim.after(at, func() {
			for _, s := range sim.servers {
				s.pause(d)
			}
		})
		sim.run(time.Minute)
		checkAnswer(t, sim)
	})
}

// Guards against drafts that end after several silences, which overlap or follow one another.
func TestDraftOutlastsSeveralSilences(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"))
		sim.removeCopies()
		for range rapid.IntRange(2, 5).Draw(t, "silences") {
			stage, at, d := drawPause(t)
			sim.pauseAfter(at, stage, d)
		}
		sim.run(time.Minute)
		checkAnswer(t, sim)
		checkRuns(t, sim)
		checkReplaced(t, sim)
	})
}

// Guards against the loss of tokens when a silent server is replaced and goes on later.
func TestSilentServerIsReplacedWithoutLoss(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"))
		stage, at, d := drawPause(t)
		sim.pauseAfter(at, stage, d)
		sim.run(time.Minute)
		checkAnswer(t, sim)
		checkReplaced(t, sim)
	})
}

// Guards against a draft that is given up before its deadline although its server may go on.
func TestDraftOfServerThatNeverGoesOnEndsAtItsDeadline(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(rapid.Uint64().Draw(t, "seed"))
		sim.removeCopies()
		sim.stream.deadline = sim.now.Add(30 * time.Second)
		sim.pauseAfter(100*time.Millisecond, rapid.IntRange(0, 2).Draw(t, "stage"), time.Hour)
		sim.run(time.Minute)
		var end *EndError
		if !errors.As(sim.err, &end) || !end.Deadline {
			t.Fatalf("ended with error %v, want the deadline's: %v", sim.err, sim.log)
		}
	})
}
