package admission

import (
	"math"
	"time"
)

const (
	// ratioWeight is the weight of a newly observed service time in the moving averages.
	ratioWeight = 0.1
	// ratioHalfLife is the time in which the correction of forecasts, learned from observed service
	// times, loses half of its effect if no new time is observed. So a pool that looked too slow is
	// tried again.
	ratioHalfLife = 3 * time.Second
	// minRatio and maxRatio bound the ratio of an observed service time to its forecast.
	minRatio = 0.1
	maxRatio = 20
)

// service is what was learned of a pool's service times.
type service struct {
	// ratio is a moving average of the ratio of observed to forecast service times, and deviation
	// is a moving average of how far single observations deviate from it.
	ratio     float64
	deviation float64
	// ratioUpdatedAt is when ratio was last updated; zero means never.
	ratioUpdatedAt time.Time
	// averageTime is a moving average of the service time of a request.
	averageTime time.Duration
	// meanTime is the same, but starts with the first request, where averageTime starts at 0.
	meanTime time.Duration
	// meanForecast is a moving average of the forecast times of the requests in meanTime.
	meanForecast time.Duration
	// firstTime is a moving average of the time from a start until the answer begins, and firstDeviation of how far
	// single times are above it. firstAt is when one was observed last; zero means never.
	firstTime, firstDeviation time.Duration
	firstAt                   time.Time
}

// observeFirst updates the moving averages with a request whose answer has begun. Those that waited for a server that
// hung (isReading) say nothing about it.
func (s *service) observeFirst(now time.Time, took time.Duration) {
	if s.firstAt.IsZero() {
		s.firstTime = took
	}
	s.firstAt = now
	above := max(0, took-s.firstTime)
	s.firstTime += time.Duration(ratioWeight * float64(took-s.firstTime))
	s.firstDeviation += time.Duration(ratioWeight * float64(above-s.firstDeviation))
}

// usualFirst returns the time from a start until the answer begins, as it was lately, and false if none was seen for
// ratioHalfLife.
func (s *service) usualFirst(now time.Time) (time.Duration, bool) {
	return s.firstTime + s.firstDeviation, isWithin(now, s.firstAt, ratioHalfLife)
}

// correction returns the factor by which forecast times are multiplied. It is learned from ended
// requests: the average ratio of observed to forecast times plus the average deviation from that
// ratio. Without new observations it fades towards 1.
func (s *service) correction(now time.Time) float64 {
	age := max(0, now.Sub(s.ratioUpdatedAt))
	fading := math.Exp2(-age.Seconds() / ratioHalfLife.Seconds())
	return 1 + (s.ratio+s.deviation-1)*fading
}

// observe updates the moving averages with a request that has ended. correction is the factor that
// the request's prediction included.
func (s *service) observe(now time.Time, predicted, took time.Duration, correction float64) {
	s.averageTime += time.Duration(ratioWeight * float64(took-s.averageTime))
	if s.meanTime == 0 {
		s.meanTime = took
	}
	s.meanTime += time.Duration(ratioWeight * float64(took-s.meanTime))
	if predicted <= 0 {
		return
	}
	forecast := time.Duration(float64(predicted) / correction)
	if s.meanForecast == 0 {
		s.meanForecast = forecast
	}
	s.meanForecast += time.Duration(ratioWeight * float64(forecast-s.meanForecast))
	s.ratioUpdatedAt = now
	observed := float64(took) / float64(predicted) * correction
	observed = min(maxRatio, max(minRatio, observed))
	s.deviation += ratioWeight * (math.Abs(observed-s.ratio) - s.deviation)
	s.ratio += ratioWeight * (observed - s.ratio)
}

// pace holds the factors by which forecast times are multiplied at a time.
type pace struct{ load, correction float64 }

func (p *pool) pace(now time.Time) pace {
	return pace{load: p.loadFactor(), correction: p.correction(now)}
}

// serviceTime predicts the time of a request from its start to its end. The prediction includes the
// usual deviation from the forecast, since a request that misses its deadline wastes the capacity
// that it used.
func (p *pool) serviceTime(now time.Time, r Request) time.Duration {
	return p.pacedTime(p.pace(now), r)
}

func (p *pool) pacedTime(at pace, r Request) time.Duration {
	f := p.forecast
	t := f.FirstToken + f.Prefill*time.Duration(r.PromptTokens) + f.Gap*time.Duration(max(0, r.Tokens-1))
	return time.Duration(float64(t) * at.load * at.correction)
}

// loadFactor is the factor by which times grow with the load.
func (p *pool) loadFactor() float64 {
	if p.forecast.FullLoadFactor <= 1 || p.localCapacity == 0 {
		return 1
	}
	return 1 + (p.forecast.FullLoadFactor-1)*min(1, float64(p.running+p.queued()+1)/p.localCapacity)
}

// endTime predicts the time from the start to the end of a request, for the decision whether it ends before its
// deadline. For requests with an objective it is the forecast times what requests took lately for what was forecast,
// all together: a short answer that was held up for a while takes several times its forecast, which says nothing
// about a long one.
func (p *pool) endTime(now time.Time, at pace, e *entry) time.Duration {
	if e.objective() > 0 && p.meanForecast > 0 {
		at.correction = 1
		if isWithin(now, p.ratioUpdatedAt, ratioHalfLife) {
			at.correction = float64(p.meanTime) / float64(p.meanForecast)
		}
	}
	return p.pacedTime(at, e.Request)
}

// usualTime returns the mean service time, or that of a request without prompt and answer if none has ended.
func (p *pool) usualTime(now time.Time) time.Duration {
	if p.meanTime == 0 {
		return p.serviceTime(now, Request{})
	}
	return p.meanTime
}

// expectedTime returns the usual service time of a request in the pool, for the prediction of waits. With an objective
// the length of the request itself says nothing about those before it.
func (p *pool) expectedTime(at pace, e *entry) time.Duration {
	switch {
	case p.averageTime == 0:
		return p.pacedTime(at, e.Request)
	case e.objective() > 0:
		return max(p.averageTime, p.meanTime)
	}
	return max(p.averageTime, p.pacedTime(at, e.Request)/2)
}
