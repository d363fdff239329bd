package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/balsamlb/balsamlb/quarantine"
)

// fingerprint identifies the request by its content: what a backend server sees of it, except for
// the headers. A caller that sends a request again uses a new ID, but the same content.
func (j *job) fingerprint() quarantine.Fingerprint {
	j.fingerprintOnce.Do(func() {
		r := j.request
		j.content = quarantine.NewFingerprint(j.workspace, j.service.Name, j.body, r.Method, r.Host, r.RequestURI)
	})
	return j.content
}

// turnJitter is added at random to the Retry-After delay of a suspect, so that callers don't retry
// together.
const turnJitter = 500 * time.Millisecond

var (
	// errQuarantined means that the content crashes the servers that run it.
	errQuarantined = errors.New("gateway: the content crashes backend servers")
	// errNotItsTurn means that a suspect has to wait for other suspects.
	errNotItsTurn = errors.New("gateway: the content may crash backend servers, and others run first")
)

// partFailure means that a part of the prompt is in quarantine. It is an errQuarantined.
type partFailure struct{ expires time.Time }

func (f *partFailure) Error() string { return "gateway: a part of the prompt crashes backend servers" }

func (f *partFailure) Unwrap() error { return errQuarantined }

// verdict returns how the request may run.
func (g *Gateway) verdict(j *job) quarantine.Verdict {
	if g.evidence.IsEmpty() {
		return quarantine.Clear
	}
	now := time.Now()
	if _, _, isHeld := g.evidence.HeldPart(now, j.sharedParts); isHeld && !g.isTrial(now, j) {
		return quarantine.Quarantined
	}
	return g.evidence.Check(now, j.fingerprint())
}

// checkContent returns a failure if the request may not run now because of crashes of servers.
func (g *Gateway) checkContent(j *job) *failure {
	switch v := g.verdict(j); {
	case v == quarantine.Quarantined:
		return g.quarantineFailure(j)
	case g.evidence.NeedsTrial(time.Now(), j.fingerprint()):
		holds, next := g.claimTrial(time.Now(), j)
		if holds {
			return nil
		}
		return &failure{reason: "content " + j.fingerprint().String() + " has crashed several backend servers, and has no trial now", err: errNotItsTurn, retryAfter: time.Until(next)}
	case v == quarantine.Suspect && !g.hasTurn(j):
		return &failure{reason: "content " + j.fingerprint().String() + " may crash backend servers, and other such requests run first", err: errNotItsTurn}
	default:
		return nil
	}
}

func (g *Gateway) quarantineFailure(j *job) *failure {
	if part, expires, isHeld := g.evidence.HeldPart(time.Now(), j.sharedParts); isHeld {
		return &failure{reason: "in quarantine: part " + part.String() + " of the prompt crashes the backend servers that run it", err: &partFailure{expires}}
	}
	return &failure{reason: "in quarantine: content " + j.fingerprint().String() + " crashes the backend servers that run it", err: errQuarantined}
}

// mayGoOn reports whether a request may be sent to another server after a failure. If not, it returns
// the failure to report: that of the send, or that the content is in quarantine now.
func (g *Gateway) mayGoOn(ctx context.Context, j *job, f *failure) (*failure, bool) {
	if g.verdict(j) == quarantine.Quarantined {
		return g.quarantineFailure(j), false
	}
	return f, g.mayRetry(ctx, j, f)
}

func (g *Gateway) countQuarantined(f *failure) {
	if errors.Is(f.err, errQuarantined) {
		g.metrics.Quarantined.WithLabelValues().Inc()
	}
}

// hasTurn reports whether a suspect may run now. If so, it is recorded as running until its end.
func (g *Gateway) hasTurn(j *job) bool {
	now := time.Now()
	return !now.Before(g.evidence.Turn(now, j.fingerprint())) && g.suspects.begin(j)
}

// retryAfterCrash returns the Retry-After delay of a request that is not run because of crashes, or 0
// for other failures. A content in quarantine may run again when its crashes no longer count.
func (g *Gateway) retryAfterCrash(j *job, f *failure) time.Duration {
	now := time.Now()
	var part *partFailure
	switch {
	case errors.As(f.err, &part):
		return max(time.Second, part.expires.Sub(now))
	case errors.Is(f.err, errQuarantined):
		return max(time.Second, g.evidence.Expires(j.fingerprint()).Sub(now))
	case errors.Is(f.err, errNotItsTurn) && f.retryAfter > 0:
		return g.spreadRetry(f.retryAfter)
	case errors.Is(f.err, errNotItsTurn):
		wait := max(turnJitter, g.evidence.Turn(now, j.fingerprint()).Sub(now))
		return wait + time.Duration(g.randomFloat()*float64(turnJitter))
	default:
		return 0
	}
}

// suspects holds the suspects that run at this instance. It is safe for concurrent use.
type suspects struct {
	mu      sync.Mutex
	running map[quarantine.Fingerprint]*job
}

func newSuspects() *suspects { return &suspects{running: make(map[quarantine.Fingerprint]*job)} }

// begin records a suspect as running. It returns false if another request with the same content runs.
func (s *suspects) begin(j *job) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if other := s.running[j.fingerprint()]; other != nil && other != j {
		return false
	}
	s.running[j.fingerprint()] = j
	return true
}

// end removes a request that is recorded as running.
func (s *suspects) end(j *job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.running) > 0 && s.running[j.fingerprint()] == j {
		delete(s.running, j.fingerprint())
	}
}
