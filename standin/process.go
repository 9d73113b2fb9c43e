package standin

import (
	"bytes"
	"os"
	"os/exec"
	"sync/atomic"
	"syscall"

	"github.com/cockroachdb/errors"
)

// Process is a program that a test runs in a process of its own.
type Process struct {
	command *exec.Cmd
	log     *os.File
	// signalled is the last signal that the test has sent.
	signalled atomic.Int32
	// ends is true once the test has the process end.
	ends   atomic.Bool
	exited chan struct{}
}

// StartProcess starts a program. Its output is appended to the log file, which the
// caller closes.
func StartProcess(log *os.File, path string, arguments ...string) (*Process, error) {
	p := &Process{command: exec.Command(path, arguments...), log: log, exited: make(chan struct{})}
	p.command.Stdout, p.command.Stderr = log, log
	if err := p.command.Start(); err != nil {
		return nil, errors.Wrap(err, "start process")
	}
	go func() {
		defer close(p.exited)
		// The exit status is in ProcessState.
		_ = p.command.Wait()
	}()
	return p, nil
}

// Signal sends a signal, unless the process has exited.
func (p *Process) Signal(signal syscall.Signal) {
	p.signalled.Store(int32(signal))
	// An error means that the process has exited.
	_ = p.command.Process.Signal(signal)
}

// End sends a signal that ends the process, and waits until it has exited.
func (p *Process) End(signal syscall.Signal) {
	p.ends.Store(true)
	p.Signal(signal)
	<-p.exited
}

// Exited is closed when the process has exited.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// Failure returns nil while the process runs, and if the test has ended it. If it has
// ended by itself, the error has its exit status and the last lines of its log.
func (p *Process) Failure() error {
	select {
	case <-p.exited:
	default:
		return nil
	}
	status, ok := p.command.ProcessState.Sys().(syscall.WaitStatus)
	if p.ends.Load() || ok && status.Signaled() && int32(status.Signal()) == p.signalled.Load() {
		return nil
	}
	return errors.Newf("process ended by itself (%v); the end of its log: %s", p.command.ProcessState, p.logEnd())
}

// logEnd returns the last lines of the log.
func (p *Process) logEnd() []byte {
	const maxBytes = 2000
	data, err := os.ReadFile(p.log.Name())
	if err != nil {
		return []byte(err.Error())
	}
	if len(data) > maxBytes {
		data = data[len(data)-maxBytes:]
		_, data, _ = bytes.Cut(data, []byte("\n"))
	}
	return data
}
