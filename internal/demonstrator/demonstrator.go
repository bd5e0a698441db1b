// Package demonstrator runs a demo deployment in one process and compares the answers of the system
// with the runs recorded by the stand-ins for the platform.
//
// An entry is a server that takes requests and jobs and schedules the jobs of its region. An agent starts
// work at a worker, which runs the tasks of jobs, and at an endpoint, which serves requests. Package faker
// has stand-ins for workers, endpoints and the store. The tasks of a job form a gang, which starts as a
// whole or not at all; an attempt is a numbered start of a job. A failure domain that is out of service
// starts no work. The result NotRun promises that work has not run and will not run. The
// violations are the runs that Report counts as RanTwice, PartialGangs, StartsInRemovedDomain and FalseNotRun.
package demonstrator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"persimmontrail/internal/coordinator"
	"persimmontrail/pkg/descriptor"
)

const (
	// service is the name of the service that all endpoints offer and that the classes of requests use.
	service = "measurement"
	// removedDomain is the failure domain that the demo takes out of service and brings back.
	removedDomain = "Sherbrooke"
	// startGracePeriod is the time after the accepted removal of a failure domain during which tasks and
	// requests may still start there.
	startGracePeriod = 3 * time.Second
	// demoTimeout bounds the demo without its shutdown. The help of the command states 60 s for both. The shutdown takes
	// the other 5 s, because the stand-ins serve for that long after it has begun.
	demoTimeout = 55 * time.Second
	// removalDuration is the time from the accepted removal of the failure domain to the request for its
	// return.
	removalDuration = 6 * time.Second
	// jobEndTimeout bounds the wait for the end of all jobs once all requests are answered.
	jobEndTimeout = 20 * time.Second
)

// ErrViolation is wrapped by the error of Report.Check if work was lost or a violation was counted.
var ErrViolation = errors.New("demo found a violation")

// Report holds the results of a demo.
type Report struct {
	// Accepted counts the submitted jobs, and the requests with any result except NotRun. Completed counts those
	// of them that finished and, for requests, returned the expected answer.
	Accepted, Completed int
	// Lost counts accepted work that did not complete.
	Lost int
	// RanTwice counts non-idempotent requests that ran more than once, and pairs of task runs that overlap or
	// repeat a task of a non-idempotent job.
	RanTwice int
	// PartialGangs counts attempts in which a task completed although not all members of the gang had started.
	PartialGangs int
	// StartsInRemovedDomain counts starts in the removed failure domain more than 3 s after the removal was
	// accepted and before the return of the domain was requested.
	StartsInRemovedDomain int
	// FalseNotRun counts requests that ran although their result was NotRun.
	FalseNotRun int
	// Refused counts requests with the result NotRun, which Accepted does not include.
	Refused int
	// CompletionSeconds is the median completion time of jobs and requests by class, whatever their result. Of an
	// even number of times, it is the upper of the two in the middle.
	CompletionSeconds map[string]float64
	// Seconds is the duration of the demo including the start of the deployment, but not its shutdown.
	Seconds float64
}

// Check returns an error that wraps ErrViolation if the report shows lost work or a violation.
func (r *Report) Check() error {
	if r.RanTwice+r.PartialGangs+r.StartsInRemovedDomain+r.FalseNotRun != 0 || r.Lost != 0 || r.Accepted != r.Completed {
		return fmt.Errorf("%w: %+v", ErrViolation, *r)
	}
	return nil
}

// Demo runs the demo deployment.
type Demo struct {
	// Out receives progress messages and the summary.
	Out io.Writer
	// Log receives the logs of the entries and agents; if it is nil, they are discarded.
	Log *log.Logger
}

// demoRun is the state of a running demo.
type demoRun struct {
	*Deployment
	out        io.Writer
	httpClient *http.Client

	// mu guards requests and completionTimes while requests are sent concurrently.
	mu       sync.Mutex
	requests []sentRequest
	// jobs are the keys of the submitted jobs in the order of submission.
	jobs []descriptor.JobKey
	// completionTimes holds the completion times of jobs and requests in seconds, by class.
	completionTimes map[string][]float64
}

// sentRequest is a request and what its caller learned about it. The result is Unknown if there was no answer.
type sentRequest struct {
	request descriptor.Request
	class   string
	result  descriptor.Result
	// bodyMatches is true if the answer had the expected body.
	bodyMatches bool
}

// Run starts a deployment, sends requests and jobs while it takes a failure domain out and brings it back,
// and reports the results. It does not return violations as errors; Report.Check does.
func (d *Demo) Run(ctx context.Context) (*Report, error) {
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	startedAt := time.Now()
	cfg := configuration()
	logger := d.Log
	if logger == nil {
		logger = log.New(io.Discard)
	}
	deployment, err := startDeployment(ctx, cfg, logger)
	if err != nil {
		return nil, err
	}
	defer deployment.Close()
	r := &demoRun{Deployment: deployment, out: d.Out, httpClient: &http.Client{}, completionTimes: map[string][]float64{}}
	report, err := r.runScenario(ctx, cfg)
	if err != nil {
		return nil, err
	}
	report.Seconds = time.Since(startedAt).Seconds()
	r.printSummary(report)
	return report, nil
}

// configuration returns the configuration of the demo: three workspaces with guarantees, two classes of
// requests, two classes of jobs, and three failure domains in two regions.
func configuration() *descriptor.Configuration {
	return &descriptor.Configuration{
		Workspaces: []descriptor.Workspace{
			{Name: "atelier", Guarantees: []descriptor.Shape{{Accelerators: 16, Adjacency: descriptor.LevelRack}}},
			{Name: "couture", Guarantees: []descriptor.Shape{{Accelerators: 8, Adjacency: descriptor.LevelWorker}}},
			{Name: "retouche", Guarantees: []descriptor.Shape{{Accelerators: 2, Adjacency: descriptor.LevelWorker}}},
		},
		Classes: []descriptor.Class{
			{Name: "Preview", FinishWithin: descriptor.Duration(8 * time.Second), Share: 0.5, Service: service},
			{Name: "Nesting", FinishWithin: descriptor.Duration(20 * time.Second), Share: 0.5, Service: service, NonIdempotent: true},
			{Name: "Draft", FinishWithin: descriptor.Duration(time.Minute), Share: 1},
			{Name: "Overnight", FinishWithin: descriptor.Duration(10 * time.Hour), Share: 0.5},
		},
		FailureDomains: []descriptor.FailureDomain{
			{Name: "Montreal", Region: "qc-sud"},
			{Name: removedDomain, Region: "qc-sud"},
			{Name: "Saguenay", Region: "qc-nord"},
		},
		Fleet: []descriptor.RackSize{
			{FailureDomain: "Montreal", Racks: 1, Workers: workersPerDomain, Accelerators: acceleratorsPerWorker},
			{FailureDomain: removedDomain, Racks: 1, Workers: workersPerDomain, Accelerators: acceleratorsPerWorker},
			{FailureDomain: "Saguenay", Racks: 1, Workers: workersPerDomain, Accelerators: acceleratorsPerWorker},
		},
	}
}

// runScenario applies the configuration and sends requests and jobs. Meanwhile it takes a failure domain out
// and brings it back. It then waits for the jobs to end and builds the report.
func (r *demoRun) runScenario(ctx context.Context, cfg *descriptor.Configuration) (*Report, error) {
	r.printf("starting 2 entries, 6 agents and the stand-ins for store, 6 workers and 6 endpoints")
	var change coordinator.ChangeResponse
	if err := r.callUntilSuccess(ctx, http.MethodPut, "/v1/configuration", cfg, &change); err != nil {
		return nil, fmt.Errorf("apply configuration: %w", err)
	}
	r.printf("configuration %s as revision %d", change.State, change.Revision)
	if err := r.awaitReady(ctx, len(r.vms)); err != nil {
		return nil, err
	}

	var senders sync.WaitGroup
	senders.Go(func() { r.sendRequests(ctx, "Preview", 150) })
	senders.Go(func() { r.sendRequests(ctx, "Nesting", 40) })
	if err := r.submitJobs(ctx); err != nil {
		return nil, err
	}
	removedAt, returnedAt, err := r.removeAndRestoreDomain(ctx)
	if err != nil {
		return nil, err
	}
	senders.Wait()
	if err := r.awaitJobs(ctx); err != nil {
		r.printf("not all jobs ended: %v", err)
	}
	return r.buildReport(removedAt, returnedAt), nil
}

// removeAndRestoreDomain takes removedDomain out and brings it back after removalDuration. It returns the
// time just after the removal was accepted or stored and the time just before the return was requested.
func (r *demoRun) removeAndRestoreDomain(ctx context.Context) (removedAt, returnedAt time.Time, err error) {
	if removedAt, err = r.setDomainOut(ctx, true); err != nil {
		return removedAt, returnedAt, err
	}
	select {
	case <-ctx.Done():
		return removedAt, returnedAt, ctx.Err()
	case <-time.After(removalDuration):
	}
	returnedAt = time.Now()
	_, err = r.setDomainOut(ctx, false)
	return removedAt, returnedAt, err
}

// setDomainOut takes removedDomain out or, if out is false, brings it back. It returns the time just after
// the change was accepted or stored.
func (r *demoRun) setDomainOut(ctx context.Context, out bool) (time.Time, error) {
	var change coordinator.ChangeResponse
	body := struct{ Out bool }{out}
	if err := r.callUntilSuccess(ctx, http.MethodPut, "/v1/failure-domains/"+removedDomain, body, &change); err != nil {
		return time.Time{}, fmt.Errorf("failure domain %s: %w", removedDomain, err)
	}
	r.printf("failure domain %s: Out=%v, %s as revision %d", removedDomain, out, change.State, change.Revision)
	return time.Now(), nil
}

// printf prints to the output of the demo and appends a newline.
func (r *demoRun) printf(format string, args ...any) {
	fmt.Fprintf(r.out, format+"\n", args...)
}
