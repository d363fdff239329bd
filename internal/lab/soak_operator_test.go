package lab

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
)

// Names of the platform that the soak's operator, callers and backend servers use.
const (
	soakConfigPath   = "/-/config"
	soakInstancePath = "/-/instances/"
	soakIDHeader     = "Balsamlb-Request-Id"
	soakStampHeader  = "Balsamlb-Response-Stamp"
	soakTenantHeader = "Balsamlb-Tenant"
	soakKeyHeader    = "Api-Key"
)

const (
	// versionKey is a key whose tenant is named after the version of the document.
	versionKey  = "key-of-version"
	firstPrefix = "/first/" // of a route that all documents have
	movedPrefix = "/moved/" // of a route that changes its service
	soakHost    = "soak.example"
)

var soakServices = []string{"draughts", "orders"}

type soakRoute struct {
	Name, Hostname, PathPrefix, Kind, Service string
	TimeoutMs, TargetLatencyMs, MaxAttempts   int
	AllowAnonymous                            bool
}

type soakTenant struct {
	Name    string
	ApiKeys []string
}

// soakOperator makes up documents and sends them.
type soakOperator struct {
	s       *soak
	rng     *rand.Rand
	version uint64
	// routes holds the prefixes of routes that come and go, by service; keys holds such keys.
	routes    map[string]string
	keys      map[string]string
	nextRoute int
	filler    []soakRoute // routes that never change
	// asked is the control instance that was called last.
	asked  *Member
	fillTo []soakTenant
}

func newSoakOperator(s *soak, seed uint64) *soakOperator {
	o := &soakOperator{s: s, rng: rand.New(rand.NewPCG(seed, 1)), routes: map[string]string{movedPrefix: soakServices[0]}, keys: map[string]string{}}
	for k := range s.options.routes {
		// Random names can't be compressed.
		o.filler = append(o.filler, soakNewRoute(fmt.Sprintf("f%d-%016x", k, o.rng.Uint64()), fmt.Sprintf("%x.example", o.rng.Uint64()), fmt.Sprintf("/%016x%016x/", o.rng.Uint64(), o.rng.Uint64()), soakServices[0]))
		t := soakTenant{Name: fmt.Sprintf("f%d", k)}
		for range s.options.keys {
			t.ApiKeys = append(t.ApiKeys, fmt.Sprintf("%016x%016x", o.rng.Uint64(), o.rng.Uint64()))
		}
		o.fillTo = append(o.fillTo, t)
	}
	if s.options.roll != nil {
		o.filler = append(o.filler, rollRoutes()...)
	}
	return o
}

func soakNewRoute(name, host, prefix, service string) soakRoute {
	return soakRoute{Name: name, Hostname: host, PathPrefix: prefix, Kind: "idempotent", Service: service, TimeoutMs: 1000, TargetLatencyMs: 300, MaxAttempts: 2}
}

// change makes up the next document: routes and keys come and go, and a route moves to another service.
func (o *soakOperator) change() (*soakDocument, []byte) {
	o.version += 1 + o.rng.Uint64N(3)
	for range 1 + o.rng.IntN(2) {
		o.nextRoute++
		o.routes[fmt.Sprintf("/r%d/", o.nextRoute)] = soakServices[o.rng.IntN(2)]
	}
	o.keys[fmt.Sprintf("key-%d", o.nextRoute)] = fmt.Sprintf("tenant-%d", o.nextRoute)
	delete(o.routes, fmt.Sprintf("/r%d/", o.nextRoute-recentRoutes/2-o.rng.IntN(recentRoutes/2)))
	delete(o.routes, fmt.Sprintf("/r%d/", o.nextRoute-recentRoutes))
	delete(o.keys, fmt.Sprintf("key-%d", o.nextRoute-recentRoutes/2-o.rng.IntN(recentRoutes/2)))
	o.routes[movedPrefix] = soakServices[o.rng.IntN(2)]
	d := &soakDocument{version: o.version, services: maps.Clone(o.routes), tenants: maps.Clone(o.keys)}
	d.services[firstPrefix] = soakServices[0]
	d.tenants[versionKey] = fmt.Sprintf("version-%d", o.version)
	return d, o.encode(d, nil)
}

// recentRoutes is about how many routes that come and go are in a document.
const recentRoutes = 16

// encode returns the document as the operator sends it. spoil may make it invalid.
func (o *soakOperator) encode(d *soakDocument, spoil func(routes []soakRoute, tenants []soakTenant) ([]soakRoute, []soakTenant)) []byte {
	var routes []soakRoute
	for _, prefix := range slices.Sorted(maps.Keys(d.services)) {
		routes = append(routes, soakNewRoute(strings.Trim(prefix, "/"), soakHost, prefix, d.services[prefix]))
	}
	var tenants []soakTenant
	for _, key := range slices.Sorted(maps.Keys(d.tenants)) {
		tenants = append(tenants, soakTenant{d.tenants[key], []string{key}})
	}
	if spoil != nil {
		routes, tenants = spoil(routes, tenants)
	}
	var services []map[string]any
	for _, name := range soakServices {
		services = append(services, map[string]any{"Name": name, "HealthPath": "/health", "MaxConns": 2000, "Protocol": "h1", "Tls": false})
	}
	text, err := json.Marshal(map[string]any{
		"Version": d.version, "Routes": append(routes, o.filler...), "Services": services, "Tenants": append(tenants, o.fillTo...),
		"Limits": map[string]int{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	if err != nil {
		o.s.t.Error(err)
	}
	return text
}

// spoiled returns an invalid document of a higher version, whose routes and keys no other document has.
func (o *soakOperator) spoiled() []byte {
	o.version++
	d := &soakDocument{version: o.version, services: map[string]string{"/bad/": soakServices[0], firstPrefix: soakServices[1]}, tenants: map[string]string{versionKey: "bad"}}
	kind := o.rng.IntN(5)
	text := o.encode(d, func(routes []soakRoute, tenants []soakTenant) ([]soakRoute, []soakTenant) {
		switch kind {
		case 0:
			routes[0].Service = "unknown"
		case 1:
			routes = append(routes, routes[0])
		case 2:
			routes[0].TimeoutMs = 0
		case 3:
			tenants = append(tenants, soakTenant{"other", []string{versionKey}})
		}
		return routes, tenants
	})
	if kind == 4 {
		text = text[:len(text)-20]
	}
	return text
}

// run changes documents until the soak ends its work.
func (o *soakOperator) run() {
	var last []byte
	for o.s.isWorking() {
		d, text := o.change()
		o.s.judge.sent(d)
		if !o.publish(d, text) {
			return
		}
		if last != nil && o.rng.Float64() < 0.2 { // one that is acknowledged, or older, comes again
			o.repeat([][]byte{text, last}[o.rng.IntN(2)])
		}
		if o.rng.Float64() < 0.3 {
			bad := o.spoiled()
			if status := o.put(bad, false); status == 200 {
				o.s.judge.report("INVALID", "an invalid document is acknowledged: %.300s", bad)
			}
		}
		last = text
		o.s.sleep(o.s.options.changeEvery + rand.N(o.s.options.changeEvery))
	}
}

// publish sends a document until it is acknowledged. It returns false if the soak has ended before.
func (o *soakOperator) publish(d *soakDocument, text []byte) bool {
	begun := time.Now()
	reported := false
	for o.s.isWorking() {
		switch status := o.put(text, o.rng.Float64() < 0.1); {
		case status == 200:
			if f := o.s.onAck.Swap(nil); f != nil {
				(*f)(o.asked)
			}
			o.s.judge.acked(d)
			return true
		case status >= 400 && status < 500 && status != 408 && status != 429:
			o.s.judge.report("REFUSED", "version %d, which is valid, is answered %d", d.version, status)
			return true
		}
		now := time.Now()
		if !o.s.judge.wasCoreCalm(now, now) {
			begun = now
		}
		if now.Sub(begun) > ackBound && !reported {
			reported = true
			o.s.judge.report("NO-ACK", "version %d has no acknowledgement after %.1f s", d.version, now.Sub(begun).Seconds())
		}
		o.s.sleep(50 * time.Millisecond)
	}
	return false
}

// ackWait is how long a test waits for an acknowledgement at most, also while control instances have trouble.
const ackWait = time.Minute

// atNextAck calls f with the control instance that acknowledges the next new document, before the operator goes on. It reports
// whether one was acknowledged.
func (s *soak) atNextAck(f func(acknowledging *Member)) bool {
	done := make(chan struct{})
	call := func(m *Member) {
		defer close(done)
		f(m)
	}
	s.onAck.Store(&call)
	select {
	case <-done:
		return true
	case <-s.ctx.Done():
	case <-time.After(ackWait):
		s.judge.report("NO-ACK", "no document is acknowledged in %s", ackWait)
	}
	return false
}

func (o *soakOperator) repeat(text []byte) {
	if status := o.put(text, false); status >= 400 && status < 500 && status != 408 && status != 429 {
		o.s.judge.report("REFUSED-AGAIN", "a document that was acknowledged is answered %d: %.60s", status, text)
	}
}

// put sends a document to a control instance and returns the status, or 0 if there was no answer or its loss
// is wanted.
func (o *soakOperator) put(text []byte, losesAnswer bool) int {
	controls := o.s.controls()
	o.asked = controls[o.rng.IntN(len(controls))]
	to := o.asked.ControlAddress()
	if losesAnswer {
		c, err := net.DialTimeout("tcp", to, time.Second)
		if err == nil {
			fmt.Fprintf(c, "PUT %s HTTP/1.1\r\nHost: soak\r\nContent-Length: %d\r\n\r\n%s", soakConfigPath, len(text), text)
			o.s.sleep(rand.N(20 * time.Millisecond))
			_ = c.Close()
		}
		return 0
	}
	status, _ := o.s.call(fasthttp.MethodPut, to, soakConfigPath, text)
	return status
}

// call sends a request to a control instance and returns the status, 0 for none, and the body.
func (s *soak) call(method, address, path string, body []byte) (int, []byte) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + address + path)
	req.SetBody(body)
	req.SetConnectionClose()
	if err := s.client.DoTimeout(req, resp, callTimeout+time.Duration(len(body))*time.Second/(1<<20)); err != nil {
		return 0, nil
	}
	return resp.StatusCode(), slices.Clone(resp.Body())
}

const callTimeout = time.Second

// runReads reads the documents of all control instances in turn.
func (s *soak) runReads() {
	for s.isWorking() {
		for _, c := range s.controls() {
			s.readOne(c)
			s.sleep(100 * time.Millisecond)
		}
	}
}

// readOne returns the version that the control instance names as the newest, or 0.
func (s *soak) readOne(c *Member) uint64 {
	sent := time.Now()
	status, body := s.call(fasthttp.MethodGet, c.ControlAddress(), soakConfigPath, nil)
	var got struct{ Version uint64 }
	if status != 200 || json.Unmarshal(body, &got) != nil {
		return 0
	}
	s.judge.handleRead(c.Name, sent, got.Version)
	return got.Version
}

// soakServer is a backend server: it answers with its service and the tenant that it was told.
type soakServer struct {
	s             *soak
	id, service   string
	address, zone string
	born          int64 // Unix milliseconds
}

// startServers starts the backend servers.
func (s *soak) startServers(count int) {
	for n := range count {
		b := &soakServer{s: s, id: fmt.Sprintf("server-%d", n), service: soakServices[n%len(soakServices)], zone: fmt.Sprintf("z%d", n%3+1),
			address: fmt.Sprintf("%s.9.%d:9000", s.d.Network, n+1), born: time.Now().UnixMilli()}
		l, err := listen(b.address)
		if err != nil {
			s.t.Fatal(err)
		}
		server := &fasthttp.Server{Handler: b.answer, IdleTimeout: 10 * time.Second, Name: b.id}
		s.t.Cleanup(func() { _ = l.Close() })
		go func() { _ = server.Serve(l) }()
		go b.announce()
	}
}

func (b *soakServer) answer(ctx *fasthttp.RequestCtx) {
	ctx.Response.Header.SetBytesV(soakIDHeader, ctx.Request.Header.Peek(soakIDHeader))
	ctx.Response.Header.Set(soakStampHeader, "stamp")
	ctx.Response.Header.Set("Balsamlb-Instance-Id", b.id)
	ctx.Response.Header.Set("Keep-Alive", "timeout=10")
	if b.s.options.roll.serve(ctx) {
		return
	}
	fmt.Fprintf(ctx, "%s %s", b.service, ctx.Request.Header.Peek(soakTenantHeader))
}

// announce announces the server to one control instance until that fails, and then to another.
func (b *soakServer) announce() {
	at := rand.IntN(64)
	for n := 1; b.s.ctx.Err() == nil; n++ {
		controls := b.s.controls()
		if status, _ := b.s.call(fasthttp.MethodPut, controls[at%len(controls)].ControlAddress(), soakInstancePath+b.id, b.announcement("ready", n)); status != 200 {
			at++
			b.s.sleep(100 * time.Millisecond)
			continue
		}
		b.s.sleep(announceEvery)
	}
}

func (b *soakServer) announcement(state string, sequence int) []byte {
	return fmt.Appendf(nil, `{"Service":%q,"Address":%q,"Zone":%q,"Version":"v1","Slots":200,"State":%q,"ColdLeftMs":0,"Seq":%d,"born":%d}`,
		b.service, b.address, b.zone, state, sequence, b.born)
}

const announceEvery = time.Second

// runProbes asks a share of the gateways in turn, over kept connections, until the soak ends its work.
func (s *soak) runProbes(worker, workers int) {
	rng := rand.New(rand.NewPCG(s.options.seed, uint64(worker)+100))
	client := &fasthttp.Client{MaxIdleConnDuration: 10 * time.Second, NoDefaultUserAgentHeader: true, MaxIdemponentCallAttempts: 1,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false }}
	n := 0
	for s.ctx.Err() == nil {
		begun := time.Now()
		gateways := s.gateways()
		for i := worker; i < len(gateways); i += workers {
			if b := s.boot(gateways[i]); b > 0 {
				n++
				s.probe(client, rng, gateways[i], b, fmt.Sprintf("%s.%d-%d", gateways[i].Name, worker, n))
			}
			s.sleep(s.options.probeEvery/time.Duration(len(gateways)/workers+1) - time.Since(begun)/time.Duration(i/workers+1))
		}
		if len(gateways) <= worker {
			s.sleep(s.options.probeEvery)
		}
	}
}

// probe sends one request and judges the answer.
func (s *soak) probe(client *fasthttp.Client, rng *rand.Rand, g *Member, boot int, id string) {
	p := probe{gateway: g.Name, boot: boot, prefix: firstPrefix, key: versionKey}
	d := s.judge.latest()
	switch rng.IntN(6) {
	case 0:
		p.prefix = movedPrefix
	case 1, 2:
		p.prefix = d.somePrefix(rng)
	case 3:
		p.key = d.someKey(rng)
	case 4:
		if rng.IntN(10) == 0 {
			p.prefix = "/bad/"
		}
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + g.CallerAddress() + p.prefix + "x")
	req.Header.SetHost(soakHost)
	req.UseHostHeader = true
	req.Header.Set(soakIDHeader, id)
	req.Header.Set(soakKeyHeader, p.key)
	p.sent = time.Now()
	err := client.DoTimeout(req, resp, callTimeout)
	p.answered = time.Now()
	if err != nil || s.boot(g) != boot {
		return
	}
	p.status = resp.StatusCode()
	if p.status == 200 {
		p.service, p.tenant, _ = strings.Cut(string(resp.Body()), " ")
	}
	s.judge.handle(p)
}

// somePrefix returns the prefix of a route that the document, or one shortly before or after, has.
func (d *soakDocument) somePrefix(rng *rand.Rand) string {
	return fmt.Sprintf("/r%d/", max(1, d.newestRoute()-rng.IntN(recentRoutes)))
}

func (d *soakDocument) someKey(rng *rand.Rand) string {
	return fmt.Sprintf("key-%d", max(1, d.newestRoute()-rng.IntN(recentRoutes)))
}

// newestRoute returns the highest number of a route in the document.
func (d *soakDocument) newestRoute() int {
	highest := 0
	for prefix := range d.services {
		var n int
		if _, err := fmt.Sscanf(prefix, "/r%d/", &n); err == nil {
			highest = max(highest, n)
		}
	}
	return highest
}
