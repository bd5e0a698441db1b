package demonstrator

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"persimmontrail/internal/coordinator"
	"persimmontrail/internal/faker"
	"persimmontrail/pkg/descriptor"
)

// sendRequests sends count requests of one class at an even rate over 8 s, to each entry in turn, and waits
// for their answers.
func (r *demoRun) sendRequests(ctx context.Context, class string, count int) {
	var calls sync.WaitGroup
	for i := range count {
		calls.Go(func() { r.sendRequest(ctx, class, i) })
		select {
		case <-ctx.Done():
		case <-time.After(8 * time.Second / time.Duration(count)):
		}
	}
	calls.Wait()
}

// sendRequest sends request number i of a class and records its result and its completion time. A request
// without an answer, or with an error answer that states no result, gets the result Unknown.
func (r *demoRun) sendRequest(ctx context.Context, class string, i int) {
	workspaces := []descriptor.WorkspaceID{"atelier", "couture", "retouche"}
	request := descriptor.Request{
		ID:        descriptor.RequestID(fmt.Sprintf("%s-%d", class, i)),
		Workspace: workspaces[i%len(workspaces)],
		Class:     descriptor.ClassID(class),
		Body:      fmt.Appendf(nil, `{"ServiceTime":"%dms"}`, 20+i%50),
	}
	sentAt := time.Now()
	var response coordinator.RequestResponse
	if _, err := r.call(ctx, i, http.MethodPost, "/v1/requests", request, &response); err != nil && response.Result == "" {
		response.Result = descriptor.ResultUnknown
	}
	expected := faker.ExpectedAnswer(request.Workspace, request.ID, request.Body)
	sent := sentRequest{request: request, class: class, result: response.Result, bodyMatches: bytes.Equal(response.Body, expected)}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests = append(r.requests, sent)
	r.completionTimes[class] = append(r.completionTimes[class], time.Since(sentAt).Seconds())
}

// submitJobs submits 18 jobs of three workspaces to both regions. countJobs and nonIdempotentJobIDs depend on
// the templates and their order.
func (r *demoRun) submitJobs(ctx context.Context) error {
	templates := []descriptor.Job{
		{Workspace: "atelier", Class: "Draft", Tasks: 2, PerTask: descriptor.Resources{Accelerators: 8, Cores: 8, Memory: 8000}, Adjacency: descriptor.LevelRack},
		{Workspace: "atelier", Class: "Draft", Tasks: 3, PerTask: descriptor.Resources{Accelerators: 4, Cores: 4, Memory: 4000}, Adjacency: descriptor.LevelRack},
		{Workspace: "couture", Class: "Draft", Tasks: 1, PerTask: descriptor.Resources{Accelerators: 8, Cores: 8, Memory: 8000}, Adjacency: descriptor.LevelWorker},
		{Workspace: "couture", Class: "Overnight", Tasks: 4, PerTask: descriptor.Resources{Accelerators: 1, Cores: 2, Memory: 2000}},
		{Workspace: "retouche", Class: "Overnight", Tasks: 2, PerTask: descriptor.Resources{Accelerators: 2, Cores: 2, Memory: 2000}},
		{Workspace: "retouche", Class: "Draft", Tasks: 1, PerTask: descriptor.Resources{Accelerators: 1, Cores: 1, Memory: 1000}, NonIdempotent: true},
	}
	for i := range 18 {
		job := templates[i%len(templates)]
		job.ID = descriptor.JobID(fmt.Sprintf("job-%d", i))
		job.DeclaredRunTime = descriptor.Duration(time.Duration(800+100*(i%7)) * time.Millisecond)
		var jobStatus coordinator.JobStatus
		if _, err := r.call(ctx, i, http.MethodPost, "/v1/jobs", job, &jobStatus); err != nil {
			return fmt.Errorf("submit job %s: %w", job.ID, err)
		}
		r.jobs = append(r.jobs, job.Key())
	}
	r.printf("submitted %d gang jobs of 3 workspaces", len(r.jobs))
	return nil
}

// awaitJobs waits until all jobs have ended, for at most jobEndTimeout. It records their completion times and
// prints those that did not end as Done.
func (r *demoRun) awaitJobs(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, jobEndTimeout)
	defer cancel()
	for _, k := range r.jobs {
		for {
			var jobStatus coordinator.JobStatus
			_, err := r.call(ctx, 0, http.MethodGet, "/v1/jobs/"+string(k.Workspace)+"/"+string(k.Job), nil, &jobStatus)
			if err == nil && jobStatus.EndedAt != nil {
				if jobStatus.Result != descriptor.ResultDone {
					r.printf("job %s: %s: %s", k, jobStatus.Result, jobStatus.Reason)
				}
				r.completionTimes[string(jobStatus.Job.Class)] = append(r.completionTimes[string(jobStatus.Job.Class)], jobStatus.EndedAt.Sub(jobStatus.Accepted).Seconds())
				break
			}
			select {
			case <-ctx.Done():
				return fmt.Errorf("job %s is %s: %w", k, jobStatus.State, ctx.Err())
			case <-time.After(100 * time.Millisecond):
			}
		}
	}
	return nil
}
