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

// binaries are the programs under test, built once.
var binaries string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "persimmontrail")
	if err != nil {
		panic(err)
	}
	binaries = dir
	build := exec.Command("go", "build", "-o", dir, "persimmontrail/cmd/persimmontrail", "persimmontrail/cmd/standin")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// process is one running program.
type process struct {
	name string
	cmd  *exec.Cmd
	// http is the URL of its HTTP address, address the one for messages.
	http, address string
	stderr        bytes.Buffer
	exited        chan struct{}
	mu            sync.Mutex
	code          int
}

// kill ends the process without notice.
func (p *process) kill() {
	_ = p.cmd.Process.Kill()
	<-p.exited
}

func (p *process) signal(s os.Signal) { _ = p.cmd.Process.Signal(s) }

// stop asks for a graceful shutdown and returns the exit code.
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
	t     *testing.T
	keys  string
	store *process
	// entries, agents, workers and endpoints are in the order of their start.
	entries, agents, workers, endpoints []*process
}

// place is where a process runs.
type place struct{ region, domain, rack string }

func newSystem(t *testing.T) *system {
	t.Helper()
	s := &system{t: t, keys: t.TempDir()}
	code, _, stderr := s.run("keys", "--dir", s.keys)
	assert.Equal(t, code, 0, stderr)
	s.store = s.start("standin", "store")
	return s
}

// start runs a program until the test ends and reads its addresses from its first line.
func (s *system) start(program string, args ...string) *process {
	s.t.Helper()
	p := &process{name: args[0], cmd: exec.Command(filepath.Join(binaries, program), args...), exited: make(chan struct{})}
	p.cmd.Stderr = &p.stderr
	stdout, err := p.cmd.StdoutPipe()
	assert.NilError(s.t, err)
	assert.NilError(s.t, p.cmd.Start())
	line, err := bufio.NewReader(stdout).ReadBytes('\n')
	if err != nil {
		_ = p.cmd.Wait()
		s.t.Fatalf("%s %v: %v\n%s", program, args, err, p.stderr.String())
	}
	var ready struct{ HTTPAddress, Address string }
	assert.NilError(s.t, json.Unmarshal(line, &ready))
	p.address = ready.Address
	p.http = "http://" + ready.HTTPAddress
	if ready.HTTPAddress == "" {
		p.http = "http://" + ready.Address
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

func tail(text string, n int) string { return text[max(0, len(text)-n):] }

func (s *system) keyFlags(role string) []string {
	file := func(name string) string { return filepath.Join(s.keys, name) }
	return []string{"--tls-authority", file("authority.crt"), "--tls-certificate", file(role + ".crt"), "--tls-key", file(role + ".key")}
}

func (s *system) startEntry(at place, more ...string) *process {
	s.t.Helper()
	args := []string{"entry", "--region", at.region, "--failure-domain", at.domain, "--store", s.store.http, "--listen", "127.0.0.1:0", "--http-listen", "127.0.0.1:0"}
	p := s.start("persimmontrail", append(append(args, s.keyFlags("entry")...), more...)...)
	s.entries = append(s.entries, p)
	return p
}

// startMachine starts a worker, an agent and an endpoint that announces itself.
func (s *system) startMachine(name string, at place) {
	s.t.Helper()
	worker := s.start("standin", "worker", "--id", name, "--rack", at.rack, "--failure-domain", at.domain, "--region", at.region)
	s.workers = append(s.workers, worker)
	agent := s.startAgent(name, at, worker)
	s.endpoints = append(s.endpoints, s.start("standin", "endpoint", "--id", name, "--service", "measurement", "--agent", agent.http))
}

func (s *system) startAgent(name string, at place, worker *process) *process {
	s.t.Helper()
	var entries []string
	for _, e := range s.entries {
		entries = append(entries, e.address)
	}
	args := []string{"agent", "--name", name, "--region", at.region, "--failure-domain", at.domain, "--entries", strings.Join(entries, ","), "--worker", worker.http, "--listen", "127.0.0.1:0", "--http-listen", "127.0.0.1:0"}
	p := s.start("persimmontrail", append(args, s.keyFlags("agent")...)...)
	s.agents = append(s.agents, p)
	return p
}

// run runs one command to its end.
func (s *system) run(args ...string) (code int, stdout, stderr string) {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 60*time.Second)
	defer cancel()
	c := exec.CommandContext(ctx, filepath.Join(binaries, "persimmontrail"), args...)
	var out, errs bytes.Buffer
	c.Stdout = &out
	c.Stderr = &errs
	err := c.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		s.t.Fatalf("%v: %v", args, err)
	}
	return c.ProcessState.ExitCode(), out.String(), errs.String()
}

// apply puts a configuration in force.
func (s *system) apply(cfg descriptor.Configuration) {
	s.t.Helper()
	data, err := json.Marshal(cfg)
	assert.NilError(s.t, err)
	file := filepath.Join(s.t.TempDir(), "deployment.json")
	assert.NilError(s.t, os.WriteFile(file, data, 0o600))
	s.eventually(10*time.Second, "configuration is accepted", func() error {
		code, stdout, stderr := s.run("apply", "--entry", s.entries[0].http, file)
		if code != 0 || !strings.Contains(stdout, coordinator.ChangeAccepted) {
			return fmt.Errorf("exit code %d: %s%s", code, stdout, stderr)
		}
		return nil
	})
}

// eventually repeats check until it returns nil or the limit is reached.
func (s *system) eventually(limit time.Duration, what string, check func() error) {
	s.t.Helper()
	deadline := time.Now().Add(limit)
	for {
		err := check()
		if err == nil {
			return
		}
		if time.Now().After(deadline) {
			s.t.Fatalf("not within %v: %s: %v", limit, what, err)
		}
		<-time.After(20 * time.Millisecond)
	}
}

// awaitAgents waits until an entry knows n agents with worker and endpoint that hold its configuration.
func (s *system) awaitAgents(entry *process, n int) {
	s.t.Helper()
	s.eventually(10*time.Second, fmt.Sprintf("%d agents are ready", n), func() error {
		var status coordinator.Status
		if err := get(entry.http+"/v1/status", &status); err != nil {
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

func get(url string, v any) error {
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

func send(method, url string, body, answer any) (int, error) {
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

// runs returns all starts that the worker stand-ins counted.
func (s *system) runs() []faker.Run {
	s.t.Helper()
	var all []faker.Run
	for _, w := range s.workers {
		var stats faker.WorkerStats
		if err := get(w.http+"/admin/stats", &stats); err == nil {
			all = append(all, stats.Runs...)
		}
	}
	return faker.Sorted(all)
}

// switchStore sets the faults of the store.
func (s *system) switchStore(w faker.StoreSwitches) {
	s.t.Helper()
	var answer any
	_, err := send(http.MethodPut, s.store.http+"/admin/switches", w, &answer)
	assert.NilError(s.t, err)
}

var onePlace = place{region: "qc-sud", domain: "Montreal", rack: "Montreal-1"}

// testConfiguration has one region with two failure domains and one with one.
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
