package selfreport

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// seconds is a readable request for a pause.
func seconds(n float64) PauseRequest {
	return PauseRequest{Stated: "n", IsReadable: true, Duration: time.Duration(n * float64(time.Second))}
}

func TestNothingIsSentDuringAPause(t *testing.T) {
	is := is.New(t)
	r := New()
	p := r.AddPause(start, first, asked, seconds(3), Load{Unanswered: 100}, 0)
	is.Equal(p, Paused{IsNew: true, Duration: 3 * time.Second})
	is.Equal(r.Check(start, first), WantsNothing)
	is.Equal(r.Check(start.Add(3*time.Second-1), first), WantsNothing)
	is.Equal(r.Check(start.Add(3*time.Second), first), Free)
	is.Equal(r.Check(start, again), Free)
	at, ok := r.Next(start, first)
	is.True(ok)
	is.Equal(at, start.Add(3*time.Second))
}

func TestPauseIsNotShortenedByALaterAnswer(t *testing.T) {
	is := is.New(t)
	r := New()
	r.AddPause(start, first, asked, seconds(3), Load{Unanswered: 100}, 0)
	is.True(!r.AddPause(start.Add(time.Second), first, asked, seconds(1), Load{Unanswered: 100}, 0).IsNew)
	is.Equal(r.Check(start.Add(2500*time.Millisecond), first), WantsNothing)
	r.AddPause(start.Add(2*time.Second), first, asked, seconds(3), Load{Unanswered: 100}, 0)
	is.Equal(r.Check(start.Add(4*time.Second), first), WantsNothing)
	is.Equal(r.Check(start.Add(5*time.Second), first), Free)
}

func TestAbsurdPausesAreBounded(t *testing.T) {
	for name, c := range map[string]struct {
		p    PauseRequest
		want time.Duration
	}{
		"zero":      {seconds(0), minPause},
		"negative":  {seconds(-5), minPause},
		"days":      {seconds(3 * 86400), maxPause},
		"text":      {PauseRequest{Stated: "soon"}, unreadablePause},
		"HTTP date": {PauseRequest{Stated: "Fri, 04 Dec 2026 08:00:00 GMT"}, unreadablePause},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := New()
			is.Equal(r.AddPause(start, first, asked, c.p, Load{Unanswered: 100}, 0), Paused{IsNew: true, Duration: c.want, IsBounded: true})
			is.Equal(r.Check(start.Add(c.want-1), first), WantsNothing)
			is.Equal(r.Check(start.Add(c.want), first), Free)
		})
	}
}

func TestReturnIsSpread(t *testing.T) {
	is := is.New(t)
	r := New()
	r.AddPause(start, first, asked, seconds(2), Load{Unanswered: 100}, 0.5)
	at, _ := r.Next(start, first)
	is.Equal(at, start.Add(2100*time.Millisecond))
	r.AddPause(start, Server{ID: "b"}, asked, seconds(60), Load{Unanswered: 100}, 0.5)
	at, _ = r.Next(start, Server{ID: "b"})
	is.Equal(at, start.Add(60*time.Second+maxSpread/2))
}

// Guards against a herd at the end of a pause: one trial first, then more with each that is served.
func TestOneTrialComesFirst(t *testing.T) {
	is := is.New(t)
	r := New()
	r.AddPause(start, first, asked, seconds(1), Load{Unanswered: 100}, 0)
	now := start.Add(time.Second)
	one := r.Begin(now, first, Server{ID: "b"})
	is.Equal(len(one), 1)
	is.Equal(r.Check(now, first), WantsNothing)
	is.Equal(r.Done(now, one, true), []End{{Server: first, Kind: WantsNothing, Source: asked, Age: time.Second, Why: "serves again"}})
	two := r.Begin(now, first)
	is.Equal(r.Check(now, first), Free)
	three := r.Begin(now, first)
	is.Equal(r.Check(now, first), WantsNothing)
	is.Equal(len(r.Done(now, two, false)), 0)
	is.Equal(r.Check(now, first), Free)
	is.Equal(len(r.Done(now, three, true)), 0)
}

// fill begins requests until the server takes no more, and returns them.
func fill(r *Reports, now time.Time, s Server) []Trial {
	var trials []Trial
	for r.Check(now, s) == Free {
		trials = append(trials, r.Begin(now, s)...)
	}
	return trials
}

// Guards against a server that is filled up again after each pause, and so is paused most of the time.
func TestRequestsAreLimitedAfterARefusal(t *testing.T) {
	is := is.New(t)
	r := New()
	r.AddPause(start, first, asked, seconds(2), Load{Unanswered: 10}, 0)
	now := start.Add(2 * time.Second)
	most := 0
	for range 50 {
		trials := fill(r, now, first)
		most = max(most, len(trials))
		r.Done(now, trials, true)
	}
	is.Equal(most, 7) // of the 10 at the refusal
	for range 3 {     // back to 10 after growthPauses pauses
		now = now.Add(growthPauses * 2 * time.Second / 3)
		r.Done(now, r.Begin(now, first), true)
	}
	trials := fill(r, now, first)
	is.Equal(len(trials), 10)
	r.Done(now, trials, true)
	r.AddPause(now, first, asked, seconds(2), Load{Unanswered: 2}, 0)
	now = now.Add(2 * time.Second)
	r.Done(now, r.Begin(now, first), true)
	is.Equal(len(fill(r, now, first)), 1)
	is.Equal(Load{Unanswered: 2, Share: 5}.ceiling(), 5)
	r.RemoveExpired(now.Add(rememberFor))
	is.Equal(r.Len(), 0)
}

// Guards against a server that gets nothing any more since its trial was never answered.
func TestAnotherTrialFollowsAnUnansweredOne(t *testing.T) {
	is := is.New(t)
	r := New()
	r.AddPause(start, first, asked, seconds(1), Load{Unanswered: 100}, 0)
	now := start.Add(time.Second)
	r.Begin(now, first)
	at, _ := r.Next(now, first)
	is.Equal(at, now.Add(soon))
	is.Equal(r.Check(now.Add(trialInterval-1), first), WantsNothing)
	is.Equal(r.Check(now.Add(trialInterval), first), Free)
}

// Guards against the answer to an old trial that ends a newer pause.
func TestAnswerToAnOldTrialDoesNotEndANewPause(t *testing.T) {
	is := is.New(t)
	r := New()
	r.AddPause(start, first, asked, seconds(1), Load{Unanswered: 100}, 0)
	now := start.Add(time.Second)
	old := r.Begin(now, first)
	is.True(r.AddPause(now, first, asked, seconds(1), Load{Unanswered: 100}, 0).IsNew)
	r.Done(now, old, true)
	is.Equal(r.Check(now.Add(time.Second-1), first), WantsNothing)
	r.Begin(now.Add(time.Second), first)
	is.Equal(r.Check(now.Add(time.Second), first), WantsNothing)
}

func TestLeavingOutlastsAPause(t *testing.T) {
	is := is.New(t)
	r := New()
	r.AddPause(start, first, asked, seconds(1), Load{Unanswered: 100}, 0)
	r.AddLeaving(start, first, asked, Announcement{})
	is.Equal(r.Check(start.Add(2*time.Second), first), Leaving)
	_, ok := r.Next(start, first)
	is.True(!ok)
	is.Equal(len(r.Announced(start, ready(again, 1))), 2)
}

func TestParsePause(t *testing.T) {
	is := is.New(t)
	for stated, want := range map[string]PauseRequest{
		"3":                             {IsReadable: true, Duration: 3 * time.Second},
		" 0.25 ":                        {IsReadable: true, Duration: 250 * time.Millisecond},
		"0":                             {IsReadable: true},
		"-2":                            {IsReadable: true, Duration: -2 * time.Second},
		"1e400":                         {IsReadable: true, Duration: maxSeconds * time.Second},
		"NaN":                           {},
		"":                              {},
		"tomorrow":                      {},
		"Fri, 04 Dec 2026 08:00:00 GMT": {},
	} {
		want.Stated = stated
		is.Equal(ParsePause(stated), want)
	}
	is.Equal(len(ParsePause(strings.Repeat("x", 1000)).Stated), maxStatedBytes)
}
