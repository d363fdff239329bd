package layers

import (
	"math"
	"time"

	"github.com/balsamlb/balsamlb/routing"
)

const (
	// demandMargin is the share of the demand that is kept as additional room. Drafts differ in length, so the
	// memory for drafts of mean length is full before their number is reached.
	demandMargin = 0.1
	// peakHold is how long a peak of demand counts in full, peakHalfLife how long it then takes to halve.
	peakHold     = 30 * time.Second
	peakHalfLife = 30 * time.Second
	// riseWindow is the time over which the rise of demand is measured, maxRise the share of the demand that is
	// expected to arrive during a load at most.
	riseWindow = 2 * time.Second
	maxRise    = 0.25
	// usualShare is the share of the layers that a second holder loads.
	usualShare = 0.125
)

// demand follows the drafts that callers of one data centre ask for.
type demand struct {
	now    float64
	peak   float64
	peakAt time.Time
	// earlier is the demand at earlierAt, between one and two riseWindows ago; later is the next value of it.
	earlier, later     float64
	earlierAt, laterAt time.Time
}

func (d *demand) observe(now time.Time, drafts float64) {
	d.now = drafts
	if drafts >= d.recentPeak(now) {
		d.peak, d.peakAt = drafts, now
	}
	if d.laterAt.IsZero() {
		d.earlier, d.earlierAt, d.later, d.laterAt = drafts, now, drafts, now
	}
	if now.Sub(d.laterAt) >= riseWindow {
		d.earlier, d.earlierAt, d.later, d.laterAt = d.later, d.laterAt, drafts, now
	}
}

// recentPeak returns the largest demand of the last peakHold, and a falling part of an earlier one.
func (d *demand) recentPeak(now time.Time) float64 {
	age := now.Sub(d.peakAt) - peakHold
	return d.peak * math.Exp2(-max(0, float64(age)/float64(peakHalfLife)))
}

// rise returns the drafts that arrive while a server loads layers, if demand goes on to rise as it does.
func (d *demand) rise(e *routing.Engine, now time.Time) float64 {
	elapsed := now.Sub(d.earlierAt)
	if elapsed < riseWindow/2 {
		return 0
	}
	perSecond := max(0, d.now-d.earlier) / elapsed.Seconds()
	return min(maxRise*d.now, perSecond*usualShare*e.LoadTime.Seconds())
}

// needNow returns the room that the present demand needs, and needSoon the room for the recent peak too.
func (d *demand) needNow(e *routing.Engine, now time.Time) float64 {
	return (1+demandMargin)*d.now + d.rise(e, now)
}

func (d *demand) needSoon(e *routing.Engine, now time.Time) float64 {
	return max(d.needNow(e, now), (1+demandMargin)*d.recentPeak(now))
}
