package main

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"persimmontrail/internal/coordinator"
	"persimmontrail/internal/faker"
	"persimmontrail/pkg/descriptor"
)

// TestEntryShutdownFinishesRequests guards against a graceful shutdown that aborts requests in
// progress.
func TestEntryShutdownFinishesRequests(t *testing.T) {
	t.Parallel()
	s := newSmallSystem(t)
	entry := s.entries[0]
	const callCount = 8
	results := make(chan error, callCount)
	for i := range callCount {
		go func() {
			request := descriptor.Request{ID: descriptor.RequestID(fmt.Sprint("r", i)), Workspace: "atelier", Class: "Preview", Body: []byte(`{"ServiceTime":"1s"}`)}
			var response coordinator.RequestResponse
			_, err := sendJSON(http.MethodPost, entry.url+"/v1/requests", request, &response)
			if err == nil && response.Result != descriptor.ResultDone {
				err = fmt.Errorf("%s: %s", response.Result, response.Reason)
			}
			results <- err
		}()
	}
	s.eventually(5*time.Second, "requests run", func() error {
		busy := 0
		for _, p := range s.endpoints {
			var stats faker.EndpointStats
			if err := getJSON(p.url+"/admin/stats", &stats); err != nil {
				return err
			}
			busy += stats.Busy
		}
		if busy < callCount {
			return fmt.Errorf("%d requests run", busy)
		}
		return nil
	})
	assert.Equal(t, entry.stop(), 0)
	for range callCount {
		assert.NilError(t, <-results)
	}
}

// TestStoreOutage guards against a store outage that stops idempotent requests or running tasks, against
// a NotRun result for work that ran, and against non-idempotent requests that fail after the outage.
func TestStoreOutage(t *testing.T) {
	t.Parallel()
	s := newSmallSystem(t)
	entry := s.entries[0]
	assert.NilError(t, s.submit(entry, gangJob("running", 3, 6*time.Second)))
	s.eventually(5*time.Second, "gang runs", func() error {
		if n := len(s.taskRuns()); n != 3 {
			return fmt.Errorf("%d tasks started", n)
		}
		return nil
	})
	s.setStoreFaults(faker.StoreSwitches{Down: true})
	outageStart := time.Now()
	for i := 0; time.Since(outageStart) < 4*time.Second; i++ {
		assert.NilError(t, s.checkRequest(entry, "Preview", fmt.Sprint("p", i)))
		<-time.After(100 * time.Millisecond)
	}
	// Without the store, non-idempotent requests and new jobs are refused.
	request := descriptor.Request{ID: "n1", Workspace: "atelier", Class: "Nesting"}
	var response coordinator.RequestResponse
	_, err := sendJSON(http.MethodPost, entry.url+"/v1/requests", request, &response)
	assert.NilError(t, err)
	assert.Equal(t, response.Result, descriptor.ResultNotRun, response.Reason)
	assert.Equal(t, s.requestRunCount("n1"), 0)
	var errorResponse coordinator.ErrorResponse
	_, err = sendJSON(http.MethodPost, entry.url+"/v1/jobs", gangJob("refused", 1, time.Second), &errorResponse)
	assert.NilError(t, err)
	assert.Equal(t, errorResponse.Result, descriptor.ResultNotRun, errorResponse.Error)

	s.setStoreFaults(faker.StoreSwitches{})
	jobStatus := s.awaitJobEnd(entry, "running", 15*time.Second)
	assert.Equal(t, jobStatus.Result, descriptor.ResultDone, jobStatus.Reason)
	s.eventually(5*time.Second, "non-idempotent requests run again", func() error { return s.checkRequest(entry, "Nesting", "n2") })
	assert.Equal(t, len(s.taskRuns()), 3)
}

// requestRunCount returns how often the endpoint stand-ins ran the request.
func (s *system) requestRunCount(id descriptor.RequestID) int {
	s.t.Helper()
	n := 0
	for _, p := range s.endpoints {
		var stats faker.EndpointStats
		assert.NilError(s.t, getJSON(p.url+"/admin/stats", &stats))
		for _, r := range stats.Runs {
			if r.Request == id {
				n += r.Count
			}
		}
	}
	return n
}

// TestNoStartInRemovedDomainAfterPause guards against starts in a failure domain more than 3 s after its
// removal was accepted, including starts by an agent that was paused during the removal and resumes with
// its old permit. It also guards against jobs that do not end as Done and against overlapping runs of a
// task, since the removal moves work to the other domain.
func TestNoStartInRemovedDomainAfterPause(t *testing.T) {
	t.Parallel()
	s := newSystem(t)
	s.startEntry(montreal)
	sherbrooke := location{region: "qc-sud", failureDomain: "Sherbrooke", rack: "Sherbrooke-1"}
	for i := range 2 {
		s.startVM(fmt.Sprintf("montreal-%d", i), montreal)
		s.startVM(fmt.Sprintf("sherbrooke-%d", i), sherbrooke)
	}
	s.apply(testConfiguration())
	entry := s.entries[0]
	s.awaitReadyAgents(entry, 4)

	stop := make(chan struct{})
	submitted := make(chan int)
	go func() {
		n := 0
		for {
			select {
			case <-stop:
				submitted <- n
				return
			case <-time.After(50 * time.Millisecond):
			}
			job := gangJob(fmt.Sprint("j", n), 1, 200*time.Millisecond)
			job.PerTask.Accelerators = 2
			if s.submit(entry, job) == nil {
				n++
			}
		}
	}()
	s.eventually(10*time.Second, "tasks start in Sherbrooke", func() error {
		if len(faker.StartsInFailureDomain(s.taskRuns(), "Sherbrooke", time.Time{})) == 0 {
			return fmt.Errorf("no start yet")
		}
		return nil
	})
	// The agents with odd indexes are in Sherbrooke.
	paused := s.agents[1]
	paused.signal(syscall.SIGSTOP)
	code, stdout, stderr := s.run("domain", "out", "--entry", entry.url, "Sherbrooke")
	acceptedAt := time.Now()
	assert.Equal(t, code, 0, stdout+stderr)
	// Resume the agent when tasks may no longer start in the domain, and give it time to start one nevertheless.
	<-time.After(3 * time.Second)
	paused.signal(syscall.SIGCONT)
	<-time.After(3 * time.Second)
	close(stop)
	n := <-submitted
	lateStarts := faker.StartsInFailureDomain(s.taskRuns(), "Sherbrooke", acceptedAt.Add(3*time.Second))
	assert.Equal(t, len(lateStarts), 0, "starts after 3 s: %+v", lateStarts)
	for i := range n {
		jobStatus := s.awaitJobEnd(entry, fmt.Sprint("j", i), 60*time.Second)
		assert.Equal(t, jobStatus.Result, descriptor.ResultDone, "%s: %s", jobStatus.Job.ID, jobStatus.Reason)
	}
	assert.Equal(t, len(faker.DoubleRuns(s.taskRuns(), func(descriptor.JobKey) bool { return false })), 0)
}
