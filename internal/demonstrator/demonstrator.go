// Package demonstrator runs a whole deployment in one process and counts, at
// the stand-ins for the platform, what became of the work.
package demonstrator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"persimmontrail/internal/coordinator"
	"persimmontrail/internal/faker"
	"persimmontrail/pkg/descriptor"
)

const (
	service = "measurement"
	// removedDomain is the failure domain that the demo takes out and back.
	removedDomain = "Sherbrooke"
	// startBound is how long after the acceptance of its removal a task may still start in a failure domain.
	startBound = 3 * time.Second
	// runLimit bounds the whole demo.
	runLimit = 55 * time.Second
	// removedTime is how long the failure domain stays out.
	removedTime = 6 * time.Second
	settleTime  = 20 * time.Second
)

// ErrViolation means that a count that must be 0 is not, or that work is missing.
var ErrViolation = errors.New("demo found a violation")

// Report holds the counts of the stand-ins.
type Report struct {
	// Accepted counts the jobs and requests that were taken, Completed those that ran to their end.
	Accepted, Completed int
	// Lost were accepted and did not complete.
	Lost int
	// RanTwice counts work that may run at most once and ran more often.
	RanTwice int
	// PartialGangs counts attempts that did work although not all of their members started.
	PartialGangs int
	// StartsInRemovedDomain counts starts later than 3 s after the removal was accepted.
	StartsInRemovedDomain int
	// FalseNotRun counts requests that ran although their caller was told NotRun.
	FalseNotRun int
	// Refused counts requests that were answered NotRun; they are not in Accepted.
	Refused int
	// CompletionSeconds is the median completion time by class.
	CompletionSeconds map[string]float64
	// Seconds is the duration of the demo.
	Seconds float64
}

// Check returns ErrViolation if the counts break a promise.
func (r *Report) Check() error {
	if r.RanTwice+r.PartialGangs+r.StartsInRemovedDomain+r.FalseNotRun != 0 || r.Lost != 0 || r.Accepted != r.Completed {
		return fmt.Errorf("%w: %+v", ErrViolation, *r)
	}
	return nil
}

// Demo runs the demonstration.
type Demo struct {
	Out io.Writer
	Log *log.Logger
}

// run is the state of one demonstration.
type run struct {
	*Deployment
	out  io.Writer
	http *http.Client

	mu       sync.Mutex
	requests []sentRequest
	jobs     []descriptor.JobKey
	elapsed  map[string][]float64
}

// sentRequest is a request with what its caller was told.
type sentRequest struct {
	request descriptor.Request
	class   string
	result  descriptor.Result
	whole   bool
}

// Run starts a deployment, gives it work, takes a failure domain out and back and reports the counts.
func (d *Demo) Run(ctx context.Context) (*Report, error) {
	ctx, cancel := context.WithTimeout(ctx, runLimit)
	defer cancel()
	began := time.Now()
	cfg := configuration()
	logger := d.Log
	if logger == nil {
		logger = log.New(io.Discard)
	}
	deployment, err := start(ctx, cfg, logger)
	if err != nil {
		return nil, err
	}
	defer deployment.Close()
	r := &run{Deployment: deployment, out: d.Out, http: &http.Client{}, elapsed: map[string][]float64{}}
	report, err := r.play(ctx, cfg)
	if err != nil {
		return nil, err
	}
	report.Seconds = time.Since(began).Seconds()
	r.print(report)
	return report, nil
}

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

func (r *run) play(ctx context.Context, cfg *descriptor.Configuration) (*Report, error) {
	r.say("starting 2 entries, 6 agents and the stand-ins for store, 6 workers and 6 endpoints")
	var change coordinator.ChangeAnswer
	if err := r.untilOK(ctx, http.MethodPut, "/v1/configuration", cfg, &change); err != nil {
		return nil, fmt.Errorf("apply configuration: %w", err)
	}
	r.say("configuration %s as revision %d", change.State, change.Revision)
	if err := r.awaitReady(ctx, len(r.machines)); err != nil {
		return nil, err
	}

	var work sync.WaitGroup
	work.Go(func() { r.sendRequests(ctx, "Preview", 150) })
	work.Go(func() { r.sendRequests(ctx, "Nesting", 40) })
	if err := r.submitJobs(ctx); err != nil {
		return nil, err
	}
	out, in, err := r.removeAndReturn(ctx)
	if err != nil {
		return nil, err
	}
	work.Wait()
	if err := r.awaitJobs(ctx); err != nil {
		r.say("not all jobs ended: %v", err)
	}
	return r.count(out, in), nil
}

// removeAndReturn takes a failure domain out and back and returns when each was accepted.
func (r *run) removeAndReturn(ctx context.Context) (out, in time.Time, err error) {
	if out, err = r.setDomain(ctx, true); err != nil {
		return out, in, err
	}
	select {
	case <-ctx.Done():
		return out, in, ctx.Err()
	case <-time.After(removedTime):
	}
	in = time.Now()
	_, err = r.setDomain(ctx, false)
	return out, in, err
}

func (r *run) setDomain(ctx context.Context, out bool) (time.Time, error) {
	var change coordinator.ChangeAnswer
	body := struct{ Out bool }{out}
	if err := r.untilOK(ctx, http.MethodPut, "/v1/failure-domains/"+removedDomain, body, &change); err != nil {
		return time.Time{}, fmt.Errorf("failure domain %s: %w", removedDomain, err)
	}
	r.say("failure domain %s: Out=%v, %s as revision %d", removedDomain, out, change.State, change.Revision)
	return time.Now(), nil
}

func (r *run) say(format string, args ...any) {
	fmt.Fprintf(r.out, format+"\n", args...)
}

// call sends a request to an entry and decodes the answer.
func (r *run) call(ctx context.Context, entry int, method, path string, body, answer any) (int, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return 0, err
	}
	request, err := http.NewRequestWithContext(ctx, method, r.entries[entry%len(r.entries)]+path, bytes.NewReader(data))
	if err != nil {
		return 0, err
	}
	response, err := r.http.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	data, err = io.ReadAll(response.Body)
	if err != nil {
		return 0, err
	}
	if err := json.Unmarshal(data, answer); err != nil {
		return response.StatusCode, fmt.Errorf("%s: %w", strings.TrimSpace(string(data)), err)
	}
	if response.StatusCode >= 400 {
		return response.StatusCode, fmt.Errorf("status %d: %s", response.StatusCode, strings.TrimSpace(string(data)))
	}
	return response.StatusCode, nil
}

// untilOK repeats a call until it succeeds, since entries need a moment to find the store and each other.
func (r *run) untilOK(ctx context.Context, method, path string, body, answer any) error {
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	for {
		_, err := r.call(ctx, 0, method, path, body, answer)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return err
		case <-time.After(100 * time.Millisecond):
		}
	}
}

// awaitReady waits until every region has a scheduler and all agents hold the configuration.
func (r *run) awaitReady(ctx context.Context, agents int) error {
	ctx, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	for {
		ready, err := r.isReady(ctx, agents)
		if ready {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("not ready within %v: %w", readyLimit, errors.Join(err, ctx.Err()))
		case <-time.After(100 * time.Millisecond):
		}
	}
}

func (r *run) isReady(ctx context.Context, agents int) (bool, error) {
	known := 0
	for i := range r.entries {
		var s coordinator.Status
		if _, err := r.call(ctx, i, http.MethodGet, "/v1/status", nil, &s); err != nil {
			return false, err
		}
		if len(s.Regions) != len(r.entries) {
			return false, fmt.Errorf("%d schedulers: %v", len(s.Regions), s.Notes)
		}
		for _, a := range s.Agents {
			if a.Revision == s.Revision && a.Endpoint != nil && a.Worker != nil {
				known++
			}
		}
	}
	return known == agents, fmt.Errorf("%d of %d agents are ready", known, agents)
}

// sendRequests sends requests of one class at an even rate, alternating between the entries.
func (r *run) sendRequests(ctx context.Context, class string, count int) {
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

func (r *run) sendRequest(ctx context.Context, class string, i int) {
	workspaces := []descriptor.WorkspaceID{"atelier", "couture", "retouche"}
	request := descriptor.Request{
		ID:        descriptor.RequestID(fmt.Sprintf("%s-%d", class, i)),
		Workspace: workspaces[i%len(workspaces)],
		Class:     descriptor.ClassID(class),
		Body:      fmt.Appendf(nil, `{"ServiceTime":"%dms"}`, 20+i%50),
	}
	began := time.Now()
	var a coordinator.RequestAnswer
	if _, err := r.call(ctx, i, http.MethodPost, "/v1/requests", request, &a); err != nil && a.Result == "" {
		a.Result = descriptor.ResultUnknown
	}
	expected := faker.ExpectedAnswer(request.Workspace, request.ID, request.Body)
	sent := sentRequest{request: request, class: class, result: a.Result, whole: bytes.Equal(a.Body, expected)}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests = append(r.requests, sent)
	r.elapsed[class] = append(r.elapsed[class], time.Since(began).Seconds())
}

// submitJobs submits gangs of three workspaces to both regions.
func (r *run) submitJobs(ctx context.Context) error {
	jobs := []descriptor.Job{
		{Workspace: "atelier", Class: "Draft", Tasks: 2, PerTask: descriptor.Resources{Accelerators: 8, Cores: 8, Memory: 8000}, Adjacency: descriptor.LevelRack},
		{Workspace: "atelier", Class: "Draft", Tasks: 3, PerTask: descriptor.Resources{Accelerators: 4, Cores: 4, Memory: 4000}, Adjacency: descriptor.LevelRack},
		{Workspace: "couture", Class: "Draft", Tasks: 1, PerTask: descriptor.Resources{Accelerators: 8, Cores: 8, Memory: 8000}, Adjacency: descriptor.LevelWorker},
		{Workspace: "couture", Class: "Overnight", Tasks: 4, PerTask: descriptor.Resources{Accelerators: 1, Cores: 2, Memory: 2000}},
		{Workspace: "retouche", Class: "Overnight", Tasks: 2, PerTask: descriptor.Resources{Accelerators: 2, Cores: 2, Memory: 2000}},
		{Workspace: "retouche", Class: "Draft", Tasks: 1, PerTask: descriptor.Resources{Accelerators: 1, Cores: 1, Memory: 1000}, NonIdempotent: true},
	}
	for i := range 18 {
		job := jobs[i%len(jobs)]
		job.ID = descriptor.JobID(fmt.Sprintf("job-%d", i))
		job.DeclaredRunTime = descriptor.Duration(time.Duration(800+100*(i%7)) * time.Millisecond)
		var v coordinator.JobView
		if _, err := r.call(ctx, i, http.MethodPost, "/v1/jobs", job, &v); err != nil {
			return fmt.Errorf("submit job %s: %w", job.ID, err)
		}
		r.jobs = append(r.jobs, job.Key())
	}
	r.say("submitted %d gang jobs of 3 workspaces", len(r.jobs))
	return nil
}

// awaitJobs waits until the entries say that all jobs have ended.
func (r *run) awaitJobs(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, settleTime)
	defer cancel()
	for _, k := range r.jobs {
		for {
			var v coordinator.JobView
			_, err := r.call(ctx, 0, http.MethodGet, "/v1/jobs/"+string(k.Workspace)+"/"+string(k.Job), nil, &v)
			if err == nil && v.EndedAt != nil {
				if v.Result != descriptor.ResultDone {
					r.say("job %s: %s: %s", k, v.Result, v.Reason)
				}
				r.elapsed[string(v.Job.Class)] = append(r.elapsed[string(v.Job.Class)], v.EndedAt.Sub(v.Accepted).Seconds())
				break
			}
			select {
			case <-ctx.Done():
				return fmt.Errorf("job %s is %s: %w", k, v.State, ctx.Err())
			case <-time.After(100 * time.Millisecond):
			}
		}
	}
	return nil
}

func (r *run) runsOf(request descriptor.Request) (started, finished int) {
	for _, m := range r.machines {
		for _, n := range m.endpoint.Stats().Runs {
			if n.Workspace == request.Workspace && n.Request == request.ID {
				started += n.Count
				finished += n.Finished
			}
		}
	}
	return started, finished
}

// count compares what callers were told with what the stand-ins saw.
func (r *run) count(out, in time.Time) *Report {
	report := &Report{CompletionSeconds: map[string]float64{}}
	for _, s := range r.requests {
		r.countRequest(report, s)
	}
	runs := r.Ledger.Runs()
	r.countJobs(report, runs)
	for _, run := range faker.StartsIn(runs, removedDomain, out.Add(startBound)) {
		if run.StartedAt.Before(in) {
			report.StartsInRemovedDomain++
		}
	}
	report.StartsInRemovedDomain += r.lateRequests(out.Add(startBound), in)
	report.Lost = report.Accepted - report.Completed
	for class, list := range r.elapsed {
		slices.Sort(list)
		report.CompletionSeconds[class] = list[len(list)/2]
	}
	return report
}

func (r *run) countRequest(report *Report, s sentRequest) {
	started, finished := r.runsOf(s.request)
	if s.class == "Nesting" && started > 1 {
		report.RanTwice++
	}
	if s.result == descriptor.ResultNotRun {
		report.Refused++
		if started > 0 {
			report.FalseNotRun++
		}
		return
	}
	report.Accepted++
	if s.result == descriptor.ResultDone && s.whole && finished > 0 {
		report.Completed++
		return
	}
	r.say("request %s: result %q, whole answer %v, %d runs, %d finished", s.request.ID, s.result, s.whole, started, finished)
}

func (r *run) countJobs(report *Report, runs []faker.Run) {
	done := map[descriptor.JobKey]map[int]bool{}
	for _, n := range runs {
		if n.State != faker.TaskDone {
			continue
		}
		if done[n.Key] == nil {
			done[n.Key] = map[int]bool{}
		}
		done[n.Key][n.Index] = true
	}
	report.Accepted += len(r.jobs)
	for i, k := range r.jobs {
		tasks := []int{2, 3, 1, 4, 2, 1}[i%6]
		if len(done[k]) == tasks {
			report.Completed++
		} else {
			r.say("job %s: %d of %d tasks finished", k, len(done[k]), tasks)
		}
	}
	for _, g := range faker.PartialGangs(runs) {
		if g.Ran {
			report.PartialGangs++
		}
	}
	isOnce := func(k descriptor.JobKey) bool {
		return k.Workspace == "retouche" && slices.Contains(onceJobs, string(k.Job))
	}
	report.RanTwice += len(faker.DoubleRuns(runs, isOnce))
}

// onceJobs are the jobs of submitJobs that run at most once.
var onceJobs = []string{"job-5", "job-11", "job-17"}

// lateRequests counts requests that ran in the removed failure domain between two moments.
func (r *run) lateRequests(from, until time.Time) int {
	late := 0
	for _, m := range r.machines {
		if m.worker.Description.FailureDomain != removedDomain {
			continue
		}
		for _, n := range m.endpoint.Stats().Runs {
			if n.Last.After(from) && n.Last.Before(until) {
				late++
			}
		}
	}
	return late
}

// print writes the summary with a bar for each class.
func (r *run) print(report *Report) {
	r.say("\nmedian completion time by class")
	classes := make([]string, 0, len(report.CompletionSeconds))
	longest := 0.0
	for c, s := range report.CompletionSeconds {
		classes = append(classes, c)
		longest = max(longest, s)
	}
	slices.Sort(classes)
	const width = 40
	for _, c := range classes {
		s := report.CompletionSeconds[c]
		bar := strings.Repeat("#", max(1, int(s/longest*width)))
		r.say("  %-10s %7.3f s %s", c, s, bar)
	}
	r.say("\naccepted %d, completed %d, refused %d", report.Accepted, report.Completed, report.Refused)
	r.say("lost %d, ran twice %d, partial gangs %d, starts in removed failure domain %d, false \"not run\" %d",
		report.Lost, report.RanTwice, report.PartialGangs, report.StartsInRemovedDomain, report.FalseNotRun)
	r.say("took %.1f s", report.Seconds)
}
