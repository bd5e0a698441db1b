package main

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"persimmontrail/internal/coordinator"
	"persimmontrail/internal/faker"
	"persimmontrail/internal/keeper"
	"persimmontrail/pkg/descriptor"
)

// smallSystem is one entry and three machines in one rack.
func smallSystem(t *testing.T) *system {
	t.Helper()
	s := newSystem(t)
	s.startEntry(onePlace)
	for i := range 3 {
		s.startMachine(fmt.Sprintf("worker-%d", i), onePlace)
	}
	s.apply(testConfiguration())
	s.awaitAgents(s.entries[0], 3)
	return s
}

// checkRequest sends one request and checks that the answer is whole and its own.
func (s *system) checkRequest(entry *process, class, id string) error {
	body := []byte(`{"ServiceTime":"5ms"}`)
	request := descriptor.Request{ID: descriptor.RequestID(id), Workspace: "atelier", Class: descriptor.ClassID(class), Body: body}
	var a coordinator.RequestAnswer
	if _, err := send(http.MethodPost, entry.http+"/v1/requests", request, &a); err != nil {
		return err
	}
	if a.Result != descriptor.ResultDone {
		return fmt.Errorf("request %s: %s: %s", id, a.Result, a.Reason)
	}
	if want := faker.ExpectedAnswer("atelier", request.ID, body); !bytes.Equal(a.Body, want) {
		return fmt.Errorf("request %s: answer %q, want %q", id, a.Body, want)
	}
	return nil
}

func gangJob(id string, tasks int, runTime time.Duration) descriptor.Job {
	return descriptor.Job{
		ID:              descriptor.JobID(id),
		Workspace:       "atelier",
		Class:           "Draft",
		Tasks:           tasks,
		PerTask:         descriptor.Resources{Accelerators: 8, Cores: 8, Memory: 1000},
		Adjacency:       descriptor.LevelRack,
		DeclaredRunTime: descriptor.Duration(runTime),
	}
}

// submit accepts a job at an entry.
func (s *system) submit(entry *process, job descriptor.Job) error {
	var v coordinator.JobView
	status, err := send(http.MethodPost, entry.http+"/v1/jobs", job, &v)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return fmt.Errorf("status %d", status)
	}
	return nil
}

// awaitJob waits until a job has ended and returns its view.
func (s *system) awaitJob(entry *process, id string, limit time.Duration) coordinator.JobView {
	s.t.Helper()
	var v coordinator.JobView
	s.eventually(limit, "job "+id+" ends", func() error {
		if err := get(entry.http+"/v1/jobs/atelier/"+id, &v); err != nil {
			return err
		}
		if v.State != keeper.JobEnded {
			return fmt.Errorf("state %s", v.State)
		}
		return nil
	})
	return v
}

// Guards the whole path of separate processes: a request from caller to endpoint
// and back, a gang of 3 on adjacent accelerators, and a refusal that is true.
func TestWholePath(t *testing.T) {
	t.Parallel()
	s := smallSystem(t)
	entry := s.entries[0]
	assert.NilError(t, s.checkRequest(entry, "Preview", "r1"))
	assert.NilError(t, s.checkRequest(entry, "Nesting", "r2"))

	assert.NilError(t, s.submit(entry, gangJob("g1", 3, 300*time.Millisecond)))
	v := s.awaitJob(entry, "g1", 10*time.Second)
	assert.Equal(t, v.Result, descriptor.ResultDone, v.Reason)
	runs := s.runs()
	assert.Equal(t, len(runs), 3)
	workers := map[descriptor.WorkerID]bool{}
	for _, r := range runs {
		assert.Equal(t, r.State, faker.TaskDone)
		workers[r.Worker] = true
	}
	assert.Equal(t, len(workers), 3)

	code, _, stderr := s.run("job", "submit", "--entry", entry.http, "--workspace", "atelier", "--class", "Draft", "--id", "g2", "--tasks", "4", "--accelerators", "8", "--adjacency", "Rack")
	assert.Equal(t, code, 2)
	assert.Assert(t, strings.Contains(stderr, "Tasks:") && strings.Contains(stderr, "NotRun"), stderr)
	assert.Equal(t, len(s.runs()), 3)
}

// Guards against a check of the whole path that passes while a link is cut.
func TestCutLinkBreaksThePath(t *testing.T) {
	t.Parallel()
	cuts := map[string]func(s *system) []*process{
		"entry":    func(s *system) []*process { return s.entries },
		"agent":    func(s *system) []*process { return s.agents },
		"endpoint": func(s *system) []*process { return s.endpoints },
		"worker":   func(s *system) []*process { return s.workers },
		"store":    func(s *system) []*process { return []*process{s.store} },
	}
	for name, cut := range cuts {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := smallSystem(t)
			for _, p := range cut(s) {
				p.kill()
			}
			entry := s.entries[0]
			requestErr := s.checkRequest(entry, "Nesting", "r1")
			jobErr := s.submit(entry, gangJob("g1", 3, 100*time.Millisecond))
			if requestErr == nil && jobErr == nil {
				var v coordinator.JobView
				deadline := time.Now().Add(3 * time.Second)
				for v.State != keeper.JobEnded && time.Now().Before(deadline) {
					_ = get(entry.http+"/v1/jobs/atelier/g1", &v)
					<-time.After(50 * time.Millisecond)
				}
				assert.Assert(t, v.Result != descriptor.ResultDone, "the path works without the %s", name)
			}
		})
	}
}
