package ledger

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var key = Key{Workspace: "kandy", Service: "booking", Idempotency: "k"}

func begin(attempt string, digest byte) Begin {
	return Begin{Key: key, Digest: Digest{digest}, Attempt: attempt, Dispatcher: Dispatcher{Instance: "kandy-1"}}
}

func TestOnlyTheFirstAttemptIsGranted(t *testing.T) {
	is := is.New(t)
	l := New()
	is.Equal(l.Begin(CommandTime{}, begin("a", 1)).Verdict, VerdictGranted)
	is.Equal(l.Begin(CommandTime{}, begin("a", 1)).Verdict, VerdictGranted) // a duplicate of the command
	is.Equal(l.Begin(CommandTime{}, begin("b", 1)).Verdict, VerdictRunning)
	is.Equal(l.Begin(CommandTime{}, begin("b", 2)).Verdict, VerdictMismatch)
	l.Finish(CommandTime{}, Finish{Key: key, Attempt: "a", Phase: PhaseFinished, Answer: Answer{Status: 200}})
	r := l.Begin(CommandTime{}, begin("b", 1))
	is.Equal(r.Verdict, VerdictFinished)
	is.Equal(r.Record.Answer.Status, 200)
}

func TestAnAbandonedBeginIsNeverGrantedLater(t *testing.T) {
	is := is.New(t)
	l := New()
	l.Abandon(CommandTime{}, Abandon{Key: key, Attempt: "a"})
	is.Equal(l.Begin(CommandTime{}, begin("a", 1)).Verdict, VerdictAbandoned)
	is.Equal(l.Begin(CommandTime{}, begin("b", 1)).Verdict, VerdictGranted)
}

func TestAFinishedAttemptIsNotAbandoned(t *testing.T) {
	is := is.New(t)
	l := New()
	l.Begin(CommandTime{}, begin("a", 1))
	l.Finish(CommandTime{}, Finish{Key: key, Attempt: "a", Phase: PhaseFinished})
	is.Equal(l.Abandon(CommandTime{}, Abandon{Key: key, Attempt: "a"}).Verdict, VerdictFinished)
	is.Equal(l.Begin(CommandTime{}, begin("b", 1)).Verdict, VerdictFinished)
}

func TestOnlyTheGrantedAttemptFinishes(t *testing.T) {
	is := is.New(t)
	l := New()
	l.Begin(CommandTime{}, begin("a", 1))
	is.Equal(l.Finish(CommandTime{}, Finish{Key: key, Attempt: "b", Phase: PhaseFinished}).Verdict, VerdictStale)
	is.Equal(l.Begin(CommandTime{}, begin("c", 1)).Verdict, VerdictRunning)
}

func TestExpiredKeyIsRefusedAndNewKeyIsNot(t *testing.T) {
	is := is.New(t)
	wall := time.UnixMilli(0x019ae5c80000).Add(time.Minute)
	timed := Key{Workspace: "kandy", Service: "booking", Idempotency: "019ae5c8-0000-7000-8000-000000000001"}
	later := Key{Workspace: "kandy", Service: "booking", Idempotency: "019ae5c8-0001-7000-8000-000000000001"}
	l := New()
	for i, k := range []Key{key, timed} {
		b := Begin{Key: k, Attempt: fmt.Sprint(i)}
		is.Equal(l.Begin(CommandTime{Wall: wall}, b).Verdict, VerdictGranted)
	}
	after := CommandTime{Replicated: Retention, Wall: wall.Add(Retention)}
	is.Equal(l.Begin(after, Begin{Key: key, Attempt: "x"}).Verdict, VerdictExpired)
	is.Equal(l.Begin(after, Begin{Key: timed, Attempt: "y"}).Verdict, VerdictExpired)
	is.Equal(l.Len(), 0)
	is.Equal(len(l.expired.filters), 1) // the key that contains a time is in no filter
	is.Equal(l.expired.filters[0].count, uint64(1))
	is.Equal(l.Begin(after, Begin{Key: later, Attempt: "z"}).Verdict, VerdictGranted)
	is.Equal(l.Begin(after, Begin{Key: Key{Idempotency: "new"}, Attempt: "n"}).Verdict, VerdictGranted)
}

// TestBloomFilterHasNoFalseNegatives also checks the rate of false positives.
func TestBloomFilterHasNoFalseNegatives(t *testing.T) {
	is := is.New(t)
	f := newExpiredKeys()
	const used, fresh = 20_000, 100_000
	for i := range used {
		f.add(Record{Key: Key{Idempotency: fmt.Sprint("used", i)}})
	}
	for i := range used {
		is.True(f.has(Key{Idempotency: fmt.Sprint("used", i)}))
	}
	falsePositives := 0
	for i := range fresh {
		if f.has(Key{Idempotency: fmt.Sprint("fresh", i)}) {
			falsePositives++
		}
	}
	is.True(falsePositives <= 10) // 3 filters, each below 1 in 100,000: at most 3 expected, plus a margin
}

func TestAnswersAreBounded(t *testing.T) {
	is := is.New(t)
	l := New()
	body := make([]byte, MaxAnswerBytes)
	const count = MaxAnswersBytes/MaxAnswerBytes + 5
	for i := range count {
		k := Key{Idempotency: fmt.Sprint(i)}
		l.Begin(CommandTime{}, Begin{Key: k, Attempt: fmt.Sprint(i)})
		l.Finish(CommandTime{}, Finish{Key: k, Attempt: fmt.Sprint(i), Phase: PhaseFinished, Answer: Answer{Status: 200, Body: body}})
	}
	is.Equal(l.answerBytes, MaxAnswersBytes)
	oldest, _ := l.Lookup(Key{Idempotency: "4"})
	is.True(oldest.Answer.Dropped)
	kept, _ := l.Lookup(Key{Idempotency: "5"})
	is.True(!kept.Answer.Dropped)
	l.Begin(CommandTime{}, begin("big", 1))
	r := l.Finish(CommandTime{}, Finish{Key: key, Attempt: "big", Phase: PhaseFinished, Answer: Answer{Body: append(body, 0)}})
	is.True(r.Record.Answer.Dropped)
}

// TestLateAbandonOfReusedKeyIsStale simulates an instance that is paused after its grant. Its
// attempt is refused by the server and abandoned by another instance, whose own attempt then
// runs. When the paused instance resumes, its Abandon must not report that the key has not run.
func TestLateAbandonOfReusedKeyIsStale(t *testing.T) {
	is := is.New(t)
	l := New()
	l.Begin(CommandTime{}, begin("frozen", 1))
	is.Equal(l.Abandon(CommandTime{}, Abandon{Key: key, Attempt: "frozen"}).Verdict, VerdictAbandoned) // by the resolver
	l.Begin(CommandTime{}, begin("second", 1))
	l.Finish(CommandTime{}, Finish{Key: key, Attempt: "second", Phase: PhaseFinished})
	is.Equal(l.Abandon(CommandTime{}, Abandon{Key: key, Attempt: "frozen"}).Verdict, VerdictStale)
	expired := CommandTime{Replicated: Retention}
	is.Equal(l.Abandon(expired, Abandon{Key: key, Attempt: "frozen"}).Verdict, VerdictStale)
}

// TestAbandonedRecordsDoNotAccumulate abandons many attempts while an older record stays at the
// front of the queue. The records of the abandoned attempts must not accumulate behind it.
func TestAbandonedRecordsDoNotAccumulate(t *testing.T) {
	is := is.New(t)
	l := New()
	l.Begin(CommandTime{}, begin("old", 1))
	for i := range 10 * minCompactRecords {
		k := Key{Idempotency: fmt.Sprint(i)}
		l.Begin(CommandTime{}, Begin{Key: k, Attempt: fmt.Sprint(i)})
		l.Abandon(CommandTime{}, Abandon{Key: k, Attempt: fmt.Sprint(i)})
	}
	is.Equal(l.Len(), 1)
	is.True(len(l.queue.records) <= minCompactRecords)
	is.Equal(l.Begin(CommandTime{}, begin("new", 1)).Verdict, VerdictRunning)
}

func TestOldestRecordsExpireAboveMaxRecords(t *testing.T) {
	is := is.New(t)
	l := New()
	for i := range MaxRecords + 10 {
		l.Begin(CommandTime{}, Begin{Key: Key{Idempotency: fmt.Sprint(i)}, Attempt: fmt.Sprint(i)})
	}
	is.Equal(l.Len(), MaxRecords+1) // the surplus record expires with the next command
	is.Equal(l.Begin(CommandTime{}, Begin{Key: Key{Idempotency: "0"}, Attempt: "again"}).Verdict, VerdictExpired)
	is.Equal(l.Len(), MaxRecords)
}

// Guards against a total of the stored bodies that drifts: an unknown outcome with a body that was
// replaced by the known one, or abandoned, stayed in the total, so that bodies of other records were
// dropped early, and only at replicas that had not been restored from a snapshot.
func TestAnswerBytesIsTheSumOfTheBodies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := New()
		now := CommandTime{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
			k := Key{Idempotency: name}
			switch rapid.IntRange(0, 4).Draw(t, "command") {
			case 0:
				l.Begin(now, Begin{Key: k, Attempt: name})
			case 1:
				l.Abandon(now, Abandon{Key: k, Attempt: name})
			case 2:
				now.Replicated += Retention / 3
			default:
				phase := rapid.SampledFrom([]Phase{PhaseUnknown, PhaseFinished}).Draw(t, "phase")
				body := make([]byte, rapid.IntRange(0, 9).Draw(t, "bytes"))
				l.Finish(now, Finish{Key: k, Attempt: name, Phase: phase, Answer: Answer{Body: body}})
			}
			sum := 0
			for _, r := range l.records {
				sum += len(r.Answer.Body)
			}
			if l.answerBytes != sum {
				t.Fatalf("answerBytes is %d, the bodies have %d bytes", l.answerBytes, sum)
			}
		}
	})
}
