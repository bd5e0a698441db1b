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

// newSmallSystem starts one entry and three VMs in one rack, applies the test configuration and
// waits until the agents are ready.
func newSmallSystem(t *testing.T) *system {
	t.Helper()
	s := newSystem(t)
	s.startEntry(montreal)
	for i := range 3 {
		s.startVM(fmt.Sprintf("worker-%d", i), montreal)
	}
	s.apply(testConfiguration())
	s.awaitReadyAgents(s.entries[0], 3)
	return s
}

// checkRequest sends one request and checks that the answer is complete and belongs to the request.
func (s *system) checkRequest(entry *process, class, id string) error {
	body := []byte(`{"ServiceTime":"5ms"}`)
	request := descriptor.Request{ID: descriptor.RequestID(id), Workspace: "atelier", Class: descriptor.ClassID(class), Body: body}
	var response coordinator.RequestResponse
	if _, err := sendJSON(http.MethodPost, entry.url+"/v1/requests", request, &response); err != nil {
		return err
	}
	if response.Result != descriptor.ResultDone {
		return fmt.Errorf("request %s: %s: %s", id, response.Result, response.Reason)
	}
	if want := faker.ExpectedAnswer("atelier", request.ID, body); !bytes.Equal(response.Body, want) {
		return fmt.Errorf("request %s: answer %q, want %q", id, response.Body, want)
	}
	return nil
}

// gangJob returns a job whose tasks take 8 accelerators each and run within one rack.
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

// submit submits a job to an entry and returns an error unless it is accepted.
func (s *system) submit(entry *process, job descriptor.Job) error {
	var jobStatus coordinator.JobStatus
	status, err := sendJSON(http.MethodPost, entry.url+"/v1/jobs", job, &jobStatus)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return fmt.Errorf("status %d", status)
	}
	return nil
}

// awaitJobEnd waits until a job has ended and returns its status.
func (s *system) awaitJobEnd(entry *process, id string, timeout time.Duration) coordinator.JobStatus {
	s.t.Helper()
	var jobStatus coordinator.JobStatus
	s.eventually(timeout, "job "+id+" ends", func() error {
		if err := getJSON(entry.url+"/v1/jobs/atelier/"+id, &jobStatus); err != nil {
			return err
		}
		if jobStatus.State != keeper.JobEnded {
			return fmt.Errorf("state %s", jobStatus.State)
		}
		return nil
	})
	return jobStatus
}

// TestRequestAndGangEndToEnd guards against separate processes that do not work together: a request
// whose answer does not come back whole, a gang of three tasks that does not run on three workers, or a
// job that can never fit but is accepted or started.
func TestRequestAndGangEndToEnd(t *testing.T) {
	t.Parallel()
	s := newSmallSystem(t)
	entry := s.entries[0]
	assert.NilError(t, s.checkRequest(entry, "Preview", "r1"))
	assert.NilError(t, s.checkRequest(entry, "Nesting", "r2"))

	assert.NilError(t, s.submit(entry, gangJob("g1", 3, 300*time.Millisecond)))
	jobStatus := s.awaitJobEnd(entry, "g1", 10*time.Second)
	assert.Equal(t, jobStatus.Result, descriptor.ResultDone, jobStatus.Reason)
	runs := s.taskRuns()
	assert.Equal(t, len(runs), 3)
	workers := map[descriptor.WorkerID]bool{}
	for _, r := range runs {
		assert.Equal(t, r.State, faker.TaskDone)
		workers[r.Worker] = true
	}
	assert.Equal(t, len(workers), 3)

	code, _, stderr := s.run("job", "submit", "--entry", entry.url, "--workspace", "atelier", "--class", "Draft", "--id", "g2", "--tasks", "4", "--accelerators", "8", "--adjacency", "Rack")
	assert.Equal(t, code, 2)
	assert.Assert(t, strings.Contains(stderr, "Tasks:") && strings.Contains(stderr, "NotRun"), stderr)
	assert.Equal(t, len(s.taskRuns()), 3)
}

// TestEndToEndCheckFailsWithoutComponent guards against end-to-end checks that pass although a
// component is down.
func TestEndToEndCheckFailsWithoutComponent(t *testing.T) {
	t.Parallel()
	components := map[string]func(s *system) []*process{
		"entry":    func(s *system) []*process { return s.entries },
		"agent":    func(s *system) []*process { return s.agents },
		"endpoint": func(s *system) []*process { return s.endpoints },
		"worker":   func(s *system) []*process { return s.workers },
		"store":    func(s *system) []*process { return []*process{s.store} },
	}
	for name, processesOf := range components {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newSmallSystem(t)
			for _, p := range processesOf(s) {
				p.kill()
			}
			entry := s.entries[0]
			requestErr := s.checkRequest(entry, "Nesting", "r1")
			jobErr := s.submit(entry, gangJob("g1", 3, 100*time.Millisecond))
			if requestErr == nil && jobErr == nil {
				var jobStatus coordinator.JobStatus
				deadline := time.Now().Add(3 * time.Second)
				for jobStatus.State != keeper.JobEnded && time.Now().Before(deadline) {
					_ = getJSON(entry.url+"/v1/jobs/atelier/g1", &jobStatus)
					<-time.After(50 * time.Millisecond)
				}
				assert.Assert(t, jobStatus.Result != descriptor.ResultDone, "request and job succeeded without the %s", name)
			}
		})
	}
}
