package gateway

import (
	"errors"
	"slices"
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

const (
	// isolationRetry is the Retry-After delay of a suspect that finds no server without another
	// suspect. A random delay up to isolationJitter is added.
	isolationRetry  = time.Second
	isolationJitter = time.Second
)

var (
	// errQuarantined means that the content crashes the servers that run it.
	errQuarantined = errors.New("gateway: the content crashes backend servers")
	// errNotIsolated means that a suspect can't run apart from other suspects now.
	errNotIsolated = errors.New("gateway: no backend server without another suspect")
)

// verdict returns how the request may run.
func (g *Gateway) verdict(j *job) quarantine.Verdict {
	if g.evidence.IsEmpty() {
		return quarantine.Clear
	}
	return g.evidence.Check(time.Now(), j.fingerprint())
}

// checkQuarantine returns a failure if the content is in quarantine.
func (g *Gateway) checkQuarantine(j *job) *failure {
	if g.verdict(j) != quarantine.Quarantined {
		return nil
	}
	g.metrics.Quarantined.WithLabelValues().Inc()
	return &failure{reason: "in quarantine: content " + j.fingerprint().String() + " crashes the backend servers that run it", err: errQuarantined}
}

// retryAfterCrash returns the Retry-After delay of a request that is not run because of crashes, or 0
// for other failures. A content in quarantine may run again when its crashes no longer count.
func (g *Gateway) retryAfterCrash(j *job, f *failure) time.Duration {
	switch {
	case errors.Is(f.err, errQuarantined):
		return max(time.Second, time.Until(g.evidence.Expires(j.fingerprint())))
	case errors.Is(f.err, errNotIsolated):
		return isolationRetry + time.Duration(g.randomFloat()*float64(isolationJitter))
	default:
		return 0
	}
}

// isolation keeps suspects on different servers, so that a crash shows which of them causes it. It is
// safe for concurrent use.
type isolation struct {
	mu sync.Mutex
	// servers holds the servers that each running suspect uses.
	servers map[*job][]string
}

func newIsolation() *isolation { return &isolation{servers: make(map[*job][]string)} }

// choose calls f with the servers that other suspects use, and reserves the servers that f returns
// for j, in place of those that j had. It returns false if f returns none, or if the same content
// runs already.
func (i *isolation) choose(j *job, f func(used []string) []string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	var used []string
	for other, servers := range i.servers {
		if other == j {
			continue
		}
		if other.fingerprint() == j.fingerprint() {
			return false
		}
		used = append(used, servers...)
	}
	chosen := f(used)
	if len(chosen) == 0 {
		return false
	}
	i.servers[j] = slices.Clone(chosen)
	return true
}

// end releases the servers of a suspect.
func (i *isolation) end(j *job) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.servers, j)
}

// notIsolated is the failure of a suspect without a server of its own.
func notIsolated(j *job) *failure {
	return &failure{
		reason: "content " + j.fingerprint().String() + " may crash backend servers, and each one runs another such request",
		err:    errNotIsolated,
	}
}
