package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a pause of the gateway's own process that is taken for silence of the servers.
func TestPauseOfTheProcessIsNoSilence(t *testing.T) {
	is := is.New(t)
	g := &Gateway{pauses: &pauseDetector{}}
	now := time.Unix(1000, 0)
	a := &attempt{gateway: g, lastEventAt: now}
	for range 10 {
		now = now.Add(idleCheckInterval)
		is.True(g.pauses.sinceResumed(now) > time.Hour)
	}
	is.Equal(a.idleTime(now), 10*idleCheckInterval)
	now = now.Add(3 * time.Second) // the process stood still
	is.Equal(a.idleTime(now), time.Duration(0))
	now = now.Add(idleCheckInterval)
	is.Equal(a.idleTime(now), idleCheckInterval)
	a.isDelivering.Store(true) // the caller takes no event
	is.Equal(a.idleTime(now), time.Duration(0))
}
