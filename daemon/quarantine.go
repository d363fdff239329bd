package daemon

import (
	"strconv"
	"time"

	"github.com/balsamlb/balsamlb/balancer"
	"github.com/balsamlb/balsamlb/mesh"
	"github.com/balsamlb/balsamlb/operator"
	"github.com/balsamlb/balsamlb/quarantine"
	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/valyala/fasthttp"
)

// quarantineEntries converts the entries of a quarantine for operators.
func quarantineEntries(entries []quarantine.Entry) []operator.QuarantineEntry {
	out := []operator.QuarantineEntry{}
	for _, e := range entries {
		out = append(out, operator.QuarantineEntry{
			Fingerprint: e.Fingerprint.String(), Quarantined: e.Quarantined, Servers: e.Servers, Expires: e.Expires,
		})
	}
	return out
}

// parseFingerprint returns false if the text is not hexadecimal.
func parseFingerprint(text string) (quarantine.Fingerprint, bool) {
	f, err := strconv.ParseUint(text, 16, 64)
	return quarantine.Fingerprint(f), err == nil
}

// memberQuarantine is the quarantine of a gateway or a controller. It is safe for concurrent use.
type memberQuarantine struct {
	evidence *mesh.CrashEvidence
	log      logr.Logger
}

// Quarantine returns the suspect requests and those in quarantine.
func (q memberQuarantine) Quarantine() []operator.QuarantineEntry {
	return quarantineEntries(q.evidence.List(time.Now()))
}

// Release ends the quarantine of the request with the fingerprint at all instances. It returns false
// if the fingerprint is not hexadecimal.
func (q memberQuarantine) Release(fingerprint string) bool {
	f, ok := parseFingerprint(fingerprint)
	if ok {
		q.log.Info("released request from quarantine", "content", f.String(), "had_crashes", q.evidence.Absolve(f))
	}
	return ok
}

// newMonitoringServer returns the HTTP server of a gateway or a controller for metrics and the
// quarantine.
func newMonitoringServer(registry *prometheus.Registry, q operator.QuarantineBackend) *fasthttp.Server {
	s := balancer.NewServer(func() string { return "" }, registry)
	monitor := s.Handler
	s.Handler = func(ctx *fasthttp.RequestCtx) {
		if !operator.HandleQuarantine(ctx, q) {
			monitor(ctx)
		}
	}
	return s
}
