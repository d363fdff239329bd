package operator

import (
	"bytes"
	"net"
	"net/http"
	"testing"

	"github.com/balsamlb/balsamlb/intake"
	"github.com/balsamlb/balsamlb/internal/connguard"
	"github.com/matryer/is"
)

// A call for which there is no memory is refused in the form that balsamctl reads, and isn't run.
func TestCallsAreRefusedForLackOfMemoryInJSON(t *testing.T) {
	is := is.New(t)
	s := NewServer(nil, nil) // a call that runs would panic
	connguard.GuardFastHTTP(s, connguard.DecodedBody)
	guard := connguard.New(connguard.Options{Limits: intake.Limits{Bytes: 200 << 10}})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	go func() { _ = s.Serve(guard.Listener(l)) }()

	status, err := NewClient(l.Addr().String()).call(http.MethodPost, PathConfig, string(bytes.Repeat([]byte("x"), 60_000)), nil)
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(err.Error(), "operator: call "+l.Addr().String()+PathConfig+": status 503: the call was not run: "+connguard.ErrNoMemory.Error())
}
