package gateway

import (
	"errors"

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

// recordLostRun records that a server was running the request when the server, or the connection to
// it, failed.
func (g *Gateway) recordLostRun(j *job, server, why string) {
	g.metrics.LostRuns.WithLabelValues().Inc()
	g.options.Log.Info("lost a run", "request", j.header.ID, "content", j.fingerprint().String(), "server", server, "reason", why)
}

// recordLostAttempt records the servers that a failed attempt of a draft has lost: those of its path
// that are known to be faulty, and the first one, unless the attempt was cancelled for the sake of a
// later one.
func (g *Gateway) recordLostAttempt(d *draft, cause error, why string) {
	path := d.currentPath()
	if len(path) == 0 {
		return
	}
	if !errors.Is(cause, errNoReroute) {
		g.recordLostRun(d.job, path[0].ID, why)
	}
	for _, id := range g.faultyParts(g.view.Load(), path) {
		g.recordLostRun(d.job, id, why)
	}
}
