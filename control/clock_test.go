package control

import (
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/consensus"
	"github.com/balsamlb/balsamlb/internal/bootclock"
	"github.com/matryer/is"
)

// Guards against a confirmation from before a pause of the process that is dated after it.
func TestTimeOfATickStaysAcrossAPause(t *testing.T) {
	is := is.New(t)
	n := consensus.New(consensus.Options{ID: "kandy-1", InitialVoters: []string{"kandy-1", "galle-1"}, ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks}, consensus.HardState{}, consensus.Snapshot{}, nil)
	for range 10 {
		n.Tick()
	}
	paused := bootclock.Now() - 10*time.Second
	c := clock{last: paused}
	want := paused - 6*tickInterval
	is.Equal(c.timeOf(n, 4), want)
	is.True(c.advance(n) >= 10*time.Second-tickInterval)
	is.Equal(c.timeOf(n, 4), want)
	is.Equal(c.timeOf(n, 0), time.Duration(0))
}
