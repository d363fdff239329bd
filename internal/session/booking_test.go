package session

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/config"
	"github.com/balsamlb/balsamlb/credit"
	"github.com/balsamlb/balsamlb/ledger"
	"github.com/balsamlb/balsamlb/replica"
	"github.com/matryer/is"
)

// verdicts holds the names of the verdicts in golden files.
var verdicts = map[ledger.Verdict]string{
	ledger.VerdictGranted: "granted", ledger.VerdictRunning: "running", ledger.VerdictFinished: "finished",
	ledger.VerdictUnknown: "unknown", ledger.VerdictMismatch: "mismatch", ledger.VerdictAbandoned: "abandoned",
	ledger.VerdictNew: "new", ledger.VerdictExpired: "expired", ledger.VerdictStale: "stale",
}

// applyWithTimestamp applies a command with a timestamp of the leader.
func (s *session) applyWithTimestamp(c replica.Command) replica.Result {
	c.Timestamp = replica.Timestamp{Source: "colombo-1/1", Monotonic: s.now.Sub(time.Unix(0, 0)), Wall: time.Unix(1_765_000_000, 0)}
	return s.apply(c)
}

func (s *session) begin(attempt, idempotency string, lookupOnly bool) {
	r := s.applyWithTimestamp(replica.Command{Begin: &ledger.Begin{Key: bookingKey(idempotency), Attempt: attempt, LookupOnly: lookupOnly}})
	s.logLine("%s begins %s (look %t): %s", attempt, idempotency, lookupOnly, verdicts[r.Ledger.Verdict])
}

func (s *session) finish(attempt, idempotency string, phase ledger.Phase, body string) {
	f := &replica.Finish{Credit: credit.Entry{Member: "kandy", Kind: "booking"}}
	f.Key, f.Attempt, f.Phase = bookingKey(idempotency), attempt, phase
	f.Answer = ledger.Answer{Status: 200, Body: []byte(body)}
	r := s.applyWithTimestamp(replica.Command{Finish: f})
	s.logLine("%s finishes %s as phase %d: %s, answer %q", attempt, idempotency, phase, verdicts[r.Ledger.Verdict], r.Ledger.Record.Answer.Body)
}

func (s *session) abandon(attempt, idempotency string) {
	r := s.applyWithTimestamp(replica.Command{Abandon: &ledger.Abandon{Key: bookingKey(idempotency), Attempt: attempt}})
	s.logLine("%s abandons %s: %s", attempt, idempotency, verdicts[r.Ledger.Verdict])
}

func bookingKey(idempotency string) ledger.Key {
	return ledger.Key{Workspace: "kandy", Service: "booking", Idempotency: idempotency}
}

// restart replaces the state by one that is restored from its snapshot.
func (s *session) restart(t *testing.T) {
	data, err := s.state.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if s.state, err = replica.Restore(data); err != nil {
		t.Fatal(err)
	}
	s.logLine("all control instances restart from a snapshot")
}

func (s *session) configure(author, id string, expect uint64, text string) {
	r := s.applyWithTimestamp(replica.Command{Change: &config.Change{ID: id, Expect: expect, Base: text, Author: author}}).Config
	s.logLine("%s sends %s against version %d: accepted %t, version %d", author, id, expect, r.Accepted, r.Version)
	if !r.Accepted {
		s.logLine("the difference:\n%s", config.Diff(r.Current, config.Document{Base: text}))
	}
}

func TestBookingAndConfigurationSession(t *testing.T) {
	is := is.New(t)
	s := &session{now: time.Unix(0, 0), state: replica.NewState()}
	s.logLine("a look, a booking, and its duplicate")
	s.begin("a1", "k1", true)
	s.begin("a1", "k1", false)
	s.begin("a2", "k1", false)
	s.finish("a1", "k1", ledger.PhaseFinished, "booked")
	s.begin("a2", "k1", false)
	s.logLine("a Begin that arrives after its Abandon")
	s.abandon("b1", "k2")
	s.begin("b1", "k2", false)
	s.begin("b2", "k2", false)
	s.logLine("an instance freezes after its grant, the server bars it, another attempt runs, the first one wakes")
	s.begin("c1", "k3", false)
	s.abandon("c1", "k3")
	s.begin("c2", "k3", false)
	s.finish("c2", "k3", ledger.PhaseFinished, "booked by c2")
	s.abandon("c1", "k3")
	s.logLine("an unknown outcome becomes known")
	s.begin("d1", "k4", false)
	s.finish("d1", "k4", ledger.PhaseUnknown, "")
	s.begin("d2", "k4", false)
	s.finish("d1", "k4", ledger.PhaseFinished, "booked after all")
	s.begin("d2", "k4", false)
	s.logLine("two operators against one version, and a change sent again after a restart")
	s.configure("ana", "x1", 0, "[limits]\nmax_tokens = 100\n")
	s.configure("ben", "x2", 0, "[limits]\nmax_tokens = 200\n")
	s.configure("ben", "x2", 1, "[limits]\nmax_tokens = 200\n")
	s.restart(t)
	s.configure("ana", "x1", 0, "[limits]\nmax_tokens = 100\n")
	s.begin("a3", "k1", false)
	s.begin("b1", "k2", false)
	s.logLine("a day passes")
	s.now = s.now.Add(ledger.Retention)
	s.begin("a4", "k1", false)
	s.begin("e1", "k5", false)
	for account, n := range s.state.Credits.Counts() {
		s.logLine("credits of %s for %s: %d", account.Member, account.Kind, n)
	}

	path := filepath.Join("testdata", "booking.golden")
	if *update {
		is.NoErr(os.WriteFile(path, []byte(s.out.String()), 0o644))
	}
	want, err := os.ReadFile(path)
	is.NoErr(err)
	if s.out.String() != string(want) {
		t.Fatalf("the session differs from %s:\n%s", path, s.out.String())
	}
}
