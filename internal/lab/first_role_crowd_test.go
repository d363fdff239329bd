package lab

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/balsamlb/balsamlb/caller"
	"github.com/balsamlb/balsamlb/operator"
)

const (
	// firstRoleMB is the memory of the machine of an instance without a role.
	firstRoleMB = 384
	// The largest bodies that it reads.
	callBytes      = 16 << 20
	operationBytes = 8 << 20

	callPath   = caller.PathServices + "stock"
	crowdBase  = "[limits]\nmax_body = 16777216\n[service stock]\n[service draft]\nkind = draft\nmodel = m\nlayers = 4\n[workspace kandy]\n"
	crowdFleet = "[data_centre kandy]\nannounce = $ANNOUNCE(kandy)\n[server stock-0]\naddress = $NET.9.1:9000\ndata_centre = kandy\nservices = stock\n"
)

// firstRole is an instance without a role, which is its own control instance, and a server of plain calls.
type firstRole struct {
	*Lab
	t        *testing.T
	instance *Instance
}

// startFirstRole starts an instance. With ca, it uses TLS for operators and between instances.
func startFirstRole(t *testing.T, ca *certificateAuthority) *firstRole {
	t.Helper()
	bin := t.TempDir()
	writeLimitedBinary(t, filepath.Join(bin, "balsamd"))
	requireNoError(t, os.Symlink(filepath.Join(binFolder, "balsamctl"), filepath.Join(bin, "balsamctl")))
	layout := Layout{
		Folder: t.TempDir(), BinFolder: bin, DataCentres: []DataCentre{{Name: "kandy", Instances: 1, Control: true}},
		Emulators: []Emulator{{Name: "emulator", Fleet: crowdFleet}}, Base: crowdBase, Env: []string{"GOMAXPROCS=2"},
		ExtraSettings: func(i *Instance) string {
			text := fmt.Sprintf("[limits]\nmemory_mb = %d\n", firstRoleMB)
			if ca != nil {
				text += ca.issue(t, i)
			}
			return text
		},
	}
	if ca != nil {
		const key = "0123456789abcdef"
		requireNoError(t, os.WriteFile(filepath.Join(ca.folder, "keys"), []byte("ana "+key+"\n"), 0o600))
		pool := x509.NewCertPool()
		pool.AddCert(ca.cert)
		layout.Credentials = operator.Credentials{Key: key, Authority: pool}
	}
	l := startLayoutWithServers(t, layout, 1)
	return &firstRole{l, t, l.Instances[0]}
}

// callHead returns the head of a request of the largest size, less the empty line that ends it.
func callHead(path string, fields ...string) string {
	return requestHead("POST", path, append(fields, caller.HeaderWorkspace+": kandy")...)
}

// isCallAnswered reports whether a server answers an ordinary call over a new connection.
func (f *firstRole) isCallAnswered() bool {
	client := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := http.NewRequest(http.MethodPost, "http://"+f.instance.CallerAddress()+callPath, strings.NewReader("x"))
	if err != nil {
		return false
	}
	r.Header.Set(caller.HeaderWorkspace, "kandy")
	resp, err := client.Do(r)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// waitServed waits until each door has answered an ordinary request.
func (f *firstRole) waitServed() {
	f.t.Helper()
	for _, door := range []struct {
		what     string
		isServed func() bool
	}{
		{"an answer of a server", f.isCallAnswered},
		{"the status for operators", func() bool { _, err := f.Operator(f.instance).Status(); return err == nil }},
		{"liveness", func() bool { return gets(f.instance.PlatformAddress(), "/livez") }},
		{"metrics", func() bool { return gets(f.instance.PlatformAddress(), "/metrics") }},
	} {
		if err := f.Wait(f.t.Context(), door.what, door.isServed); err != nil {
			f.t.Error(err)
		}
	}
}

// outlives lets crowds come to the addresses of the instance, and checks that it lives, stays within the memory of its
// machine and leaves descriptors free, and that each door serves an ordinary request beside the crowds and after them.
func (f *firstRole) outlives(dial dialer, addresses []string, crowds ...crowd) {
	t := f.t
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	var watcher sync.WaitGroup
	var peak usage
	watcher.Go(func() {
		for ctx.Err() == nil {
			peak.sample(f.instance.PID(), f.instance.IP)
			time.Sleep(50 * time.Millisecond)
		}
	})
	var sending, staying []*sync.WaitGroup
	for _, a := range addresses {
		begun, stays := sendCrowds(ctx, dial, a, crowds)
		sending, staying = append(sending, begun), append(staying, stays)
	}
	for _, g := range sending {
		g.Wait()
	}
	time.Sleep(crowdStay)
	f.waitServed()
	cancel()
	for _, g := range staying {
		g.Wait()
	}
	watcher.Wait()
	f.waitServed()
	t.Logf("peak %d MB, of which queued %d MB at most, %d descriptors", peak.memory>>20, peak.queued>>20, peak.files)
	if f.instance.HasExited() {
		t.Errorf("%s has exited", f.instance.Name)
	}
	if peak.memory > firstRoleMB<<20 {
		t.Errorf("peak memory of %d MB is over the %d MB of the machine", peak.memory>>20, firstRoleMB)
	}
	if peak.files > maxCrowdFiles {
		t.Errorf("%d descriptors, more than %d", peak.files, maxCrowdFiles)
	}
}

// shortCall sends a body of the largest size that lacks its last byte.
func shortCall(path string, fields ...string) sender {
	head := callHead(path, append(fields, fmt.Sprintf("Content-Length: %d", callBytes))...) + "\r\n"
	return sendsIn(head, make([]byte, callBytes-1), callBytes, 0)
}

// Guards against an instance without a role that runs out of memory by what callers send.
func TestFirstRoleOutlivesCrowdsOfCallers(t *testing.T) {
	chunk := strings.Repeat("x", 32<<10)
	const prompt = `{"model":"draft","max_tokens":1,"prompt":"`
	words := prompt + strings.Repeat("a ", (callBytes-len(prompt)-2)/2) + `"}`
	for _, c := range []crowd{
		{"bodies without their last byte", 40, shortCall(callPath)},
		{"forms without their last byte", 40, shortCall(callPath, "Content-Type: multipart/form-data; boundary=b")},
		{"bodies at a path without a service", 40, shortCall(noRoute)},
		{"bodies in chunks, far over the limit", 40, sendsIn(callHead(callPath, "Transfer-Encoding: chunked")+"\r\n",
			[]byte(strings.Repeat(fmt.Sprintf("%x\r\n%s\r\n", len(chunk), chunk), 4*callBytes/len(chunk))), 64<<10, 0)},
		{"prompts of very short words", 20, sends(callHead(caller.PathCompletions, fmt.Sprintf("Content-Length: %d", len(words))) + "\r\n" + words)},
		{"requests sent ahead", 300, sends(strings.Repeat(requestHead("GET", noRoute)+"\r\n", 5000))},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := startFirstRole(t, nil)
			f.outlives(dialTCP, []string{f.instance.CallerAddress()}, c)
		})
	}
}

// Guards against an instance without a role that runs out of memory by what operators' clients send, with and without
// TLS.
func TestFirstRoleOutlivesCrowdsOfOperators(t *testing.T) {
	bodies := crowd{"bodies", 80, shortOf("POST", operator.PathConfig, operationBytes, operationBytes)}
	t.Run("plain", func(t *testing.T) {
		f := startFirstRole(t, nil)
		f.outlives(dialTCP, []string{f.instance.OperatorAddress()}, bodies)
	})
	t.Run("TLS", func(t *testing.T) {
		f := startFirstRole(t, newCertificateAuthority(t))
		dialTLS := func(address string) (net.Conn, error) {
			conn, err := dialTCP(address)
			if err != nil {
				return nil, err
			}
			return tls.Client(conn, &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: f.Layout.Credentials.Authority, ServerName: f.instance.IP}), nil
		}
		f.outlives(dialTLS, []string{f.instance.OperatorAddress()}, bodies)
	})
}

// Guards against listeners that together take all descriptors.
func TestFirstRoleOutlivesIdleConnections(t *testing.T) {
	f := startFirstRole(t, nil)
	i := f.instance
	f.outlives(dialTCP, []string{i.CallerAddress(), i.BackendAddress(), i.OperatorAddress(), i.PlatformAddress(), fmt.Sprintf("%s:%d", i.IP, instancePort)},
		crowd{"without a byte", 1200, sends("")})
}

// Guards against messages between instances that never end.
func TestFirstRoleOutlivesMessagesThatStop(t *testing.T) {
	f := startFirstRole(t, nil)
	f.outlives(dialTCP, []string{fmt.Sprintf("%s:%d", f.instance.IP, instancePort)}, crowd{"messages that stop", 200, sends(partOfFrame(1, 4<<20-1<<10))})
}
