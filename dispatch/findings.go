package dispatch

import (
	"github.com/balsamlb/balsamlb/membership"
	"github.com/balsamlb/balsamlb/quarantine"
)

// findingOf returns the finding of another instance in a notice.
func findingOf(n membership.Notice) quarantine.Finding {
	f := quarantine.Finding{Fingerprint: quarantine.Fingerprint(n.Fingerprint), Servers: n.Servers, Expires: n.Expires}
	for _, c := range n.Presumed {
		crash := quarantine.Crash{Server: c.Server, Incarnation: c.Incarnation}
		f.Presumed = append(f.Presumed, quarantine.PresumedCrash{Crash: crash, At: c.At})
	}
	return f
}

// publishFindings notifies the other instances of the requests that are blamed for the crash of a
// server.
func (rs *resilience) publishFindings(server string, findings []quarantine.Finding) {
	for _, f := range findings {
		rs.log.Info("backend server crashed while running a request", "server", server, "fingerprint", f.Fingerprint.String(),
			"servers", f.Servers, "presumed", len(f.Presumed))
		n := membership.Notice{
			Kind:        membership.NoticeCrash,
			Fingerprint: uint64(f.Fingerprint),
			Servers:     f.Servers,
			Count:       uint32(len(f.Servers)),
			Expires:     f.Expires,
		}
		for _, c := range f.Presumed {
			n.Presumed = append(n.Presumed, membership.PresumedCrash{Server: c.Server, Incarnation: c.Incarnation, At: c.At})
		}
		rs.publisher.Publish(n)
	}
}
