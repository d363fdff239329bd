package instance

import (
	"errors"
	"net/http"
	"testing"

	"github.com/balsamlb/balsamlb/internal/meter"
	"github.com/balsamlb/balsamlb/relay"
	"github.com/matryer/is"
)

// earlierTaker takes requests of other instances, and answers as earlier builds pass answers of backend servers on.
type earlierTaker struct {
	status int
	header http.Header
}

func (e *earlierTaker) AcceptRelay(*relay.Request) (release func(), declined string) {
	return func() {}, ""
}

func (e *earlierTaker) ServeRelay(w http.ResponseWriter, _ *http.Request, _ *relay.Request, _ relay.Progress) {
	for name, values := range e.header {
		w.Header()[name] = values
	}
	w.WriteHeader(e.status)
}

// Guards against answers that are none and come by way of an instance of an earlier build: status 0 ended the handler of a
// gateway, and stands for 200 in the first role.
func TestBrokenHeadsOfRelayedAnswersAreNoAnswers(t *testing.T) {
	for name, c := range map[string]struct {
		earlierTaker
		isBroken bool
	}{
		"sound":           {earlierTaker{http.StatusOK, http.Header{"X-Y": {"z"}}}, false},
		"status 600":      {earlierTaker{600, nil}, false},
		"status 0":        {earlierTaker{0, nil}, true},
		"status 99":       {earlierTaker{99, nil}, true},
		"interim":         {earlierTaker{http.StatusEarlyHints, nil}, true},
		"status 1000":     {earlierTaker{1000, nil}, true},
		"blank in a name": {earlierTaker{http.StatusOK, http.Header{"Content-Length ": {"4"}}}, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := listenLocal(t)
			server := NewServer(&slowReplica{}, &peerOfHalted{})
			server.SetRelayHandler(&c.earlierTaker)
			go func() { _ = server.Serve(t.Context(), l) }()
			d, err := NewDialer("127.0.0.1:0", nil, &meter.Traffic{})
			is.NoErr(err)
			answer, err := NewRelayer(d).Do(t.Context(), l.Addr().String(), &relay.Request{Method: http.MethodGet, Target: "/"}, func(int) {})
			is.Equal(errors.Is(err, relay.ErrBroken), c.isBroken)
			if !c.isBroken {
				is.NoErr(err)
				is.Equal(answer.Status, c.status)
			}
		})
	}
}
