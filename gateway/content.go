package gateway

import (
	"context"
	"errors"
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

var (
	// errQuarantined means that the content crashes the servers that run it.
	errQuarantined = errors.New("gateway: the content crashes backend servers")
	// errNoTrialNow means that a content that runs in trials only has to wait for one.
	errNoTrialNow = errors.New("gateway: the content has crashed several backend servers, and has no trial now")
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
	case g.needsTrial(j):
		return g.trialFailure(j)
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
	case errors.Is(f.err, errNoTrialNow):
		return g.spreadRetry(f.retryAfter)
	default:
		return 0
	}
}
