package gateway_test

import (
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/balsamlb/balsamlb/routing"
	"github.com/klauspost/compress/zstd"
	"github.com/matryer/is"
)

// rankedDocument has one plain service whose routes have the given priorities.
func rankedDocument(urgent, cheap string) string {
	return `{"Version":8,"Routes":[
 {"Name":"urgent","Hostname":"shop","PathPrefix":"/urgent/","Kind":"idempotent","TimeoutMs":20000,"TargetLatencyMs":9000,"Service":"desk","Priority":` + urgent + `},
 {"Name":"cheap","Hostname":"shop","PathPrefix":"/cheap/","Kind":"idempotent","TimeoutMs":20000,"TargetLatencyMs":9000,"Service":"desk","Priority":` + cheap + `}],
"Services":[{"Name":"desk"}],"Limits":{"MaxBodyBytes":1000},"Tenants":[{"Name":"kandy","ApiKeys":["key-1"]}]}`
}

// startBusyDesk starts a gateway with one server whose four slots are taken by requests of the route /cheap/. It
// returns the targets that reach the server after those, and a channel each element of which ends one request.
func startBusyDesk(t *testing.T, document string) (f *fleet, reached chan string, end chan struct{}, answered chan result) {
	f = newFleet(t)
	reached, end, answered = make(chan string, 64), make(chan struct{}), make(chan result, 64)
	f.serve("d1", "desk", 0, 0, func(c net.Conn, r *http.Request) {
		reached <- r.RequestURI
		<-end
		reply(c, 200, "ok")
	})
	encoder, err := zstd.NewWriter(nil)
	if err != nil {
		t.Fatal(err)
	}
	if err := f.mesh.Publish(routing.Publication{Version: 8, Bytes: encoder.EncodeAll([]byte(document), nil)}); err != nil {
		t.Fatal(err)
	}
	f.until(func() bool { return f.get("/nowhere/", nil).status == http.StatusNotFound })
	f.until(func() bool { return f.gateway.KnowsRoom("desk") })
	for range 4 {
		f.ask("/cheap/running", answered)
	}
	for range 4 {
		<-reached
	}
	return f, reached, end, answered
}

func (f *fleet) ask(path string, answered chan result) {
	go func() { answered <- f.get(path, nil) }()
}

func TestUrgentRequestGetsTheNextPlaceBeforeCheapOnes(t *testing.T) {
	is := is.New(t)
	f, reached, end, answered := startBusyDesk(t, rankedDocument("0", "2"))
	for range 3 {
		f.ask("/cheap/waiting", answered)
	}
	f.until(func() bool { return f.gateway.Waiting() == 3 })
	f.ask("/urgent/1", answered)
	f.until(func() bool { return f.gateway.Waiting() == 4 })
	is.Equal(len(reached), 0)
	end <- struct{}{}
	is.Equal(<-reached, "/urgent/1")
	close(end)
	for range 8 {
		is.Equal((<-answered).status, http.StatusOK)
	}
}

// A caller that states less than the route's limit from the start isn't late.
func TestUrgentRequestOfAnImpatientCallerGetsTheNextPlaceBeforeCheapOnes(t *testing.T) {
	is := is.New(t)
	document := strings.ReplaceAll(rankedDocument("0", "2"), `"TargetLatencyMs":9000`, `"TargetLatencyMs":4000`)
	f, reached, end, answered := startBusyDesk(t, document)
	for range 3 {
		f.ask("/cheap/waiting", answered)
	}
	f.until(func() bool { return f.gateway.Waiting() == 3 })
	go func() { answered <- f.get("/urgent/1", map[string]string{"Balsamlb-Deadline-Ms": "14000"}) }()
	f.until(func() bool { return f.gateway.Waiting() == 4 })
	is.Equal(len(reached), 0)
	end <- struct{}{}
	is.Equal(<-reached, "/urgent/1")
	close(end)
	for range 8 {
		is.Equal((<-answered).status, http.StatusOK)
	}
}

// As before: the server itself decides about requests beyond its slots.
func TestRequestsOfOneRankGoToTheServerAtOnce(t *testing.T) {
	is := is.New(t)
	f, reached, end, answered := startBusyDesk(t, rankedDocument("1", "1"))
	f.ask("/cheap/more", answered)
	f.ask("/urgent/more", answered)
	for range 2 {
		is.True(strings.HasSuffix(<-reached, "/more"))
	}
	is.Equal(f.gateway.Waiting(), 0)
	close(end)
	for range 6 {
		is.Equal((<-answered).status, http.StatusOK)
	}
}
