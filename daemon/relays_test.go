package daemon

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/balsamlb/balsamlb/admission"
	"github.com/balsamlb/balsamlb/backend"
	"github.com/balsamlb/balsamlb/caller"
	"github.com/balsamlb/balsamlb/dispatch"
	"github.com/balsamlb/balsamlb/instance"
	"github.com/balsamlb/balsamlb/internal/meter"
	"github.com/balsamlb/balsamlb/internal/ring"
	"github.com/balsamlb/balsamlb/metrics"
	"github.com/balsamlb/balsamlb/outcome"
	"github.com/balsamlb/balsamlb/pipeline"
	"github.com/balsamlb/balsamlb/relay"
	"github.com/balsamlb/balsamlb/settings"
	"github.com/go-logr/logr"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
)

// namedDispatcher answers each request with its name.
type namedDispatcher string

func (d namedDispatcher) Draft(context.Context, dispatch.Draft) *ring.Ring[dispatch.DraftEvent] {
	events := ring.New[dispatch.DraftEvent](2)
	events.Offer(dispatch.DraftEvent{Token: pipeline.Token{Text: string(d)}})
	events.Offer(dispatch.DraftEvent{Done: true})
	return events
}

func (d namedDispatcher) Call(context.Context, dispatch.Call) (backend.CallAnswer, *outcome.Error) {
	return backend.CallAnswer{Status: http.StatusOK, ContentType: "text/plain", Body: []byte(d)}, nil
}

type admitAll struct{}

func (admitAll) Admit(context.Context, dispatch.Request, admission.Size) (func(bool), *outcome.Error) {
	return func(bool) {}, nil
}

// relayInstance is one instance that serves callers and takes requests of others.
type relayInstance struct {
	callers, relays string // addresses
	isCutOff        bool
	notReady        string
	config          uint64
}

func startRelayInstance(t *testing.T, name string, others func() []relay.Instance) *relayInstance {
	t.Helper()
	cfg, err := settings.ParseSharedConfig(settings.File{Name: "base.ini", Text: "[limits]\nmax_body = 2048\nmax_tokens = 8\n" +
		"[service draft]\nkind = draft\nmodel = m\nlayers = 4\n[service stock]\n[service booking]\nidempotent = false\n[workspace kandy]\n"}, settings.File{})
	if err != nil {
		t.Fatal(err)
	}
	dialer, err := instance.NewDialer("127.0.0.1:1", nil, &meter.Traffic{})
	if err != nil {
		t.Fatal(err)
	}
	i := &relayInstance{config: 1}
	options := caller.Options{
		Dispatcher: namedDispatcher(name), Admitter: admitAll{}, Config: func() settings.SharedConfig { return cfg },
		NewID: func() string { return "r-1" }, Log: logr.Discard(),
		Metrics: metrics.New(prometheus.NewRegistry(), func() metrics.State { return metrics.State{} }),
		Relays: &caller.Relays{
			Name: name, Instances: others, IsCutOff: func() bool { return i.isCutOff }, NotReady: func() string { return i.notReady },
			ConfigVersion: func() uint64 { return i.config }, Sender: instance.NewRelayer(dialer), Chooser: relay.NewChooser(),
		},
	}
	listener := func() net.Listener {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = l.Close() })
		return l
	}
	callers, relays := listener(), listener()
	i.callers, i.relays = callers.Addr().String(), relays.Addr().String()
	go func() { _ = caller.NewServer(t.Context(), options).Serve(callers) }()
	server := instance.NewServer(nil, nil)
	server.SetRelayHandler(caller.NewRelayHandler(t.Context(), options))
	go func() { _ = server.Serve(t.Context(), relays) }()
	return i
}

// Guards against the incident RECOVER in dispatch: callers of an instance that is cut off from all servers are
// refused. An instance that can't take their requests declines them.
func TestCallersOfCutOffInstanceAreServedByAnother(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(first, second *relayInstance)
		by     string
	}{
		{"not cut off", func(first, _ *relayInstance) { first.isCutOff = false }, "first"},
		{"cut off", func(*relayInstance, *relayInstance) {}, "second"},
		{"the other is cut off, too", func(_, second *relayInstance) { second.isCutOff = true }, "first"},
		{"the other is leaving", func(_, second *relayInstance) { second.notReady = "leaving" }, "first"},
		{"the other has an older configuration", func(first, _ *relayInstance) { first.config = 2 }, "first"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var first, second *relayInstance
			first = startRelayInstance(t, "first", func() []relay.Instance { return []relay.Instance{{Name: "second", Address: second.relays}} })
			second = startRelayInstance(t, "second", func() []relay.Instance { return []relay.Instance{{Name: "first", Address: first.relays}} })
			first.isCutOff = true
			c.change(first, second)
			for path, body := range map[string]string{
				"/v1/completions":      `{"model":"draft","prompt":"p","max_tokens":1}`,
				"/v1/completions?s":    `{"model":"draft","prompt":"p","max_tokens":1,"stream":true}`,
				"/v1/services/stock":   "body",
				"/v1/services/booking": "body",
			} {
				is := is.New(t)
				r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+first.callers+path, strings.NewReader(body))
				is.NoErr(err)
				r.Header.Set("X-Workspace", "kandy")
				r.Header.Set("Idempotency-Key", "k")
				resp, err := http.DefaultClient.Do(r)
				is.NoErr(err)
				text, err := io.ReadAll(resp.Body)
				_ = resp.Body.Close()
				is.NoErr(err)
				is.Equal(resp.StatusCode, http.StatusOK)
				is.True(strings.Contains(string(text), c.by))
				is.Equal(resp.Header.Get("X-Request-Id"), "r-1")
			}
		})
	}
}
