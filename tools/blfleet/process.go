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

// Process is a child process.
type Process struct {
	command *exec.Cmd
	done    chan struct{}
	log     *os.File
}

// run starts a program and appends its output to the log file of the given name.
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

// PID returns the process ID.
func (p *Process) PID() int {
	return p.command.Process.Pid
}

// Signal sends a signal to the process.
func (p *Process) Signal(signal syscall.Signal) {
	_ = p.command.Process.Signal(signal)
}

// Kill sends SIGKILL, which also ends a stopped process, and waits for the end.
func (p *Process) Kill() {
	if p == nil {
		return
	}
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// Terminate sends SIGTERM and reports whether the process ended within the given
// time.
func (p *Process) Terminate(wait time.Duration) bool {
	p.Signal(syscall.SIGTERM)
	return p.EndsWithin(wait)
}

// EndsWithin reports whether the process ends within the given time.
func (p *Process) EndsWithin(wait time.Duration) bool {
	select {
	case <-p.done:
		return true
	case <-time.After(wait):
		return false
	}
}

// ExitCode returns the exit code of a process that has ended.
func (p *Process) ExitCode() int {
	return p.command.ProcessState.ExitCode()
}
