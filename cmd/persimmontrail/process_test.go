package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"persimmontrail/internal/coordinator"
	"persimmontrail/internal/faker"
	"persimmontrail/pkg/descriptor"
)

// binariesDir holds the programs under test, which TestMain builds once.
var binariesDir string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "persimmontrail")
	if err != nil {
		panic(err)
	}
	binariesDir = dir
	build := exec.Command("go", "build", "-o", dir, "persimmontrail/cmd/persimmontrail", "persimmontrail/cmd/standin")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// process is a program that a test has started.
type process struct {
	// name is the first argument of the program, such as entry, agent or worker.
	name string
	cmd  *exec.Cmd
	// url is the base URL of the HTTP interface; address is the host and port for messages between processes.
	url, address string
	stderr       bytes.Buffer
	// exited is closed when the process has exited and code is set.
	exited chan struct{}
	mu     sync.Mutex
	code   int
}

// kill sends SIGKILL and waits until the process has exited.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.exited
}

func (p *process) signal(s os.Signal) { _ = p.cmd.Process.Signal(s) }

// stop sends SIGTERM for a graceful shutdown, waits until the process has exited and returns the exit code.
func (p *process) stop() int {
	p.signal(syscall.SIGTERM)
	<-p.exited
	return p.exitCode()
}

func (p *process) exitCode() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.code
}

// system is a deployment of separate processes on loopback.
type system struct {
	t      *testing.T
	keyDir string
	store  *process
	// The processes of each role are in start order.
	entries, agents, workers, endpoints []*process
}

// location says where a process runs. Only workers need a rack.
type location struct{ region, failureDomain, rack string }

// newSystem creates the TLS keys and starts a store stand-in.
func newSystem(t *testing.T) *system {
	t.Helper()
	s := &system{t: t, keyDir: t.TempDir()}
	code, _, stderr := s.run("keys", "--dir", s.keyDir)
	assert.Equal(t, code, 0, stderr)
	s.store = s.start("standin", "store")
	return s
}

// start starts a program, which runs until the test ends, and reads its addresses from the first line
// of its output.
func (s *system) start(program string, args ...string) *process {
	s.t.Helper()
	p := &process{name: args[0], cmd: exec.Command(filepath.Join(binariesDir, program), args...), exited: make(chan struct{})}
	p.cmd.Stderr = &p.stderr
	stdout, err := p.cmd.StdoutPipe()
	assert.NilError(s.t, err)
	assert.NilError(s.t, p.cmd.Start())
	line, err := bufio.NewReader(stdout).ReadBytes('\n')
	if err != nil {
		_ = p.cmd.Wait()
		s.t.Fatalf("%s %v: %v\n%s", program, args, err, p.stderr.String())
	}
	var addresses struct{ HTTPAddress, Address string }
	assert.NilError(s.t, json.Unmarshal(line, &addresses))
	p.address = addresses.Address
	p.url = "http://" + addresses.HTTPAddress
	// Stand-ins print only Address, which serves HTTP.
	if addresses.HTTPAddress == "" {
		p.url = "http://" + addresses.Address
	}
	go func() {
		_, _ = io.Copy(io.Discard, stdout)
		_ = p.cmd.Wait()
		p.mu.Lock()
		p.code = p.cmd.ProcessState.ExitCode()
		p.mu.Unlock()
		close(p.exited)
	}()
	s.t.Cleanup(func() {
		p.kill()
		if s.t.Failed() {
			s.t.Logf("%s %s:\n%s", p.name, p.address, tail(p.stderr.String(), 4000))
		}
	})
	return p
}

// tail returns the last n bytes of text, or all of it if it is shorter.
func tail(text string, n int) string { return text[max(0, len(text)-n):] }

// keyFlags returns the flags for the TLS key files of a role.
func (s *system) keyFlags(role string) []string {
	file := func(name string) string { return filepath.Join(s.keyDir, name) }
	return []string{"--tls-authority", file("authority.crt"), "--tls-certificate", file(role + ".crt"), "--tls-key", file(role + ".key")}
}

func (s *system) startEntry(loc location, extraFlags ...string) *process {
	s.t.Helper()
	args := []string{"entry", "--region", loc.region, "--failure-domain", loc.failureDomain, "--store", s.store.url, "--listen", "127.0.0.1:0", "--http-listen", "127.0.0.1:0"}
	p := s.start("persimmontrail", append(append(args, s.keyFlags("entry")...), extraFlags...)...)
	s.entries = append(s.entries, p)
	return p
}

// startVM starts the processes of one VM: a worker stand-in, its agent, and an endpoint stand-in that
// announces itself to the agent.
func (s *system) startVM(name string, loc location) {
	s.t.Helper()
	worker := s.start("standin", "worker", "--id", name, "--rack", loc.rack, "--failure-domain", loc.failureDomain, "--region", loc.region)
	s.workers = append(s.workers, worker)
	agent := s.startAgent(name, loc, worker)
	s.endpoints = append(s.endpoints, s.start("standin", "endpoint", "--id", name, "--service", "measurement", "--agent", agent.url))
}

func (s *system) startAgent(name string, loc location, worker *process) *process {
	s.t.Helper()
	var entries []string
	for _, e := range s.entries {
		entries = append(entries, e.address)
	}
	args := []string{"agent", "--name", name, "--region", loc.region, "--failure-domain", loc.failureDomain, "--entries", strings.Join(entries, ","), "--worker", worker.url, "--listen", "127.0.0.1:0", "--http-listen", "127.0.0.1:0"}
	p := s.start("persimmontrail", append(args, s.keyFlags("agent")...)...)
	s.agents = append(s.agents, p)
	return p
}

// run runs a persimmontrail command until it exits, and kills it after 60 s.
func (s *system) run(args ...string) (code int, stdout, stderr string) {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	c := exec.CommandContext(ctx, filepath.Join(binariesDir, "persimmontrail"), args...)
	var stdoutBuffer, stderrBuffer bytes.Buffer
	c.Stdout = &stdoutBuffer
	c.Stderr = &stderrBuffer
	err := c.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		s.t.Fatalf("%v: %v", args, err)
	}
	return c.ProcessState.ExitCode(), stdoutBuffer.String(), stderrBuffer.String()
}

// apply submits a configuration until it is accepted, for at most 10 s.
func (s *system) apply(cfg descriptor.Configuration) {
	s.t.Helper()
	data, err := json.Marshal(cfg)
	assert.NilError(s.t, err)
	file := filepath.Join(s.t.TempDir(), "deployment.json")
	assert.NilError(s.t, os.WriteFile(file, data, 0o600))
	s.eventually(10*time.Second, "configuration is accepted", func() error {
		code, stdout, stderr := s.run("apply", "--entry", s.entries[0].url, file)
		if code != 0 || !strings.Contains(stdout, coordinator.ChangeAccepted) {
			return fmt.Errorf("exit code %d: %s%s", code, stdout, stderr)
		}
		return nil
	})
}

// eventually repeats check until it returns nil, and fails the test after the timeout. condition names
// in the failure message what check waits for.
func (s *system) eventually(timeout time.Duration, condition string, check func() error) {
	s.t.Helper()
	deadline := time.Now().Add(timeout)
	for {
		err := check()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			s.t.Fatalf("not within %v: %s: %v", timeout, condition, err)
		}
		<-time.After(20 * time.Millisecond)
	}
}

// awaitReadyAgents waits until an entry has the status of a region from its scheduler, and until exactly
// n agents are not silent, have a worker and an endpoint, and use the entry's configuration revision.
func (s *system) awaitReadyAgents(entry *process, n int) {
	s.t.Helper()
	s.eventually(10*time.Second, fmt.Sprintf("%d agents are ready", n), func() error {
		var status coordinator.Status
		if err := getJSON(entry.url+"/v1/status", &status); err != nil {
			return err
		}
		ready := 0
		for _, a := range status.Agents {
			if a.Worker != nil && a.Endpoint != nil && a.Revision == status.Revision && !a.Silent {
				ready++
			}
		}
		if ready != n || len(status.Regions) == 0 {
			return fmt.Errorf("%d agents, notes %v", ready, status.Notes)
		}
		return nil
	})
}

// getJSON decodes the JSON answer of a GET request into v. A status of 300 or above is an error.
func getJSON(url string, v any) error {
	response, err := http.Get(url)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode >= 300 {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	return json.NewDecoder(response.Body).Decode(v)
}

// sendJSON sends body as JSON, decodes the answer and returns the HTTP status. A status of
// 300 or above is not an error, and its answer is decoded too.
func sendJSON(method, url string, body, answer any) (int, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return 0, err
	}
	request, err := http.NewRequest(method, url, bytes.NewReader(data))
	if err != nil {
		return 0, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	return response.StatusCode, json.NewDecoder(response.Body).Decode(answer)
}

// taskRuns returns the task runs recorded by the worker stand-ins that answer, ordered by start time.
func (s *system) taskRuns() []faker.Run {
	s.t.Helper()
	var runs []faker.Run
	for _, w := range s.workers {
		var stats faker.WorkerStats
		if err := getJSON(w.url+"/admin/stats", &stats); err == nil {
			runs = append(runs, stats.Runs...)
		}
	}
	return faker.SortRuns(runs)
}

// setStoreFaults replaces all faults and rate limits of the store stand-in. A fault whose field is zero
// ends.
func (s *system) setStoreFaults(faults faker.StoreSwitches) {
	s.t.Helper()
	var answer any
	_, err := sendJSON(http.MethodPut, s.store.url+"/admin/switches", faults, &answer)
	assert.NilError(s.t, err)
}

var montreal = location{region: "qc-sud", failureDomain: "Montreal", rack: "Montreal-1"}

// testConfiguration returns a configuration with two failure domains in region qc-sud and one in
// qc-nord.
func testConfiguration() descriptor.Configuration {
	return descriptor.Configuration{
		Workspaces: []descriptor.Workspace{{Name: "atelier", Guarantees: []descriptor.Shape{{Accelerators: 8, Adjacency: descriptor.LevelWorker, Region: "qc-sud"}}}},
		Classes: []descriptor.Class{
			{Name: "Preview", FinishWithin: descriptor.Duration(8 * time.Second), Share: 1, Service: "measurement"},
			{Name: "Nesting", FinishWithin: descriptor.Duration(20 * time.Second), Share: 1, Service: "measurement", NonIdempotent: true},
			{Name: "Draft", FinishWithin: descriptor.Duration(time.Hour), Share: 1},
		},
		FailureDomains: []descriptor.FailureDomain{
			{Name: "Montreal", Region: "qc-sud"},
			{Name: "Sherbrooke", Region: "qc-sud"},
			{Name: "Saguenay", Region: "qc-nord"},
		},
	}
}
