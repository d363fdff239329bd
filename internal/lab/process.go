package lab

import (
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// Process is an operating system process that the lab controls. It can be started again after
// it has exited.
type Process struct {
	Name string
	// LogPath is the file that the process's standard output and error are appended to.
	LogPath string

	path string
	args []string
	// env is added to the environment.
	env    []string
	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

func newProcess(name, logPath, path string, args ...string) *Process {
	return &Process{Name: name, LogPath: logPath, path: path, args: args}
}

// Start starts the process and appends its output to the log.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(p.LogPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return eris.Wrapf(err, "lab: open %s", p.LogPath)
	}
	defer log.Close()
	cmd := exec.Command(p.path, p.args...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = append(os.Environ(), p.env...)
	// The process must not outlive a test process that is killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return eris.Wrapf(err, "lab: start %s", p.Name)
	}
	done := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	p.cmd = cmd
	p.exited = done
	return nil
}

// PID returns the process id.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}

// Kill sends SIGKILL and waits until the process has exited.
func (p *Process) Kill() { p.terminate(syscall.SIGKILL) }

// Stop sends SIGTERM and waits until the process has exited. It kills the process after
// stopTimeout.
func (p *Process) Stop() { p.terminate(syscall.SIGTERM) }

// Freeze suspends the process with SIGSTOP. Its connections stay open.
func (p *Process) Freeze() { p.signal(syscall.SIGSTOP) }

// Thaw resumes a frozen process.
func (p *Process) Thaw() { p.signal(syscall.SIGCONT) }

func (p *Process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// stopTimeout is how long terminate waits for a process to exit before it sends SIGKILL.
const stopTimeout = 15 * time.Second

func (p *Process) terminate(s syscall.Signal) {
	p.mu.Lock()
	cmd, done := p.cmd, p.exited
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(s)
	select {
	case <-done:
	case <-time.After(stopTimeout):
		_ = cmd.Process.Kill()
		<-done
	}
}

// HasExited reports whether the process has exited.
func (p *Process) HasExited() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}
