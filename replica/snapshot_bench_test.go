package replica

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/balsamlb/balsamlb/ledger"
)

// benchmarkState returns a state with finished bookings whose answers are 100 bytes long.
func benchmarkState(records int) *State {
	s := NewState()
	body := make([]byte, 100)
	for i := range records {
		key := ledger.Key{Workspace: "kandy", Service: "booking", Idempotency: fmt.Sprintf("019ae5c8-0000-7000-8000-%012d", i)}
		attempt := fmt.Sprintf("colombo-entry-17-%024d", i)
		s.Apply(uint64(i), Command{Begin: &ledger.Begin{Key: key, Attempt: attempt, Server: ledger.Server{Name: "colombo-ordering"}}})
		f := &Finish{}
		f.Key, f.Attempt, f.Phase = key, attempt, ledger.PhaseFinished
		f.Answer = ledger.Answer{Status: 200, ContentType: "application/json", Body: body}
		s.Apply(uint64(i), Command{Finish: f})
	}
	return s
}

func BenchmarkSnapshot100k(b *testing.B) {
	s := benchmarkState(100_000)
	b.ReportAllocs()
	for b.Loop() {
		data, err := s.Snapshot()
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(data))/100_000, "B/record")
	}
}

// BenchmarkImage100k measures the copy of the state, during which a replica applies no commands.
func BenchmarkImage100k(b *testing.B) {
	s := benchmarkState(100_000)
	for b.Loop() {
		if im := s.Image(); len(im.ledger.Records) != 100_000 {
			b.Fatal("records are missing")
		}
	}
}

// BenchmarkMemory100k reports the memory used per record.
func BenchmarkMemory100k(b *testing.B) {
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		s := benchmarkState(100_000)
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/100_000, "B/record")
		runtime.KeepAlive(s)
	}
}

func BenchmarkRestore100k(b *testing.B) {
	data, err := benchmarkState(100_000).Snapshot()
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, err := Restore(data); err != nil {
			b.Fatal(err)
		}
	}
}
