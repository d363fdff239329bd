package admission

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Answers take 1.5 times their forecast, and one of ten short ones is held up by a crash for 4 s. A long answer that
// takes 10 s then is not refused with 18 s left: the forecast of short ones says little about it.
func TestLongAnswerIsNotRefusedForShortOnesThatWereHeldUp(t *testing.T) {
	is := is.New(t)
	c := New(Options{MaxQueued: 64})
	c.SetForecast(poolName, Forecast{Slots: 100, FirstToken: 100 * time.Millisecond, Gap: 10 * time.Millisecond})
	now := epoch
	request := func(id string, tokens int) Request {
		return Request{
			ID: id, Pool: poolName, Workspace: "w", Share: 1, MaxInFlight: 1000, Size: Size{Tokens: tokens},
			Objective: 500 * time.Millisecond, InTimeUntil: now.Add(500 * time.Millisecond), Deadline: now.Add(18 * time.Second),
		}
	}
	for i := range 200 {
		short := request(fmt.Sprint("short", i), 60)
		is.Equal(c.Arrive(now, short)[0].Verdict, Start)
		now = now.Add(1050 * time.Millisecond)
		if i%10 == 9 {
			now = now.Add(4 * time.Second)
		}
		c.Ended(now, short.ID, true)
	}
	is.Equal(c.Arrive(now, request("long", 680))[0].Verdict, Start)
	is.Equal(c.Arrive(now, request("too long", 2000))[0].Reason, ReasonDeadline) // 2000 x 15 ms
}

// Answers begin 120 ms after the start, although the forecast says 400 ms: one that has waited for 300 ms of its 500 ms
// is in time, one with 100 ms left is late.
func TestLatenessFollowsHowFastAnswersBegin(t *testing.T) {
	is := is.New(t)
	c := New(Options{MaxQueued: 64})
	c.SetForecast(poolName, Forecast{Slots: 100, FirstToken: 400 * time.Millisecond})
	now := epoch
	for i := range 50 {
		r := ranked(fmt.Sprint(i), 0, now)
		c.Arrive(now, r)
		c.Begun(now.Add(120*time.Millisecond), r.ID)
		now = now.Add(200 * time.Millisecond)
		c.Ended(now, r.ID, true)
	}
	p := c.pool(poolName)
	waited := func(left time.Duration) *entry {
		r := ranked("waited", 0, now)
		r.InTimeUntil = now.Add(left)
		return &entry{Request: r, pool: p, arrived: now}
	}
	is.True(!p.isLate(now, waited(200*time.Millisecond)))
	is.True(p.isLate(now, waited(100*time.Millisecond)))
	is.True(p.isLate(now.Add(ratioHalfLife), waited(200*time.Millisecond+ratioHalfLife))) // nothing was seen lately: the forecast
}
