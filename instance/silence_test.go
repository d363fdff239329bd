package instance

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// Guards against a process that was halted or busy for long and takes what has waited in it for the silence of all its peers:
// it closed all watches at once, and was busy with opening them again.
func TestHaltOfThisProcessIsNoSilenceOfItsPeers(t *testing.T) {
	is := is.New(t)
	const limit = 2 * time.Second
	start := time.Unix(1000, 0)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	s := newSilence(start, limit)
	isSilent, next := s.check(at(time.Second))
	is.True(!isSilent)
	is.Equal(next, time.Second)

	isSilent, next = s.check(at(10 * time.Second)) // the first check after a halt
	is.True(!isSilent)
	is.Equal(next, silenceGrace)
	s.hear(at(10*time.Second+silenceGrace/2), limit) // what had arrived meanwhile
	isSilent, _ = s.check(at(10*time.Second + silenceGrace))
	is.True(!isSilent)

	_, _ = s.check(at(13 * time.Second))
	isSilent, _ = s.check(at(13*time.Second + silenceGrace))
	is.True(isSilent)
}

func TestSilentPeerIsNoticed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		s := newSilence(time.Now(), time.Second)
		defer startPatientTimer(s, cancel).Stop()
		time.Sleep(900 * time.Millisecond)
		s.hear(time.Now(), time.Second)
		time.Sleep(time.Second + silenceGrace - time.Millisecond)
		is.NoErr(ctx.Err())
		time.Sleep(2 * time.Millisecond)
		is.True(ctx.Err() != nil)
	})
}
