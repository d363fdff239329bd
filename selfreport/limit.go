package selfreport

import (
	"hash/fnv"
	"math"
	"strconv"
	"strings"
	"time"
)

const (
	// limitPart is the part of a limit that the instances use together. The rest is for shares that are
	// computed from usage that is a moment old.
	limitPart = 0.9
	// minLimit is the rate in requests a second at which a server is asked again that takes fewer.
	minLimit = 0.05
	// spareHolders is the number of instances, besides one for each request a second, that may send to a
	// server with a limit. Each may save up one request and a second's share, so that all together send
	// 5.5 times the limit and spareHolders in 4 s at most.
	spareHolders = 4
)

// ParseLimit parses the requests a second that a server takes from all instances together. It returns false
// for anything but a decimal number that isn't negative.
func ParseLimit(text string) (perSecond float64, ok bool) {
	perSecond, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || math.IsNaN(perSecond) || math.IsInf(perSecond, 0) || perSecond < 0 {
		return 0, false
	}
	return perSecond, true
}

// Division says which part of a server's limit this instance may use.
type Division struct {
	// Instances is the number of instances, at least 1, and Rank is this one's place among them in an
	// order that all share, from 0. A negative rank means that it isn't known; then the instance sends
	// nothing.
	Instances, Rank int
	// Own and All are the requests in flight at the server from this instance and from all, as far as
	// known. The limit is divided in proportion to them.
	Own, All int
}

// share returns the part of the limit of a server that this instance may use. The shares of all instances
// that agree on the division add up to 1 at most.
func (d Division) share(server string, perSecond float64) float64 {
	n := max(1, d.Instances)
	holders := min(n, int(min(perSecond, float64(n)))+spareHolders)
	h := fnv.New32a()
	_, _ = h.Write([]byte(server))
	if d.Rank < 0 || (d.Rank+int(h.Sum32()%uint32(n)))%n >= holders {
		return 0
	}
	return (float64(d.Own) + 1/float64(holders)) / float64(max(d.All, d.Own)+1)
}

// limit is the report of a server that it takes only some requests a second from all instances together.
type limit struct {
	source    Source
	since     time.Time
	perSecond float64
	// saved is the number of requests that may be sent at countedAt, and rate this instance's part of
	// the limit.
	saved     float64
	countedAt time.Time
	rate      float64
}

// count adds the requests that may be sent since the last call.
func (l *limit) count(now time.Time) {
	if elapsed := now.Sub(l.countedAt); elapsed > 0 {
		l.saved = min(1+l.rate, l.saved+l.rate*elapsed.Seconds())
		l.countedAt = now
	}
}

func (l *limit) takes(now time.Time) bool {
	l.count(now)
	return l.saved >= 1
}

// maxLimitWait is the time to the next look at a limit of which this instance has no share.
const maxLimitWait = 10 * time.Second

// next returns when the server may get a request.
func (l *limit) next(now time.Time) time.Time {
	if l.takes(now) {
		return now
	}
	if l.rate <= 0 {
		return now.Add(maxLimitWait)
	}
	return now.Add(min(maxLimitWait, time.Duration((1-l.saved)/l.rate*float64(time.Second))))
}

// AddLimit records that a server has named its limit in requests a second. It reports whether the server
// had none before. A new limit begins without saved requests.
func (r *Reports) AddLimit(now time.Time, s Server, source Source, perSecond float64, d Division) (isNew bool) {
	x := r.heard(now, s)
	if x == nil {
		return false
	}
	if isNew = x.limit == nil; isNew {
		x.limit = &limit{source: source, since: now, countedAt: now}
	}
	x.limit.perSecond = perSecond
	x.limit.divide(now, s.ID, d)
	return isNew
}

// divide sets this instance's part of the limit.
func (l *limit) divide(now time.Time, server string, d Division) {
	l.count(now)
	l.rate = limitPart * max(minLimit, l.perSecond) * d.share(server, l.perSecond)
}

// Limited returns the IDs of the servers that have named a limit.
func (r *Reports) Limited() []string {
	var out []string
	for id, x := range r.servers {
		if x.limit != nil {
			out = append(out, id)
		}
	}
	return out
}

// Divide updates this instance's parts of the limits of servers, by their IDs.
func (r *Reports) Divide(now time.Time, divisions map[string]Division) {
	for id, d := range divisions {
		if x := r.servers[id]; x != nil && x.limit != nil {
			x.limit.divide(now, id, d)
		}
	}
}

// EndLimit records that a server has answered a request without naming a limit. The request was sent at
// the given time; an answer to one from before the limit was heard ends nothing.
func (r *Reports) EndLimit(now, sent time.Time, s Server) []End {
	x := r.find(s)
	if x == nil || x.limit == nil || sent.Before(x.limit.since) {
		return nil
	}
	end := End{Server: s, Kind: Limited, Source: x.limit.source, Age: now.Sub(x.limit.since), Why: "names no limit any more"}
	x.limit = nil
	r.removeEmpty(s.ID)
	return []End{end}
}

// TakeRequest records that a request is sent to a server that may have a limit.
func (r *Reports) TakeRequest(now time.Time, s Server) {
	if x := r.find(s); x != nil && x.limit != nil {
		x.limit.count(now)
		x.limit.saved--
	}
}
