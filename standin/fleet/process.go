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

// process is a started program that writes its output to a log file.
type process struct {
	cmd  *exec.Cmd
	log  *os.File
	done chan struct{}
	err  error
}

// startProcess starts a program. The kernel kills it when this process dies.
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

// exitError returns an error when the process has exited unexpectedly.
func (p *process) exitError(name string) error {
	select {
	case <-p.done:
		return &ProcessExitedError{Name: name, Err: p.err, Log: fileTail(p.log.Name())}
	default:
		return nil
	}
}

// ProcessExitedError reports that a process has exited unexpectedly.
type ProcessExitedError struct {
	Name string
	Err  error
	Log  string
}

// Error implements error.
func (e *ProcessExitedError) Error() string {
	return fmt.Sprintf("%s exited unexpectedly: %v\n%s", e.Name, e.Err, e.Log)
}

// fileTail returns the last 4 KiB of a file.
func fileTail(path string) string {
	const maxBytes = 4096
	data, err := os.ReadFile(path)
	if err != nil {
		return err.Error()
	}
	return string(data[max(0, len(data)-maxBytes):])
}

func (p *process) signal(s os.Signal) error { return p.cmd.Process.Signal(s) }

// stop sends SIGTERM and waits for the process to exit. After the timeout it kills
// the process and returns an error.
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
