package daemon

import (
	"context"
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/admission"
	"github.com/balsamlb/balsamlb/dispatch"
	"github.com/balsamlb/balsamlb/outcome"
	"github.com/balsamlb/balsamlb/settings"
	"github.com/go-logr/logr"
	"github.com/matryer/is"
)

func request(id string, limit time.Duration) dispatch.Request {
	return dispatch.Request{
		ID:        id,
		Service:   settings.Service{Name: "stock", Kind: settings.ServicePlain},
		Workspace: settings.Workspace{Name: "kandy", Share: 1, MaxInFlight: 9},
		Deadline:  time.Now().Add(limit),
	}
}

// A waiting request must be refused in time even if no other request arrives or ends.
func TestWaitingRequestIsRefusedByItsDeadline(t *testing.T) {
	is := is.New(t)
	a := newAdmitter(1, false, func() settings.SharedConfig { return settings.SharedConfig{} }, logr.Discard())
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- a.runTicks(ctx) }()
	a.setForecast("stock", admission.Forecast{Slots: 1, FirstToken: time.Millisecond})
	release, refusal := a.Admit(ctx, request("first", time.Hour), admission.Size{})
	is.Equal(refusal, nil)
	for range 3 {
		_, refusal = a.Admit(ctx, request("second", 200*time.Millisecond), admission.Size{})
		is.True(refusal != nil)
		is.Equal(refusal.Outcome, outcome.NotRun)
	}
	release(true)
	cancel()
	is.NoErr(<-done)
}

func TestSlotIsFreedBeforeTheAnswerIsRecorded(t *testing.T) {
	is := is.New(t)
	a := newAdmitter(1, false, func() settings.SharedConfig { return settings.SharedConfig{} }, logr.Discard())
	a.setForecast("stock", admission.Forecast{Slots: 1, FirstToken: time.Millisecond})
	release, refusal := a.Admit(t.Context(), request("first", time.Hour), admission.Size{})
	is.True(refusal == nil)
	second := make(chan *outcome.Error, 1)
	go func() {
		_, refusal := a.Admit(t.Context(), request("second", time.Hour), admission.Size{})
		second <- refusal
	}()
	a.served("first")
	is.True(<-second == nil)
	is.Equal(a.InFlight(), 2) // the first request still counts as in flight, so a shutdown waits for it
	release(true)
	is.Equal(a.InFlight(), 1)
}
