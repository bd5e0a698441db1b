package soaker

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	// restartPause is the time that the platform takes to restart a process that has exited.
	restartPause = 300 * time.Millisecond
	// stopGrace is the platform's time between SIGTERM and SIGKILL.
	stopGrace = 6 * time.Second
)

// process runs one program of the system and restarts it whenever it exits. Each start begins a new incarnation.
type process struct {
	name    string
	program string
	// role is the program's subcommand, entry or agent.
	role string
	// settingsFile and logFile are paths.
	settingsFile string
	// announcedAddress is the address that the process announces to the others.
	announcedAddress string
	logFile          string

	mu  sync.Mutex
	cmd *exec.Cmd
	// stopRequested is true if the current incarnation was told to exit.
	stopRequested bool
	// closing is set by close and prevents a restart.
	closing bool
	// startCount is the number of successful starts.
	startCount int
	// unexpectedExits describes failed starts and exits that were not requested.
	unexpectedExits []string
	// runEnded is closed when run returns; close waits for it.
	runEnded chan struct{}
}

// run keeps the process running until close is called or the program cannot be started.
func (p *process) run() {
	defer close(p.runEnded)
	for {
		exited, err := p.start()
		if err != nil {
			p.mu.Lock()
			p.unexpectedExits = append(p.unexpectedExits, fmt.Sprintf("%s did not start: %v", p.name, err))
			p.mu.Unlock()
			return
		}
		err = <-exited
		p.mu.Lock()
		if !p.stopRequested && !p.closing {
			p.unexpectedExits = append(p.unexpectedExits, fmt.Sprintf("%s ended by itself: %v", p.name, err))
		}
		closing := p.closing
		p.mu.Unlock()
		if closing {
			return
		}
		time.Sleep(restartPause)
	}
}

// start starts the program and returns a channel that receives the result of its exit. While the process is closing, it
// starts nothing and returns a channel that holds nil.
func (p *process) start() (<-chan error, error) {
	output, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer output.Close()
	cmd := exec.Command(p.program, p.role)
	cmd.Env = []string{
		"PERSIMMONTRAIL_SETTINGS=" + p.settingsFile, "PERSIMMONTRAIL_ANNOUNCE=" + p.announcedAddress, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"),
	}
	cmd.Stdout, cmd.Stderr = output, output
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closing {
		exited := make(chan error, 1)
		exited <- nil
		return exited, nil
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p.cmd, p.stopRequested = cmd, false
	p.startCount++
	exited := make(chan error, 1)
	go func() { exited <- cmd.Wait() }()
	return exited, nil
}

// signal sends a signal to the current incarnation. SIGTERM and SIGKILL make its exit a requested one. Before the first
// start, signal does nothing.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		p.stopRequested = true
	}
	// The signal fails if the process has just exited.
	_ = p.cmd.Process.Signal(s)
}

// terminate sends SIGTERM to the process, and SIGKILL if it still runs after stopGrace.
func (p *process) terminate() {
	p.mu.Lock()
	incarnation := p.startCount
	p.mu.Unlock()
	p.signal(syscall.SIGTERM)
	time.AfterFunc(stopGrace, func() {
		p.mu.Lock()
		stillRunning := p.startCount == incarnation && !p.closing
		p.mu.Unlock()
		if stillRunning {
			p.signal(syscall.SIGKILL)
		}
	})
}

// suspend stops the process for d with SIGSTOP.
func (p *process) suspend(d time.Duration) {
	p.signal(syscall.SIGSTOP)
	time.AfterFunc(d, func() { p.signal(syscall.SIGCONT) })
}

// incarnation returns the number of the current incarnation, from 1, or 0 before the first start.
func (p *process) incarnation() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.startCount
}

// pid returns the id of the current process, or 0 before the first start.
func (p *process) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// close kills the process, prevents a restart and waits until run has returned.
func (p *process) close() {
	p.mu.Lock()
	p.closing = true
	p.mu.Unlock()
	p.signal(syscall.SIGKILL)
	<-p.runEnded
}

// listUnexpectedExits returns the descriptions of failed starts and of exits that were not requested, in order.
func (p *process) listUnexpectedExits() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.unexpectedExits
}

func logPath(dir, name string) string { return filepath.Join(dir, name+".log") }
