package replica

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/config"
	"github.com/balsamlb/balsamlb/credit"
	_ "github.com/balsamlb/balsamlb/internal/seeded"
	"github.com/balsamlb/balsamlb/ledger"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// idempotencyKeys are plain keys and two version 7 UUIDs with timestamps in 2026 and 2527.
var idempotencyKeys = []string{"k1", "k2", "k3", "019ae5c8-0000-7000-8000-000000000001", "1000e5c8-0000-7000-8000-000000000002"}

func drawKey(t *rapid.T) ledger.Key {
	return ledger.Key{
		Workspace:   rapid.SampledFrom([]string{"kandy", "galle"}).Draw(t, "workspace"),
		Service:     "booking",
		Idempotency: rapid.SampledFrom(idempotencyKeys).Draw(t, "key"),
	}
}

func drawTimestamp(t *rapid.T) Timestamp {
	return Timestamp{
		Source:    rapid.SampledFrom([]string{"", "colombo-1", "kandy-1"}).Draw(t, "source"),
		Monotonic: rapid.SampledFrom([]time.Duration{time.Minute, 20 * time.Hour, 40 * time.Hour, 90 * time.Hour}).Draw(t, "monotonic"),
		Wall:      time.Unix(1_764_800_000, 0).UTC(),
	}
}

// drawCommand draws from few keys and attempts, so that commands often affect the same records.
func drawCommand(t *rapid.T) Command {
	c := Command{Timestamp: drawTimestamp(t)}
	attempt := fmt.Sprintf("a%d", rapid.IntRange(1, 6).Draw(t, "attempt"))
	switch rapid.IntRange(0, 6).Draw(t, "kind") {
	case 0, 1:
		c.Begin = &ledger.Begin{
			Key:        drawKey(t),
			Digest:     ledger.Digest{byte(rapid.IntRange(0, 1).Draw(t, "digest"))},
			Attempt:    attempt,
			Dispatcher: ledger.Dispatcher{Instance: "kandy-1", Incarnation: 7},
			Server:     ledger.Server{Name: "s", Incarnation: 3, Address: "127.0.0.1:1", Resolves: true},
			LookupOnly: rapid.Bool().Draw(t, "look"),
		}
	case 2:
		c.Finish = &Finish{Credit: credit.Entry{Member: "m", Kind: "booking"}}
		c.Finish.Key = drawKey(t)
		c.Finish.Attempt = attempt
		c.Finish.Phase = rapid.SampledFrom([]ledger.Phase{ledger.PhaseFinished, ledger.PhaseUnknown}).Draw(t, "phase")
		c.Finish.Answer = ledger.Answer{Status: 200, ContentType: "text/plain", Body: []byte(attempt)}
	case 3:
		c.Abandon = &ledger.Abandon{Key: drawKey(t), Attempt: attempt}
	case 4:
		c.Change = &config.Change{
			ID:       attempt,
			Expect:   uint64(rapid.IntRange(0, 4).Draw(t, "expect")),
			Base:     attempt,
			Overlays: map[string]string{"kandy": "x", "galle": attempt},
		}
	case 5:
		c.Drain = &Drain{Server: attempt, On: rapid.Bool().Draw(t, "on"), Move: rapid.SampledFrom([]string{"", "m"}).Draw(t, "move")}
	case 6:
		c.Credits = &credit.Batch{
			Source:      rapid.SampledFrom([]string{"kandy-1", "galle-1"}).Draw(t, "credit source"),
			Incarnation: rapid.Uint64Range(1, 2).Draw(t, "incarnation"),
			Sequence:    rapid.Uint64Range(1, 3).Draw(t, "sequence"),
			Counts:      []credit.Count{{Account: credit.Account{Member: "m", Kind: "draft"}, Count: 2}},
		}
	}
	return c
}

// TestRestoredStateMatchesOriginal guards against state that a snapshot loses: it compares a
// state that applies all commands with one that is restored from a snapshot after each command.
func TestRestoredStateMatchesOriginal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.NewRelaxed(t)
		original := NewState()
		restored := NewState()
		commands := rapid.Uint64Range(1, 80).Draw(t, "commands")
		for index := uint64(1); index <= commands; index++ {
			data, err := drawCommand(t).Encode()
			is.NoErr(err)
			c, err := Decode(data)
			is.NoErr(err)
			want, err := original.Apply(index, c).Encode()
			is.NoErr(err)
			got, err := restored.Apply(index, c).Encode()
			is.NoErr(err)
			if !bytes.Equal(got, want) {
				t.Fatalf("command %d %+v: the restored state returned %q, the original %q", index, c, got, want)
			}
			snapshot, err := restored.Snapshot()
			is.NoErr(err)
			direct, err := original.Snapshot()
			is.NoErr(err)
			if !bytes.Equal(snapshot, direct) {
				t.Fatalf("command %d: the snapshots differ", index)
			}
			restored, err = Restore(snapshot)
			is.NoErr(err)
		}
	})
}

func TestUnreadableSnapshotIsRejected(t *testing.T) {
	is := is.New(t)
	_, err := Restore([]byte{0x08, 0x63})
	is.True(err != nil)
	_, err = Restore([]byte("no snapshot"))
	is.True(err != nil)
}

func TestAddTimestampReplacesPreviousTimestamp(t *testing.T) {
	is := is.New(t)
	data, err := Command{Drain: &Drain{Server: "s", On: true}, Timestamp: Timestamp{Source: "caller", Monotonic: 1}}.Encode()
	is.NoErr(err)
	want := Timestamp{Source: "leader", Monotonic: 2 * time.Second, Wall: time.Unix(5, 0).UTC()}
	data, err = AddTimestamp(data, want)
	is.NoErr(err)
	c, err := Decode(data)
	is.NoErr(err)
	is.Equal(c.Timestamp, want)
	is.Equal(c.Drain.Server, "s")
}

func FuzzDecode(f *testing.F) {
	data, _ := Command{Begin: &ledger.Begin{Attempt: "a"}}.Encode()
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := Decode(data)
		if err != nil {
			return
		}
		NewState().Apply(1, c)
		if _, err := c.Encode(); err != nil {
			t.Fatal(err)
		}
	})
}

func FuzzRestore(f *testing.F) {
	data, _ := NewState().Snapshot()
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Restore(data)
		if err != nil {
			return
		}
		s.Apply(1, Command{Begin: &ledger.Begin{Attempt: "a"}, Timestamp: Timestamp{Source: "x", Monotonic: time.Hour}})
		if _, err := s.Snapshot(); err != nil {
			t.Fatal(err)
		}
	})
}

func FuzzDecodeResult(f *testing.F) {
	data, _ := Result{Ledger: &ledger.Result{Verdict: ledger.VerdictNew}}.Encode()
	f.Add(data)
	f.Fuzz(func(_ *testing.T, data []byte) { _, _ = DecodeResult(data) })
}
