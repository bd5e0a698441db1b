package loader

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"persimmontrail/pkg/descriptor"
)

// submitterCount is the number of concurrent clients that submit the long jobs.
const submitterCount = 16

// Run contains the measurements of one deployment.
type Run struct {
	Size
	// Seconds is the time between the samples at the beginning and at the end of the measurement.
	Seconds float64
	// TasksRunning is the number of running tasks when the measurement began.
	TasksRunning int
	// Entry is the mean of all entries except the scheduler. It is nil if there is only one entry.
	Entry *Cost `json:",omitempty"`
	// Scheduler is the cost of the entry that schedules.
	Scheduler Cost
	// Agent is the agent with a process of its own. GroupedAgent is the mean of the agents that share processes.
	Agent, GroupedAgent Cost
	// MessageBytes are the bytes per second by message kind, summed over the counters of all entries.
	MessageBytes map[string]float64
	// StoreCalls are the calls per second by kind, as counted by the store.
	StoreCalls map[string]float64
	// StoreBytes are the bytes per second in the bodies of calls to the store and of its answers.
	StoreBytes float64
	// UrgentStart is the time from the submission of an urgent job to its start at the worker.
	UrgentStart,
	// Propagation is the time from the answer to a configuration change until all agents in groups hold its revision or a later
	// one. It counts as 0 if they hold it before the answer. The agent with a process of its own is not included.
	Propagation Percentiles
	// RequestTime is the time from sending a request to receiving its answer.
	RequestTime Percentiles
	// Failures counts submissions, requests and changes that failed, urgent jobs that did not start, and changes that were not
	// propagated.
	Failures int
	// Documents maps the part of the store keys before the first slash to the total size in bytes of the values of such keys. It
	// is empty if the store could not be listed.
	Documents map[string]int
	// LargestDocument is the size in bytes of the largest value that was written to the store, also if it was replaced later.
	LargestDocument int
}

// Cost is the resource usage of a process.
type Cost struct {
	// CPU is the processor time in percent of one core.
	CPU float64
	// Memory is the resident memory in MB.
	Memory float64
	// Bytes are the message bytes per second, as counted by the entries. The value of an agent is the mean over all
	// agents.
	Bytes float64
}

// Percentiles are the percentiles of a set of times in milliseconds.
type Percentiles struct {
	Count              int
	P50, P95, P99, Max float64
}

// percentilesOf sorts times in place and returns their percentiles, which are 0 if there are no times.
func percentilesOf(times []time.Duration) Percentiles {
	slices.Sort(times)
	p := Percentiles{Count: len(times)}
	if p.Count == 0 {
		return p
	}
	quantile := func(q float64) float64 { return times[int(q*float64(len(times)-1)+0.5)].Seconds() * 1000 }
	p.P50, p.P95, p.P99, p.Max = quantile(0.5), quantile(0.95), quantile(0.99), quantile(1)
	return p
}

// runState consists of the deployment of one run and the events recorded during the run.
type runState struct {
	*deployment
	options *Options
	random  *rand.Rand

	// mu guards the fields below.
	mu sync.Mutex
	// submittedAt holds, for each accepted job, the time just before its submission was sent.
	submittedAt map[descriptor.JobKey]time.Time
	// changedAt holds, by revision, the time at which each accepted configuration change was answered.
	changedAt map[descriptor.Revision]time.Time
	// heldAt holds, for each revision, the times at which the agent groups reported that all of their agents hold it.
	heldAt map[descriptor.Revision][]time.Time
	// requestTimes are the times from request to answer. Requests that failed are left out.
	requestTimes []time.Duration
	failures     int
}

// measureSize starts a deployment of the given size, measures it and stops it.
func (o *Options) measureSize(ctx context.Context, size Size) (*Run, error) {
	o.logProgress("%d agents, %d entries, %d tasks an agent, %d workspaces: starting", size.Agents, size.Entries, size.TasksPerAgent, size.Workspaces)
	d, err := o.deploy(ctx, size)
	if err != nil {
		return nil, err
	}
	defer d.close()
	t := &runState{
		deployment: d, options: o, random: rand.New(rand.NewPCG(o.Seed, 0)),
		submittedAt: map[descriptor.JobKey]time.Time{}, changedAt: map[descriptor.Revision]time.Time{}, heldAt: map[descriptor.Revision][]time.Time{},
	}
	for _, p := range d.agentGroups {
		d.background.Go(func() { t.collectRevisions(p) })
	}
	if err := t.startLongJobs(ctx); err != nil {
		return nil, err
	}
	if err := sleep(ctx, o.SettleDuration); err != nil {
		return nil, err
	}
	r, err := t.measure(ctx)
	if err != nil {
		return nil, err
	}
	o.logProgress("  scheduler %.1f%% of a core, %.0f MB; agent %.2f%%, %.0f MB, %.0f B/s; urgent start p95 %.0f ms; %d failures",
		r.Scheduler.CPU, r.Scheduler.Memory, r.Agent.CPU, r.Agent.Memory, r.Agent.Bytes, r.UrgentStart.P95, r.Failures)
	return r, nil
}

func (o *Options) logProgress(format string, args ...any) {
	fmt.Fprintf(o.Progress, format+"\n", args...)
}

// sleep waits for d, or returns an error if ctx ends before.
func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

// collectRevisions records, from the output of a group, the times at which all of its agents held each revision. It returns
// when the process of the group closes its output.
func (t *runState) collectRevisions(p *process) {
	for line := range p.lines {
		var r groupRevision
		if json.Unmarshal(line, &r) != nil {
			continue
		}
		t.mu.Lock()
		t.heldAt[r.Revision] = append(t.heldAt[r.Revision], r.At)
		t.mu.Unlock()
	}
}

// startLongJobs submits the long jobs in random order and waits until all of their tasks run, for startTimeout at most. It
// rounds the number of jobs down, so that fewer than TasksPerLongJob of the wanted tasks are left out.
func (t *runState) startLongJobs(ctx context.Context) error {
	jobCount := t.size.Agents * t.size.TasksPerAgent / t.options.TasksPerLongJob
	if jobCount == 0 {
		return nil
	}
	jobNumbers := make(chan int)
	var submitters sync.WaitGroup
	for range submitterCount {
		submitters.Go(func() {
			for i := range jobNumbers {
				t.submitJob(ctx, "long", i, "Draft", t.options.TasksPerLongJob, descriptor.Resources{Accelerators: 1, Cores: 1, Memory: 1000}, time.Hour)
			}
		})
	}
	for _, i := range t.random.Perm(jobCount) {
		jobNumbers <- i
	}
	close(jobNumbers)
	submitters.Wait()
	t.options.logProgress("  %d long jobs submitted, %d failures", jobCount, t.failures)
	return t.retry(ctx, func() error {
		if n := t.runningTasks(); n < jobCount*t.options.TasksPerLongJob {
			return fmt.Errorf("%d of %d tasks are running", n, jobCount*t.options.TasksPerLongJob)
		}
		return nil
	})
}

// runningTasks returns the number of running tasks at all workers.
func (t *runState) runningTasks() int {
	n := 0
	for _, w := range t.workers {
		for _, r := range w.Runs() {
			if r.State == "Running" {
				n++
			}
		}
	}
	return n
}

// submitJob submits a job, and records the time of submission or a failure.
func (t *runState) submitJob(ctx context.Context, prefix string, i int, class descriptor.ClassID, tasks int, perTask descriptor.Resources, runTime time.Duration) {
	job := descriptor.Job{
		ID: descriptor.JobID(fmt.Sprintf("%s-%d", prefix, i)), Workspace: workspaceName(i % t.size.Workspaces), Class: class,
		Region: region, Tasks: tasks, PerTask: perTask, DeclaredRunTime: descriptor.Duration(runTime),
	}
	submittedAt := time.Now()
	var answer struct{}
	err := t.callEntry(ctx, http.MethodPost, "/v1/jobs", job, &answer)
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil {
		t.failures++
		return
	}
	t.submittedAt[job.Key()] = submittedAt
}

// measure generates the load that the options specify and computes the figures of the run.
func (t *runState) measure(ctx context.Context) (*Run, error) {
	r := &Run{Size: t.size, TasksRunning: t.runningTasks()}
	before, err := t.takeSample()
	if err != nil {
		return nil, err
	}
	loadCtx, stop := context.WithTimeout(ctx, t.options.MeasureDuration)
	defer stop()
	var load sync.WaitGroup
	startLoad := func(rate float64, f func(i int)) {
		if rate > 0 {
			load.Go(func() { t.repeatAtRate(loadCtx, &load, rate, f) })
		}
	}
	startLoad(t.options.UrgentRate, func(i int) {
		t.submitJob(ctx, "urgent", i, "Preview", 1, descriptor.Resources{Cores: 1, Memory: 100}, time.Second)
	})
	startLoad(t.options.RequestRate, func(i int) { t.sendRequest(ctx, i) })
	startLoad(float64(t.options.ConfigurationChanges)/t.options.MeasureDuration.Seconds(), func(i int) { t.changeConfiguration(ctx, i) })
	<-loadCtx.Done()
	after, err := t.takeSample()
	if err != nil {
		return nil, err
	}
	load.Wait()
	// The last urgent jobs start and the last changes are propagated within this time.
	if err := sleep(ctx, 4*time.Second); err != nil {
		return nil, err
	}
	t.summarize(r, before, after)
	return r, ctx.Err()
}

// repeatAtRate calls f with ascending numbers, rate times per second, until ctx ends. Each call has its own goroutine in group.
// The first call comes after half of an interval, so that the last one does not coincide with the end of ctx.
func (t *runState) repeatAtRate(ctx context.Context, group *sync.WaitGroup, rate float64, f func(i int)) {
	interval := time.Duration(float64(time.Second) / rate)
	if sleep(ctx, interval/2) != nil {
		return
	}
	group.Go(func() { f(0) })
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for i := 1; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			group.Go(func() { f(i) })
		}
	}
}

// sendRequest sends a request, and records the time until its answer or a failure.
func (t *runState) sendRequest(ctx context.Context, i int) {
	request := descriptor.Request{ID: descriptor.RequestID(fmt.Sprint("request-", i)), Workspace: workspaceName(i % t.size.Workspaces), Class: "Preview"}
	sentAt := time.Now()
	var answer struct{ Result descriptor.Result }
	err := t.callEntry(ctx, http.MethodPost, "/v1/requests", request, &answer)
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil || answer.Result != descriptor.ResultDone {
		t.failures++
		return
	}
	t.requestTimes = append(t.requestTimes, time.Since(sentAt))
}

// changeConfiguration changes a class target, which has no effect on where jobs may run.
func (t *runState) changeConfiguration(ctx context.Context, i int) {
	cfg := t.configuration()
	cfg.Classes[1].FinishWithin += descriptor.Duration(time.Duration(i+1) * time.Second)
	var answer struct {
		Revision descriptor.Revision
		State    string
	}
	var current descriptor.Configuration
	err := t.callEntry(ctx, http.MethodGet, "/v1/configuration", nil, &current)
	cfg.Revision = current.Revision
	if err == nil {
		err = t.callEntry(ctx, http.MethodPut, "/v1/configuration", cfg, &answer)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil || answer.State != "Accepted" {
		t.failures++
		return
	}
	t.changedAt[answer.Revision] = time.Now()
}

// counterSample contains the values of all counters at one time.
type counterSample struct {
	at         time.Time
	usage      map[*process]processUsage
	metrics    map[*process]map[string]float64
	storeCalls map[string]int64
	// storeBytes is the value of deployment.storeBytes.
	storeBytes int64
}

// takeSample reads the metrics of all entries, then the usage of all processes, then the counters of the store. The time of the
// sample is that after the last reading.
func (t *runState) takeSample() (*counterSample, error) {
	s := &counterSample{usage: map[*process]processUsage{}, metrics: map[*process]map[string]float64{}}
	for _, e := range t.entries {
		values, err := e.readMetrics(t.client)
		if err != nil {
			return nil, err
		}
		s.metrics[e] = values
	}
	for _, p := range slices.Concat(t.entries, t.agentGroups, []*process{t.singleAgent}) {
		u, err := p.readUsage()
		if err != nil {
			return nil, fmt.Errorf("%s: %w", p.role, err)
		}
		s.usage[p] = u
	}
	s.storeCalls = t.store.Stats().Calls
	s.storeBytes = t.storeBytes.Load()
	s.at = time.Now()
	return s, nil
}

// messageBytes returns, from the metrics of an entry, the bytes of the calls that it made and of those that it served, by kind.
func messageBytes(values map[string]float64) map[string]float64 {
	bytesByKind := map[string]float64{}
	for name, v := range values {
		if !strings.HasPrefix(name, "persimmontrail_message_bytes_total") && !strings.HasPrefix(name, "persimmontrail_served_bytes_total") {
			continue
		}
		if _, kind, ok := strings.Cut(name, `kind="`); ok {
			bytesByKind[strings.TrimSuffix(kind, `"}`)] += v
		}
	}
	return bytesByKind
}

// summarize computes the figures of r from the samples before and after the measurement.
func (t *runState) summarize(r *Run, before, after *counterSample) {
	seconds := after.at.Sub(before.at).Seconds()
	r.Seconds = seconds
	cost := func(p *process) Cost {
		return Cost{
			CPU:    100 * (after.usage[p].cpu - before.usage[p].cpu).Seconds() / seconds,
			Memory: float64(after.usage[p].memory) / 1e6,
		}
	}
	r.MessageBytes = map[string]float64{}
	otherEntryCount := 0
	var agentBytes float64
	for _, e := range t.entries {
		c := cost(e)
		previous := messageBytes(before.metrics[e])
		for kind, v := range messageBytes(after.metrics[e]) {
			perSecond := (v - previous[kind]) / seconds
			c.Bytes += perSecond
			r.MessageBytes[kind] += perSecond
			// Entries exchange messages of these kinds with each other, and messages of all other kinds with agents.
			if kind != "Peer" && kind != "JobChanged" && kind != "Forward" {
				agentBytes += perSecond
			}
		}
		if after.metrics[e]["persimmontrail_scheduler"] == 1 {
			r.Scheduler = c
			continue
		}
		if r.Entry == nil {
			r.Entry = &Cost{}
		}
		otherEntryCount++
		r.Entry.CPU += c.CPU
		r.Entry.Memory += c.Memory
		r.Entry.Bytes += c.Bytes
	}
	if otherEntryCount > 0 {
		r.Entry.CPU /= float64(otherEntryCount)
		r.Entry.Memory /= float64(otherEntryCount)
		r.Entry.Bytes /= float64(otherEntryCount)
	}
	r.Agent = cost(t.singleAgent)
	for _, g := range t.agentGroups {
		c := cost(g)
		r.GroupedAgent.CPU += c.CPU / float64(t.size.Agents-1)
		r.GroupedAgent.Memory += c.Memory / float64(t.size.Agents-1)
	}
	r.Agent.Bytes = agentBytes / float64(t.size.Agents)
	r.GroupedAgent.Bytes = r.Agent.Bytes
	r.StoreCalls = map[string]float64{}
	for kind, n := range after.storeCalls {
		r.StoreCalls[kind] = float64(n-before.storeCalls[kind]) / seconds
	}
	r.StoreBytes = float64(after.storeBytes-before.storeBytes) / seconds
	t.summarizeTimes(r)
	t.measureDocuments(r)
}

// summarizeTimes computes the start, propagation and request times of r. It increments the number of failures for each urgent
// job that did not start and for each change that was not propagated. The start of a job is the earliest start at any worker.
func (t *runState) summarizeTimes(r *Run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	startedAt := map[descriptor.JobKey]time.Time{}
	for _, w := range t.workers {
		for _, run := range w.Runs() {
			if at, ok := startedAt[run.Key]; !ok || run.StartedAt.Before(at) {
				startedAt[run.Key] = run.StartedAt
			}
		}
	}
	var urgent, propagation []time.Duration
	for key, at := range t.submittedAt {
		if !strings.HasPrefix(string(key.Job), "urgent") {
			continue
		}
		if start, ok := startedAt[key]; ok {
			urgent = append(urgent, start.Sub(at))
		} else {
			t.failures++
		}
	}
	for revision, at := range t.changedAt {
		if propagated, ok := t.propagatedAt(revision); ok {
			propagation = append(propagation, max(0, propagated.Sub(at)))
		} else {
			t.failures++
		}
	}
	r.UrgentStart = percentilesOf(urgent)
	r.Propagation = percentilesOf(propagation)
	r.RequestTime = percentilesOf(t.requestTimes)
	r.Failures = t.failures
}

// propagatedAt returns the earliest time by which all groups had reported the same revision, which is the given or a later one.
// It reports whether there is such a time.
func (t *runState) propagatedAt(revision descriptor.Revision) (time.Time, bool) {
	var earliest time.Time
	for held, times := range t.heldAt {
		if held >= revision && len(times) == len(t.agentGroups) {
			latest := slices.MaxFunc(times, time.Time.Compare)
			if earliest.IsZero() || latest.Before(earliest) {
				earliest = latest
			}
		}
	}
	return earliest, !earliest.IsZero()
}

// measureDocuments sets Documents to the sizes of the values in the store at the end of the run, and LargestDocument to the size
// of the largest value written during the run.
func (t *runState) measureDocuments(r *Run) {
	r.Documents = map[string]int{}
	r.LargestDocument = t.store.Stats().LargestValue
	answer, err := t.client.Get(t.baseURL + "/store/v1/list?prefix=")
	if err != nil {
		return
	}
	defer answer.Body.Close()
	var listing struct {
		Items map[string]struct{ Data []byte }
	}
	if json.NewDecoder(answer.Body).Decode(&listing) != nil {
		return
	}
	for key, v := range listing.Items {
		kind, _, _ := strings.Cut(key, "/")
		r.Documents[kind] += len(v.Data)
	}
}
