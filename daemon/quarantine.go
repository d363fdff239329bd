package daemon

import (
	"strconv"
	"strings"
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

// Quarantine returns the suspect requests and parts of prompts, and those in quarantine.
func (q memberQuarantine) Quarantine() []operator.QuarantineEntry {
	now := time.Now()
	out := quarantineEntries(q.evidence.List(now))
	for _, e := range q.evidence.ListParts(now) {
		entry := operator.QuarantineEntry{Fingerprint: operator.PartPrefix + e.Part.String(), Quarantined: e.Quarantined, Servers: e.Servers, Expires: e.Expires}
		for _, p := range e.With {
			entry.With = append(entry.With, operator.PartPrefix+p.String())
		}
		out = append(out, entry)
	}
	return out
}

// Release ends the quarantine of the request or the part with the fingerprint at all instances. It
// returns false if the fingerprint is malformed.
func (q memberQuarantine) Release(fingerprint string) bool {
	if id, isPart := strings.CutPrefix(fingerprint, operator.PartPrefix); isPart {
		p := quarantine.ParsePart(id)
		if id != "" {
			q.log.Info("released part of prompts from quarantine", "part", p.String(), "had_crashes", q.evidence.ReleasePart(p))
		}
		return id != ""
	}
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
