package lab

import (
	"bytes"
	"encoding/json"
	"os"
	"testing"
	"time"
)

// Guards against a document that was acknowledged and is known as committed to nobody but the control instance that is lost
// right after, so that gateways route by the one before until another leader is elected.
func TestAcknowledgedDocumentIsInForceWithoutAnElection(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name string
		end  func(s *soak, leader *Member)
	}{
		{"the leader ends", func(_ *soak, leader *Member) { leader.Kill() }},
		{"all end and the leader loses its data", endAll},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			o := directedOptions(3)
			o.controls = 3
			s := startSoak(t, o)
			s.startQuietly()
			leader := s.leader()
			// None of the others can be elected from here on: no two of them reach each other.
			r := s.judge.begin(trouble{what: "only " + leader.Name + " reaches a quorum, and ends", isCore: true, isLasting: true, isTotal: true})
			others := s.othersThan(leader)
			s.d.Partition(others[0].Name, others[1].Name)
			s.sleep(time.Second)
			if !s.atNextAck(func(*Member) {
				c.end(s, leader)
				s.endWork()
			}) {
				return
			}
			at := time.Now()
			s.sleep(pollInterval)
			want := s.judge.newest().version
			for _, g := range s.gateways() {
				s.waitFor(at, 2*touchTime, g.Name+" to apply the acknowledged document", func() bool { return s.judge.hasSeen(g.Name, s.boot(g), want) })
			}
			s.judge.end(r)
			s.finish()
		})
	}
}

// endAll kills all processes, and starts all but the leader again, whose data is lost.
func endAll(s *soak, leader *Member) {
	gateways := s.gateways()
	forEach(s.controls(), (*Member).kill)
	forEach(gateways, func(g *Member) { s.stopGateway(g, g.Kill) })
	if err := s.d.LoseData(leader); err != nil {
		s.judge.report("START", "%v", err)
	}
	forEach(s.othersThan(leader), s.startProcess)
	forEach(gateways, s.startGateway)
}

// othersThan returns the control instances without one.
func (s *soak) othersThan(m *Member) []*Member {
	var out []*Member
	for _, c := range s.controls() {
		if c != m {
			out = append(out, c)
		}
	}
	return out
}

// leader returns the control instance that was last elected, by its log.
func (s *soak) leader() *Member {
	s.t.Helper()
	var leader *Member
	newest := 0
	for _, c := range s.controls() {
		log, err := os.ReadFile(c.LogPath)
		if err != nil {
			s.t.Fatal(err)
		}
		for line := range bytes.Lines(log) {
			var l struct {
				Msg, Role string
				Term      int
			}
			if json.Unmarshal(line, &l) == nil && l.Msg == "changed role" && l.Role == "leader" && l.Term > newest {
				leader, newest = c, l.Term
			}
		}
	}
	if leader == nil {
		s.t.Fatal("no control instance was elected")
	}
	return leader
}
