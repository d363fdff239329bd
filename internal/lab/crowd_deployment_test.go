package lab

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// The memory of the machines, and the descriptors that a process may open.
	crowdGatewayMB = 96
	crowdControlMB = 160
	crowdFiles     = 4096
	// maxCrowdFiles leaves an eighth of the descriptors for connections to servers and other instances.
	maxCrowdFiles = crowdFiles / 8 * 7
	// crowdStay is how long the connections of a crowd stay open once all have sent what they send.
	crowdStay = 4 * time.Second

	crowdHeadBytes = 16 << 10 // the limits of the routing document
	crowdBodyBytes = 4 << 20
	crowdLarge     = "/first/large" // answered with crowdBodyBytes
	noRoute        = "/nowhere/"
)

// sender is one connection of a crowd: it sends, and reads nothing.
type sender func(ctx context.Context, c net.Conn)

// crowd is a number of connections that send the same.
type crowd struct {
	name        string
	connections int
	send        sender
}

// requestHead returns a head without the empty line that ends it.
func requestHead(method, path string, fields ...string) string {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: crowd\r\n%s: %s\r\n", method, path, soakHost, soakIDHeader, soakKeyHeader, versionKey)
	for _, f := range fields {
		head += f + "\r\n"
	}
	return head
}

// manyFields returns a head of the size, less the empty line that ends it, filled with very short fields.
func manyFields(method, path string, size int, fields ...string) string {
	var b strings.Builder
	b.WriteString(requestHead(method, path, fields...))
	for n := 0; ; n++ {
		field := strconv.FormatInt(int64(n), 36) + ":1\r\n"
		if b.Len()+len(field)+2 > size {
			return b.String()
		}
		b.WriteString(field)
	}
}

// sends writes all at once.
func sends(data string) sender {
	return func(_ context.Context, c net.Conn) { _, _ = io.WriteString(c, data) }
}

// sendsIn writes a head and then a body in pieces.
func sendsIn(head string, body []byte, piece int, pause time.Duration) sender {
	return func(ctx context.Context, c net.Conn) {
		if _, err := io.WriteString(c, head); err != nil {
			return
		}
		for rest := body; len(rest) > 0 && ctx.Err() == nil; {
			n := min(piece, len(rest))
			if _, err := c.Write(rest[:n]); err != nil {
				return
			}
			rest = rest[n:]
			time.Sleep(pause)
		}
	}
}

// pauses waits between two writes.
func pauses(first string, pause time.Duration, second string) sender {
	return func(_ context.Context, c net.Conn) {
		_, _ = io.WriteString(c, first)
		time.Sleep(pause)
		_, _ = io.WriteString(c, second)
	}
}

// shortOf sends a body that lacks its last byte.
func shortOf(method, path string, length, piece int) sender {
	return sendsIn(requestHead(method, path, fmt.Sprintf("Content-Length: %d", length))+"\r\n", make([]byte, length-1), piece, 0)
}

// chunks sends a body in chunks that doesn't end.
func chunks(method, path string, length, chunk int) sender {
	one := fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat("x", chunk))
	return sendsIn(requestHead(method, path, "Transfer-Encoding: chunked")+"\r\n", []byte(strings.Repeat(one, length/chunk)), 64<<10, 0)
}

// partOfFrame begins a frame of a message between instances, on a stream, that lacks its last byte.
func partOfFrame(stream byte, length int) string {
	return string([]byte{3, stream, 1, byte(length)&0x7f | 0x80, byte(length>>7)&0x7f | 0x80, byte(length>>14)&0x7f | 0x80, byte(length >> 21)}) + strings.Repeat("x", length-1)
}

// unknownCall is a whole call between instances that none of them knows.
const unknownCall = "\x03\x01\x01\x01x"

// crowdDeployment is a deployment of a control instance, a gateway and a stand-in server.
type crowdDeployment struct {
	*Deployment
	t       *testing.T
	soak    *soak // for its calls
	version int
	notes   string // a field of the document that nobody reads
}

// writeLimitedBinary writes a script that starts balsamd with crowdFiles descriptors.
func writeLimitedBinary(t *testing.T, path string) {
	t.Helper()
	script := fmt.Sprintf("#!/bin/sh\nulimit -n %d\nexec %s \"$@\"\n", crowdFiles, filepath.Join(binFolder, "balsamd"))
	requireNoError(t, os.WriteFile(path, []byte(script), 0o755))
}

func startCrowdDeployment(t *testing.T) *crowdDeployment {
	t.Helper()
	folder := t.TempDir()
	binary := filepath.Join(folder, "balsamd")
	writeLimitedBinary(t, binary)
	d, err := StartDeployment(t.Context(), DeploymentLayout{
		Folder: folder, Binary: binary, Controls: 1, Gateways: 1, AnnounceInterval: announceEvery,
		ControlMemoryMB: crowdControlMB, GatewayMemoryMB: crowdGatewayMB, HasMetrics: true, Env: []string{"GOMAXPROCS=2"},
	})
	requireNoError(t, err)
	c := &crowdDeployment{Deployment: d, t: t, soak: &soak{t: t, d: d, ctx: t.Context(), client: &fasthttp.Client{}}}
	t.Cleanup(func() {
		d.Close()
		if t.Failed() {
			for _, m := range d.Members() {
				data, _ := os.ReadFile(m.LogPath)
				t.Logf("log of %s:\n%s", m.Name, data[max(0, len(data)-4<<10):])
			}
		}
	})
	c.startServer()
	if c.waitServed(); t.Failed() {
		t.FailNow()
	}
	return c
}

// startServer starts a stand-in server, which answers whole bodies only.
func (c *crowdDeployment) startServer() {
	b := &soakServer{s: c.soak, id: "server-0", service: soakServices[0], zone: "z1", address: c.Network + ".9.1:9000", born: time.Now().UnixMilli()}
	l, err := listen(b.address)
	requireNoError(c.t, err)
	c.t.Cleanup(func() { _ = l.Close() })
	large := make([]byte, crowdBodyBytes)
	server := &fasthttp.Server{Name: b.id, MaxRequestBodySize: crowdBodyBytes, ReadBufferSize: 2 * crowdHeadBytes, Handler: func(ctx *fasthttp.RequestCtx) {
		ctx.Response.Header.SetBytesV(soakIDHeader, ctx.Request.Header.Peek(soakIDHeader))
		ctx.Response.Header.Set(soakStampHeader, "stamp")
		ctx.Response.Header.Set("Balsamlb-Instance-Id", b.id)
		if string(ctx.Path()) == crowdLarge {
			ctx.SetBody(large)
			return
		}
		fmt.Fprintf(ctx, "%d", len(ctx.PostBody()))
	}}
	go func() { _ = server.Serve(l) }()
	go b.announce()
}

// publish sends a document of the next version, and reports whether it was acknowledged.
func (c *crowdDeployment) publish() bool {
	c.version++
	route := soakNewRoute("first", soakHost, firstPrefix, soakServices[0])
	route.TimeoutMs = 20_000
	text, err := json.Marshal(map[string]any{
		"Version": c.version, "Notes": c.notes, "Routes": []soakRoute{route}, "Tenants": []soakTenant{{"crowd", []string{versionKey}}},
		"Services": []map[string]any{{"Name": soakServices[0], "HealthPath": "/health", "MaxConns": 2000, "Protocol": "h1", "Tls": false}},
		"Limits":   map[string]int{"MaxHeaderBytes": crowdHeadBytes, "MaxBodyBytes": crowdBodyBytes, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	requireNoError(c.t, err)
	status, _ := c.soak.call(http.MethodPut, c.Controls[0].ControlAddress(), soakConfigPath, text)
	return status == http.StatusOK
}

// gets reports whether a request over a new connection is answered with 200.
func gets(address, path string) bool {
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := http.NewRequest(http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return false
	}
	r.Host = soakHost
	r.Header.Set(soakIDHeader, "ordinary")
	r.Header.Set(soakKeyHeader, versionKey)
	resp, err := client.Do(r)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}

// answersCall reports whether a call of an instance over a new connection is answered.
func answersCall(address string) bool {
	conn, err := net.DialTimeout("tcp", address, 5*time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	_, _ = io.WriteString(conn, unknownCall)
	n, _ := conn.Read(make([]byte, 1))
	return n == 1
}

// waitServed waits until each door has answered an ordinary request.
func (c *crowdDeployment) waitServed() {
	c.t.Helper()
	g, control := c.Gateways[0], c.Controls[0]
	for _, door := range []struct {
		what     string
		isServed func() bool
	}{
		{"an acknowledged document", c.publish},
		{"an answer of a server", func() bool { return gets(g.CallerAddress(), firstPrefix+"x") }},
		{"readiness", func() bool { return gets(g.ReadyAddress(), "/-/readiness") }},
		{"metrics of the gateway", func() bool { return gets(g.MetricsAddress(), "/metrics") }},
		{"metrics of the control instance", func() bool { return gets(control.MetricsAddress(), "/metrics") }},
		{"an answer of the gateway to an instance", func() bool { return answersCall(g.InstanceAddress()) }},
		{"an answer of the control instance to an instance", func() bool { return answersCall(control.InstanceAddress()) }},
	} {
		end := time.Now().Add(waitTimeout)
		for !door.isServed() {
			if time.Now().After(end) {
				c.t.Errorf("not within %s: %s", waitTimeout, door.what)
				break
			}
			time.Sleep(pollInterval)
		}
	}
}

// usage is what a process has used at most, in bytes and descriptors.
type usage struct{ memory, queued, files int }

// statusBytes returns a size of a process, such as VmHWM, from the kernel.
func statusBytes(pid int, name string) int {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	_, rest, _ := strings.Cut(string(data), name+":")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		return 0
	}
	kb, _ := strconv.Atoi(fields[0])
	return kb << 10
}

// queuedBytes returns the bytes in the kernel's queues of the connections at an address of this machine.
func queuedBytes(ip string) int {
	a := net.ParseIP(ip).To4()
	prefix := fmt.Sprintf("%02X%02X%02X%02X:", a[3], a[2], a[1], a[0])
	data, _ := os.ReadFile("/proc/net/tcp")
	sum := 0
	for line := range bytes.Lines(data) {
		f := strings.Fields(string(line))
		if len(f) < 5 || !strings.HasPrefix(f[1], prefix) || f[3] == "0A" { // a listener's queue counts connections
			continue
		}
		sent, received, _ := strings.Cut(f[4], ":")
		for _, n := range []string{sent, received} {
			v, _ := strconv.ParseInt(n, 16, 64)
			sum += int(v)
		}
	}
	return sum
}

func (u *usage) sample(pid int, ip string) {
	queued := queuedBytes(ip)
	u.queued = max(u.queued, queued)
	u.memory = max(u.memory, statusBytes(pid, "VmHWM"), statusBytes(pid, "VmRSS")+queued)
	files, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	u.files = max(u.files, len(files))
}

// dialer opens a connection of a crowd.
type dialer func(address string) (net.Conn, error)

func dialTCP(address string) (net.Conn, error) { return net.DialTimeout("tcp", address, crowdStay) }

// sendCrowds lets crowds come to an address. The first group ends once all have sent what they send, the second once
// they have left, after ctx has ended.
func sendCrowds(ctx context.Context, dial dialer, address string, crowds []crowd) (sending, staying *sync.WaitGroup) {
	sending, staying = new(sync.WaitGroup), new(sync.WaitGroup)
	for _, crowd := range crowds {
		for range crowd.connections {
			sending.Add(1)
			staying.Go(func() {
				conn, err := dial(address)
				if err != nil {
					sending.Done()
					return
				}
				defer conn.Close()
				_ = conn.SetWriteDeadline(time.Now().Add(2 * crowdStay))
				crowd.send(ctx, conn)
				sending.Done()
				<-ctx.Done()
			})
		}
	}
	return sending, staying
}

// outlives lets crowds come to an address of a member, and checks that both processes live, stay within the memory
// of their machines and leave descriptors free, and that each door serves an ordinary request beside the crowds and
// after them.
func (c *crowdDeployment) outlives(address string, crowds ...crowd) {
	t := c.t
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	members, peaks := c.Members(), make([]usage, 2)
	var watcher sync.WaitGroup
	watcher.Go(func() {
		for ctx.Err() == nil {
			for i, m := range members {
				peaks[i].sample(m.PID(), m.IP)
			}
			time.Sleep(50 * time.Millisecond)
		}
	})
	sending, staying := sendCrowds(ctx, dialTCP, address, crowds)
	sending.Wait()
	time.Sleep(crowdStay)
	c.waitServed()
	cancel()
	staying.Wait()
	watcher.Wait()
	c.waitServed()
	for i, m := range members {
		p, limit := peaks[i], []int{crowdControlMB, crowdGatewayMB}[i]
		t.Logf("%s: peak %d MB, of which queued %d MB at most, %d descriptors", m.Name, p.memory>>20, p.queued>>20, p.files)
		if m.HasExited() {
			t.Errorf("%s has exited", m.Name)
		}
		if p.memory > limit<<20 {
			t.Errorf("%s: peak memory of %d MB is over the %d MB of its machine", m.Name, p.memory>>20, limit)
		}
		if p.files > maxCrowdFiles {
			t.Errorf("%s: %d descriptors, more than %d", m.Name, p.files, maxCrowdFiles)
		}
	}
}

// outlivesEach plays each crowd against processes of its own.
func outlivesEach(t *testing.T, address func(c *crowdDeployment) string, crowds ...crowd) {
	t.Helper()
	for _, crowd := range crowds {
		t.Run(crowd.name, func(t *testing.T) {
			c := startCrowdDeployment(t)
			c.outlives(address(c), crowd)
		})
	}
}
