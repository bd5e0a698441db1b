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
	// startLimit bounds the start of one process.
	startLimit = 30 * time.Second
	// stopLimit is the time for a graceful stop before a process is killed.
	stopLimit = 35 * time.Second
)

// process is one running program of the deployment.
type process struct {
	role string
	cmd  *exec.Cmd
	// lines receives the lines of its standard output after the first.
	lines         chan []byte
	http, address string
	// agents are the HTTP addresses of a group's agents, in the order of the group.
	agents []string
	stderr bytes.Buffer
	exited chan struct{}
}

// startProcess runs the program and reads its addresses from the first line of its output.
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
	go p.read(stdout)
	select {
	case line, ok := <-p.lines:
		var a groupStarted
		if !ok || json.Unmarshal(line, &a) != nil {
			p.stop()
			return nil, fmt.Errorf("%s did not start: %s", role, strings.TrimSpace(p.stderr.String()))
		}
		p.http, p.address = "http://"+a.HTTPAddress, a.Address
		p.agents = a.Agents
		return p, nil
	case <-time.After(startLimit):
		p.stop()
		return nil, fmt.Errorf("%s was not ready within %v", role, startLimit)
	}
}

func (p *process) read(stdout io.Reader) {
	lines := bufio.NewScanner(stdout)
	for lines.Scan() {
		p.lines <- bytes.Clone(lines.Bytes())
	}
	close(p.lines)
	_ = p.cmd.Wait()
	close(p.exited)
}

// stop ends the process gracefully, or by force after stopLimit.
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
		case <-time.After(stopLimit):
			_ = p.cmd.Process.Kill()
		}
	}
}

// usage is the processor time and resident memory of a process.
type usage struct {
	cpu    time.Duration
	memory int64
}

// usage reads /proc.
func (p *process) usage() (usage, error) {
	dir := fmt.Sprintf("/proc/%d/", p.cmd.Process.Pid)
	stat, err := os.ReadFile(dir + "stat")
	if err != nil {
		return usage{}, err
	}
	// The name in parentheses may hold spaces; user and system time are fields 14 and 15.
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	if len(fields) < 22 {
		return usage{}, fmt.Errorf("%sstat has %d fields", dir, len(fields))
	}
	user, err1 := strconv.ParseInt(fields[11], 10, 64)
	system, err2 := strconv.ParseInt(fields[12], 10, 64)
	pages, err3 := strconv.ParseInt(fields[21], 10, 64)
	if err1 != nil || err2 != nil || err3 != nil {
		return usage{}, fmt.Errorf("%sstat holds no numbers", dir)
	}
	return usage{cpu: time.Duration(user+system) * clockTick, memory: pages * int64(os.Getpagesize())}, nil
}

// metrics reads the counters of an entry or agent: the values by name with labels.
func (p *process) metrics(client *http.Client) (map[string]float64, error) {
	answer, err := client.Get(p.http + "/metrics")
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
