//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the small deployment, as in the site file.
const (
	heartbeatInterval = 1200 * time.Millisecond
	drainTime         = 2 * time.Second
	contactTime       = 3 * time.Second
	graceSeconds      = 8
)

var zones = []string{"colombo", "kandy", "galle"}

// deployment is a small deployment of real processes on loopback addresses.
type deployment struct {
	folder      string
	base        string // first three octets of the loopback addresses
	port        int
	record      *record
	controllers []*process
	gateways    []*process
	config      map[string]any
}

// process is one of the project's processes.
type process struct {
	name, role, zone, ip, settings string
	d                              *deployment
	cmd                            *exec.Cmd
	done                           chan struct{}
}

// record is the file of what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, started: time.Now()}, err
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.started).Seconds()}, args...)...)
}

// newDeployment chooses loopback addresses and ports that are free.
func newDeployment(r *record) (*deployment, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{folder: folder, record: r}
	for range 50 {
		d.base = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))
		d.port = 20000 + rand.IntN(10000)
		if d.isFree() {
			return d, nil
		}
	}
	return nil, errors.New("no free ports")
}

func (d *deployment) isFree() bool {
	for ip := 1; ip <= 40; ip++ {
		for p := range 5 {
			l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", d.base, ip, d.port+p))
			if err != nil {
				return false
			}
			l.Close()
		}
	}
	return true
}

// Offsets of the ports on each address.
const (
	portControl = iota
	portInstances
	portMetrics
	portCallers
	portReady
)

func (p *process) address(offset int) string {
	return fmt.Sprintf("%s:%d", p.ip, p.d.port+offset)
}

// add writes the settings of a process, as the deploy file's template would.
func (d *deployment) add(role string, i int) *process {
	p := &process{name: fmt.Sprintf("%s-%d", role, i+1), role: role, zone: zones[i%len(zones)], d: d}
	text := ""
	var seeds []string
	for k := range zones {
		seeds = append(seeds, fmt.Sprintf("%s.%d:%d", d.base, 1+k, d.port+portControl))
	}
	switch role {
	case "controller":
		p.ip = fmt.Sprintf("%s.%d", d.base, 1+i)
		text = fmt.Sprintf("[instance]\nname = %s\ndata_centre = %s\n\n[listen]\ncontrol = %s\ninstances = %s\nmetrics = %s\n\n"+
			"[control]\ndata_folder = %s\nfounding = true\ntolerate = 1\n\n[join]\nseeds = %s\n\n[fleet]\nannounce_interval_ms = %d\n\n[limits]\ngrace_s = %d\nmemory_mb = 280\n",
			p.name, p.zone, p.address(portControl), p.address(portInstances), p.address(portMetrics),
			filepath.Join(d.folder, p.name), strings.Join(seeds, ","), heartbeatInterval.Milliseconds(), graceSeconds)
		_ = os.MkdirAll(filepath.Join(d.folder, p.name), 0o755)
		d.controllers = append(d.controllers, p)
	case "gateway":
		p.ip = fmt.Sprintf("%s.%d", d.base, 11+i)
		text = fmt.Sprintf("[instance]\nname = %s\ndata_centre = %s\n\n[listen]\ncallers = %s\nready = %s\ninstances = %s\nmetrics = %s\n\n"+
			"[join]\nseeds = %s\n\n[fleet]\nannounce_interval_ms = %d\n\n[retry]\nratio = 0.2\nreserve = 198\nwindow_s = 10\n\n[limits]\ngrace_s = %d\nmemory_mb = 284\n",
			p.name, p.zone, p.address(portCallers), p.address(portReady), p.address(portInstances), p.address(portMetrics),
			strings.Join(seeds, ","), heartbeatInterval.Milliseconds(), graceSeconds)
		d.gateways = append(d.gateways, p)
	}
	p.settings = filepath.Join(d.folder, p.name+".ini")
	if err := os.WriteFile(p.settings, []byte(text), 0o644); err != nil {
		d.record.printf("could not write the settings of %s: %v", p.name, err)
	}
	return p
}

// start starts the process with the command of the deploy file.
func (p *process) start() error {
	log, err := os.OpenFile(filepath.Join(p.d.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	p.cmd = exec.Command("target/balsamd", p.role, "-settings", p.settings)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	p.done = make(chan struct{})
	go func(cmd *exec.Cmd, done chan struct{}) {
		err := cmd.Wait()
		p.d.record.printf("%s has ended: %v", p.name, err)
		close(done)
	}(p.cmd, p.done)
	p.d.record.printf("%s is started", p.name)
	return nil
}

func (p *process) signal(s syscall.Signal) {
	p.d.record.printf("%s gets %v", p.name, s)
	_ = p.cmd.Process.Signal(s)
}

// restart stops the process as planned work does, and starts it again.
func (p *process) restart() error {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After((graceSeconds + 1) * time.Second):
		p.signal(syscall.SIGKILL)
		<-p.done
	}
	return p.start()
}

// stop ends all processes and removes the folder. With KEEP=1 in the environment the logs are kept.
func (d *deployment) stop() {
	for _, p := range append(d.gateways, d.controllers...) {
		if p.cmd != nil && p.cmd.Process != nil {
			_ = p.cmd.Process.Kill()
			<-p.done
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.folder)
	} else {
		fmt.Println("logs in", d.folder)
	}
}

// startAll starts the control instances and gateways, publishes the configuration and waits until all
// gateways are ready.
func (d *deployment) startAll(gateways int, config map[string]any) error {
	for i := range zones {
		d.add("controller", i)
	}
	for i := range gateways {
		d.add("gateway", i)
	}
	for _, p := range append(append([]*process(nil), d.controllers...), d.gateways...) {
		if err := p.start(); err != nil {
			return err
		}
	}
	d.config = config
	if err := d.publish(20*time.Second, 0); err != nil {
		return err
	}
	for _, g := range d.gateways {
		if err := g.awaitReady(20 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

func (p *process) awaitReady(d time.Duration) error {
	end := time.Now().Add(d)
	for time.Now().Before(end) {
		resp, err := quickClient.Get("http://" + p.address(portReady) + "/-/readiness")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				p.d.record.printf("%s is ready", p.name)
				return nil
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("%s is not ready", p.name)
}

// quickClient opens a connection for each call and waits a second.
var quickClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// publish sends the configuration, to one node after the other, until it is acknowledged.
func (d *deployment) publish(within time.Duration, first int) error {
	body, err := json.Marshal(d.config)
	if err != nil {
		return err
	}
	end := time.Now().Add(within)
	for i := first; time.Now().Before(end); i++ {
		c := d.controllers[i%len(d.controllers)]
		status, text, err := call(http.MethodPut, "http://"+c.address(portControl)+"/-/config", body)
		if status == http.StatusOK {
			d.record.printf("configuration %v acknowledged by %s", d.config["Version"], c.name)
			return nil
		}
		if status >= 400 && status < 500 {
			return fmt.Errorf("configuration refused: %d %s", status, text)
		}
		d.record.printf("configuration %v not acknowledged by %s: %d %v", d.config["Version"], c.name, status, err)
		time.Sleep(200 * time.Millisecond)
	}
	return errors.New("the configuration was not acknowledged")
}

func call(method, url string, body []byte) (int, string, error) {
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := quickClient.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text), err
}
