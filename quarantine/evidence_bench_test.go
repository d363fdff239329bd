package quarantine

import (
	"fmt"
	"testing"
	"time"
)

// newEvidenceUnderAttack returns an Evidence with as many contents as it tracks: unlike requests with
// one part that crash two servers each, with twenty other requests there.
func newEvidenceUnderAttack() (e *Evidence, now time.Time) {
	e = NewEvidence()
	for i := 0; len(e.contents) < maxContents-21; i++ {
		now = at(20 * i)
		for n := range 2 {
			server := fmt.Sprint("s", i, "-", n)
			contents := []Fingerprint{Fingerprint(1000*i + 1)}
			prompts := [][]Part{{1, 9}}
			for b := range 20 {
				contents = append(contents, Fingerprint(1000*i+2+b))
				prompts = append(prompts, []Part{1, Part(20 + b%30)})
			}
			addCrash(e, now, server, contents...)
			addPartCrash(e, now, server, prompts...)
		}
		e.ClearParts(now, []Part{1})
	}
	return e, now
}

func BenchmarkCheckOfSuspectAmongMany(b *testing.B) {
	e, now := newEvidenceUnderAttack()
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		e.Check(now, Fingerprint(1000*(i%40)+1))
		i++
	}
}

func BenchmarkNeedsTrialAmongMany(b *testing.B) {
	e, now := newEvidenceUnderAttack()
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		e.NeedsTrial(now, Fingerprint(1000*(i%40)+1))
		i++
	}
}

// BenchmarkHeldPartAmongMany measures the look-up of a request whose parts are known, but clear.
func BenchmarkHeldPartAmongMany(b *testing.B) {
	e, now := newEvidenceUnderAttack()
	parts := []Part{1, 25, 35}
	b.ReportAllocs()
	for b.Loop() {
		if isHeld(e, now, parts...) {
			b.Fatal("held back")
		}
	}
}

// BenchmarkNewPartDecision measures a decision, which is made after a change, every decisionInterval at
// most.
func BenchmarkNewPartDecision(b *testing.B) {
	e, now := newEvidenceUnderAttack()
	b.ReportAllocs()
	for b.Loop() {
		e.parts.newDecision(now)
	}
}

// BenchmarkHeldPartWithoutCrashes measures the usual case.
func BenchmarkHeldPartWithoutCrashes(b *testing.B) {
	e := NewEvidence()
	parts := []Part{1, 25, 35}
	b.ReportAllocs()
	for b.Loop() {
		isHeld(e, at(0), parts...)
	}
}

// BenchmarkSuspectOfUnlikeContents measures verdict and turn where no part is known to be the cause.
func BenchmarkSuspectOfUnlikeContents(b *testing.B) {
	e := NewEvidence()
	var now time.Time
	for i := 0; len(e.contents) < maxContents-21; i++ {
		now = at(20 * i)
		for n := range 2 {
			var contents []Fingerprint
			for c := range 21 {
				contents = append(contents, Fingerprint(1000*i+1+c))
			}
			addCrash(e, now, fmt.Sprint("s", i, "-", n), contents...)
		}
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		f := Fingerprint(1000*(i%90) + 1)
		e.Check(now, f)
		e.NeedsTrial(now, f)
		i++
	}
}
