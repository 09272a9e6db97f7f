// Package fleet runs the daemons of a deployment as processes on loopback,
// for the demonstration and for tests.
package fleet

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// process is a started program whose output goes to a file.
type process struct {
	cmd  *exec.Cmd
	log  *os.File
	done chan struct{}
	err  error
}

// startProcess runs a program. It dies with this one.
func startProcess(logFile, program string, args ...string) (*process, error) {
	log, err := os.OpenFile(logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(program, args...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, errors.Join(err, log.Close())
	}
	p := &process{cmd: cmd, log: log, done: make(chan struct{})}
	go func() {
		defer close(p.done)
		p.err = cmd.Wait()
		_ = log.Close()
	}()
	return p, nil
}

// ended returns an error when the process has ended by itself.
func (p *process) ended(name string) error {
	select {
	case <-p.done:
		return &EndedError{Name: name, Err: p.err, Log: tail(p.log.Name())}
	default:
		return nil
	}
}

// EndedError means that a process has ended by itself.
type EndedError struct {
	Name string
	Err  error
	Log  string
}

// Error implements error.
func (e *EndedError) Error() string {
	return fmt.Sprintf("%s ended: %v\n%s", e.Name, e.Err, e.Log)
}

// tail returns the end of a file.
func tail(path string) string {
	const most = 4096
	data, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	return string(data[max(0, len(data)-most):])
}

func (p *process) signal(s os.Signal) error { return p.cmd.Process.Signal(s) }

// stop asks the process to end and waits. It kills it after the timeout,
// which is an error.
func (p *process) stop(timeout time.Duration) error {
	if err := p.signal(syscall.SIGTERM); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return err
	}
	select {
	case <-p.done:
		return p.err
	case <-time.After(timeout):
		p.kill()
		return fmt.Errorf("%s: still running %s after SIGTERM", filepath.Base(p.cmd.Path), timeout)
	}
}

func (p *process) kill() {
	_ = p.signal(syscall.SIGKILL)
	<-p.done
}
