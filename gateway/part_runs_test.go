package gateway

import (
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/quarantine"
	"github.com/matryer/is"
)

// Guards against a stream that began before a part of its prompt crashed servers, pauses or is rerouted, and
// then clears the part of these crashes: its first server did not begin to write after them.
func TestStreamThatGoesOnClearsOnlyCrashesBeforeItBegan(t *testing.T) {
	for name, interrupt := range map[string]func(*writing){
		"pause":   func(*writing) {},
		"reroute": func(w *writing) { w.restart([]quarantine.Crash{{Server: "head"}, {Server: "other"}}) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := &writing{}
			w.restart([]quarantine.Crash{{Server: "head"}, {Server: "later"}})
			began := time.Unix(1000, 0)
			w.record(began)
			begun, isSoundNow := w.record(began.Add(soundAfter))
			is.True(!isSoundNow) // with a gap of more than writingGap the run counts from its second event
			interrupt(w)
			again := began.Add(10 * time.Second)
			for t := time.Duration(0); t <= soundAfter && !isSoundNow; t += writingGap / 2 {
				begun, isSoundNow = w.record(again.Add(t))
			}
			if !isSoundNow {
				begun, isSoundNow = w.record(again.Add(soundAfter))
			}
			is.True(isSoundNow)
			is.Equal(begun, began)
			is.Equal(w.begun(), began)
		})
	}
}
