package daemon

import (
	"net"
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/mesh"
	"github.com/balsamlb/balsamlb/operator"
	"github.com/balsamlb/balsamlb/quarantine"
	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
)

// Operators list and release the quarantine of a gateway at its address of metrics.
func TestQuarantineOfAMemberIsListedAndReleased(t *testing.T) {
	is := is.New(t)
	m, err := mesh.New(mesh.Options{Name: "g", Log: logr.Discard()})
	is.NoErr(err)
	evidence := m.CrashEvidence()
	for _, server := range []string{"a", "b", "c"} {
		evidence.AddContentCrash(time.Now(), 0x2a, quarantine.Crash{Server: server, Incarnation: 1}, true)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := newMonitoringServer(prometheus.NewRegistry(), memberQuarantine{evidence, logr.Discard()})
	done := make(chan error, 1)
	go func() { done <- server.Serve(l) }()
	client := operator.NewClient(l.Addr().String())
	entries, err := client.Quarantine()
	is.NoErr(err)
	is.Equal(len(entries), 1)
	is.Equal(entries[0].Fingerprint, "000000000000002a")
	is.Equal(entries[0].Servers, []string{"a", "b", "c"})
	is.True(entries[0].Quarantined)
	is.True(client.Release("not hexadecimal") != nil)
	is.NoErr(client.Release(entries[0].Fingerprint))
	entries, err = client.Quarantine()
	is.NoErr(err)
	is.Equal(len(entries), 0)
	is.Equal(evidence.Check(time.Now(), 0x2a), quarantine.Clear)
	is.NoErr(server.Shutdown())
	is.NoErr(<-done)
}

// Operators list and release parts of prompts by the ID that callers use.
func TestQuarantineOfAPartIsListedAndReleased(t *testing.T) {
	is := is.New(t)
	m, err := mesh.New(mesh.Options{Name: "g", Log: logr.Discard()})
	is.NoErr(err)
	evidence := m.CrashEvidence()
	began := time.Now().Add(-time.Minute)
	prompt := []quarantine.Part{0x1f, 0x9a}
	for i, server := range []string{"a", "b", "c", "d"} {
		evidence.AddPartCrash(began.Add(time.Duration(i)*time.Second), quarantine.Crash{Server: server, Incarnation: 1}, true, prompt)
	}
	q := memberQuarantine{evidence, logr.Discard()}
	entries := q.Quarantine()
	is.Equal(len(entries), 2)
	is.Equal(entries[1].Fingerprint, "part:9a")
	is.Equal(entries[1].With, []string{"part:1f"})
	is.Equal(entries[1].Servers, []string{"a", "b", "c", "d"})
	is.True(entries[1].Quarantined)
	is.True(!q.Release("part:"))
	is.True(q.Release("part:9a"))
	is.Equal(len(q.Quarantine()), 0)
	_, _, isHeld := evidence.HeldPart(time.Now(), prompt)
	is.True(!isHeld)
}
