package blfleet

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// Process is one running program.
type Process struct {
	command *exec.Cmd
	done    chan struct{}
	log     *os.File
}

// run starts a program whose output goes to a log file of the given name.
func (f *Fleet) run(program, name string, args ...string) (*Process, error) {
	path := filepath.Join(f.options.Folder, name+".log")
	log, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("open log of %s: %w", name, err)
	}
	command := exec.CommandContext(context.Background(), filepath.Join(f.options.Binaries, program), args...)
	command.Stdout = log
	command.Stderr = log
	if err := command.Start(); err != nil {
		return nil, fmt.Errorf("start %s: %w", name, err)
	}
	process := &Process{command: command, done: make(chan struct{}), log: log}
	go process.run()
	return process, nil
}

func (p *Process) run() {
	_ = p.command.Wait()
	_ = p.log.Close()
	close(p.done)
}

// PID returns the process's number.
func (p *Process) PID() int {
	return p.command.Process.Pid
}

// Signal sends a signal.
func (p *Process) Signal(signal syscall.Signal) {
	_ = p.command.Process.Signal(signal)
}

// Kill ends the process at once and waits for its end. A frozen process ends
// too.
func (p *Process) Kill() {
	if p == nil {
		return
	}
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// Terminate asks the process to end and waits for its end.
func (p *Process) Terminate(wait time.Duration) bool {
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
		return true
	case <-time.After(wait):
		return false
	}
}

// ExitCode returns the code with which the process ended.
func (p *Process) ExitCode() int {
	return p.command.ProcessState.ExitCode()
}
