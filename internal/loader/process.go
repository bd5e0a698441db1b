package loader

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	// clockTick is the unit of processor time in /proc on Linux.
	clockTick = 10 * time.Millisecond
	// startTimeout limits the start of a process, and each wait for the deployment to become ready.
	startTimeout = 30 * time.Second
	// stopTimeout is how long a process may go without output during a graceful stop before it is killed.
	stopTimeout = 35 * time.Second
)

// process is a running process of the deployment.
type process struct {
	// role names the process in errors.
	role string
	cmd  *exec.Cmd
	// lines receives the lines of the standard output. startProcess consumes the first line.
	lines            chan []byte
	httpURL, address string
	// agentAddresses are the HTTP addresses of a group's agents, in the order in which they became ready.
	agentAddresses []string
	stderr         bytes.Buffer
	// exited is closed when the process has exited.
	exited chan struct{}
}

// startProcess starts the program and reads its addresses from the first line of its output. If the line is missing or
// invalid, or does not arrive within startTimeout, it stops the process and returns an error.
func startProcess(role, program string, input io.Reader, args ...string) (*process, error) {
	p := &process{role: role, cmd: exec.Command(program, args...), lines: make(chan []byte, 64), exited: make(chan struct{})}
	p.cmd.Stdin = input
	p.cmd.Stderr = &p.stderr
	stdout, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go p.readOutput(stdout)
	select {
	case line, ok := <-p.lines:
		var a processStarted
		if !ok || json.Unmarshal(line, &a) != nil {
			p.stop()
			return nil, fmt.Errorf("%s did not start: %s", role, strings.TrimSpace(p.stderr.String()))
		}
		p.httpURL, p.address = "http://"+a.HTTPAddress, a.Address
		p.agentAddresses = a.Agents
		return p, nil
	case <-time.After(startTimeout):
		p.stop()
		return nil, fmt.Errorf("%s was not ready within %v", role, startTimeout)
	}
}

// readOutput passes the lines of the standard output to p.lines until the process exits.
func (p *process) readOutput(stdout io.Reader) {
	lines := bufio.NewScanner(stdout)
	for lines.Scan() {
		p.lines <- bytes.Clone(lines.Bytes())
	}
	close(p.lines)
	_ = p.cmd.Wait()
	close(p.exited)
}

// stop stops the process gracefully, or kills it after stopTimeout without output. It discards further lines of output, because
// readOutput waits for a receiver before it detects the exit.
func (p *process) stop() {
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	for {
		select {
		case <-p.exited:
			return
		case _, open := <-p.lines:
			if !open {
				<-p.exited
				return
			}
		case <-time.After(stopTimeout):
			_ = p.cmd.Process.Kill()
		}
	}
}

// processUsage is the processor time and the resident memory, in bytes, of a process.
type processUsage struct {
	cpu    time.Duration
	memory int64
}

// readUsage reads the usage of the process from /proc, see proc(5).
func (p *process) readUsage() (processUsage, error) {
	dir := fmt.Sprintf("/proc/%d/", p.cmd.Process.Pid)
	stat, err := os.ReadFile(dir + "stat")
	if err != nil {
		return processUsage{}, err
	}
	// The command name in parentheses may contain spaces, so fields are counted from the closing parenthesis. User time, system
	// time and resident pages are fields 14, 15 and 24 of the whole line.
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	if len(fields) < 22 {
		return processUsage{}, fmt.Errorf("%sstat: %d fields after the command name, want at least 22", dir, len(fields))
	}
	user, err1 := strconv.ParseInt(fields[11], 10, 64)
	system, err2 := strconv.ParseInt(fields[12], 10, 64)
	pages, err3 := strconv.ParseInt(fields[21], 10, 64)
	if err1 != nil || err2 != nil || err3 != nil {
		return processUsage{}, fmt.Errorf("%sstat: fields 14, 15 and 24 are not all numbers", dir)
	}
	return processUsage{cpu: time.Duration(user+system) * clockTick, memory: pages * int64(os.Getpagesize())}, nil
}

// readMetrics reads the metrics of an entry or agent. The keys are metric names with their labels.
func (p *process) readMetrics(client *http.Client) (map[string]float64, error) {
	answer, err := client.Get(p.httpURL + "/metrics")
	if err != nil {
		return nil, err
	}
	defer answer.Body.Close()
	values := map[string]float64{}
	lines := bufio.NewScanner(answer.Body)
	for lines.Scan() {
		name, value, ok := strings.Cut(lines.Text(), " ")
		if v, err := strconv.ParseFloat(value, 64); ok && err == nil {
			values[name] = v
		}
	}
	return values, lines.Err()
}
