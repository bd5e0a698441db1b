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

// submitters is the number of callers that submit the long jobs.
const submitters = 16

// Run is the measurement of one deployment.
type Run struct {
	Size
	Seconds float64
	// TasksRunning is the number of running tasks at the workers when the measurement began.
	TasksRunning int
	// Entry is the mean of the entries that do not schedule, Scheduler the one that does. With one entry there is no Entry.
	Entry     *Cost `json:",omitempty"`
	Scheduler Cost
	// Agent has a process of its own. GroupedAgent is the mean of those that share processes.
	Agent, GroupedAgent Cost
	// MessageBytes is the bytes a second by kind, as counted by all entries together.
	MessageBytes map[string]float64
	// StoreCalls is the calls a second by kind, as counted by the store.
	StoreCalls map[string]float64
	// StoreBytes is the bytes a second of the bodies of calls to the store and of its answers.
	StoreBytes float64
	// UrgentStart is from submission to the start at the worker, Propagation from the answer to a change until the
	// last agent of the shared processes holds the revision.
	UrgentStart, Propagation Percentiles
	// RequestTime is from sending a request to its answer.
	RequestTime Percentiles
	// Failures counts submissions, requests and changes that failed, and urgent jobs that did not start.
	Failures int
	// Documents is the number of bytes of store values by the first part of the key; LargestDocument is the largest.
	Documents       map[string]int
	LargestDocument int
}

// Cost is what a process takes.
type Cost struct {
	// CPU is in percent of one core.
	CPU float64
	// Memory is resident, in MB.
	Memory float64
	// Bytes a second, as entries count them; for an agent, the mean of all agents.
	Bytes float64
}

// Percentiles of times in milliseconds.
type Percentiles struct {
	Count              int
	P50, P95, P99, Max float64
}

func percentiles(times []time.Duration) Percentiles {
	slices.Sort(times)
	p := Percentiles{Count: len(times)}
	if p.Count == 0 {
		return p
	}
	at := func(q float64) float64 { return times[int(q*float64(len(times)-1)+0.5)].Seconds() * 1000 }
	p.P50, p.P95, p.P99, p.Max = at(0.5), at(0.95), at(0.99), at(1)
	return p
}

// trial is the state of one run.
type trial struct {
	*deployment
	options *Options
	random  *rand.Rand

	mu        sync.Mutex
	submitted map[descriptor.JobKey]time.Time
	changes   map[descriptor.Revision]time.Time
	held      map[descriptor.Revision][]time.Time
	requests  []time.Duration
	failures  int
}

func (o *Options) run(ctx context.Context, size Size) (*Run, error) {
	o.say("%d agents, %d entries, %d tasks an agent, %d workspaces: starting", size.Agents, size.Entries, size.TasksPerAgent, size.Workspaces)
	d, err := o.deploy(ctx, size)
	if err != nil {
		return nil, err
	}
	defer d.close()
	t := &trial{
		deployment: d, options: o, random: rand.New(rand.NewPCG(o.Seed, 0)),
		submitted: map[descriptor.JobKey]time.Time{}, changes: map[descriptor.Revision]time.Time{}, held: map[descriptor.Revision][]time.Time{},
	}
	for _, p := range d.groups {
		d.group.Go(func() { t.follow(p) })
	}
	if err := t.fill(ctx); err != nil {
		return nil, err
	}
	if err := wait(ctx, o.Settle); err != nil {
		return nil, err
	}
	r, err := t.measure(ctx)
	if err != nil {
		return nil, err
	}
	o.say("  scheduler %.1f%% of a core, %.0f MB; agent %.2f%%, %.0f MB, %.0f B/s; urgent start p95 %.0f ms; %d failures",
		r.Scheduler.CPU, r.Scheduler.Memory, r.Agent.CPU, r.Agent.Memory, r.Agent.Bytes, r.UrgentStart.P95, r.Failures)
	return r, nil
}

func (o *Options) say(format string, args ...any) { fmt.Fprintf(o.Progress, format+"\n", args...) }

func wait(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

// follow records when a group holds a revision.
func (t *trial) follow(p *process) {
	for line := range p.lines {
		var r groupRevision
		if json.Unmarshal(line, &r) != nil {
			continue
		}
		t.mu.Lock()
		t.held[r.Revision] = append(t.held[r.Revision], r.At)
		t.mu.Unlock()
	}
}

// fill submits the jobs that run for the whole trial and waits until they do.
func (t *trial) fill(ctx context.Context) error {
	want := t.size.Agents * t.size.TasksPerAgent / t.options.Gang
	if want == 0 {
		return nil
	}
	numbers := make(chan int)
	var callers sync.WaitGroup
	for range submitters {
		callers.Go(func() {
			for i := range numbers {
				t.submit(ctx, "long", i, "Draft", t.options.Gang, descriptor.Resources{Accelerators: 1, Cores: 1, Memory: 1000}, time.Hour)
			}
		})
	}
	for _, i := range t.random.Perm(want) {
		numbers <- i
	}
	close(numbers)
	callers.Wait()
	t.options.say("  %d long jobs submitted, %d failures", want, t.failures)
	return t.until(ctx, func() error {
		if n := t.runningTasks(); n < want*t.options.Gang {
			return fmt.Errorf("%d of %d tasks run", n, want*t.options.Gang)
		}
		return nil
	})
}

func (t *trial) runningTasks() int {
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

func (t *trial) submit(ctx context.Context, prefix string, i int, class descriptor.ClassID, tasks int, each descriptor.Resources, runTime time.Duration) {
	job := descriptor.Job{
		ID: descriptor.JobID(fmt.Sprintf("%s-%d", prefix, i)), Workspace: workspaceName(i % t.size.Workspaces), Class: class,
		Region: region, Tasks: tasks, PerTask: each, DeclaredRunTime: descriptor.Duration(runTime),
	}
	began := time.Now()
	var answer struct{}
	err := t.call(ctx, http.MethodPost, "/v1/jobs", job, &answer)
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil {
		t.failures++
		return
	}
	t.submitted[job.Key()] = began
}

// measure gives the deployment its load and takes the difference of all counters.
func (t *trial) measure(ctx context.Context) (*Run, error) {
	r := &Run{Size: t.size, TasksRunning: t.runningTasks()}
	before, err := t.sample()
	if err != nil {
		return nil, err
	}
	loadCtx, stop := context.WithTimeout(ctx, t.options.Measure)
	defer stop()
	var load sync.WaitGroup
	each := func(rate float64, f func(i int)) {
		if rate > 0 {
			load.Go(func() { t.atRate(loadCtx, &load, rate, f) })
		}
	}
	each(t.options.Urgent, func(i int) {
		t.submit(ctx, "urgent", i, "Preview", 1, descriptor.Resources{Cores: 1, Memory: 100}, time.Second)
	})
	each(t.options.Requests, func(i int) { t.request(ctx, i) })
	each(float64(t.options.Changes)/t.options.Measure.Seconds(), func(i int) { t.change(ctx, i) })
	<-loadCtx.Done()
	after, err := t.sample()
	if err != nil {
		return nil, err
	}
	load.Wait()
	if err := wait(ctx, 4*time.Second); err != nil { // the time within which urgent work starts and a change is in force
		return nil, err
	}
	t.summarize(r, before, after)
	return r, ctx.Err()
}

// atRate calls f evenly, each call in a goroutine of its own, until ctx ends.
func (t *trial) atRate(ctx context.Context, group *sync.WaitGroup, rate float64, f func(i int)) {
	tick := time.NewTicker(time.Duration(float64(time.Second) / rate))
	defer tick.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			group.Go(func() { f(i) })
		}
	}
}

func (t *trial) request(ctx context.Context, i int) {
	request := descriptor.Request{ID: descriptor.RequestID(fmt.Sprint("request-", i)), Workspace: workspaceName(i % t.size.Workspaces), Class: "Preview"}
	began := time.Now()
	var answer struct{ Result descriptor.Result }
	err := t.call(ctx, http.MethodPost, "/v1/requests", request, &answer)
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil || answer.Result != descriptor.ResultDone {
		t.failures++
		return
	}
	t.requests = append(t.requests, time.Since(began))
}

// change alters the configuration without an effect on where work may run.
func (t *trial) change(ctx context.Context, i int) {
	cfg := t.configuration()
	cfg.Classes[1].FinishWithin += descriptor.Duration(time.Duration(i+1) * time.Second)
	var answer struct {
		Revision descriptor.Revision
		State    string
	}
	var present descriptor.Configuration
	err := t.call(ctx, http.MethodGet, "/v1/configuration", nil, &present)
	cfg.Revision = present.Revision
	if err == nil {
		err = t.call(ctx, http.MethodPut, "/v1/configuration", cfg, &answer)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil || answer.State != "Accepted" {
		t.failures++
		return
	}
	t.changes[answer.Revision] = time.Now()
}

// sample is the state of all counters at one moment.
type sample struct {
	at     time.Time
	usage  map[*process]usage
	values map[*process]map[string]float64
	store  map[string]int64
	// storeBytes is the state of deployment.storeBytes.
	storeBytes int64
}

func (t *trial) sample() (*sample, error) {
	s := &sample{usage: map[*process]usage{}, values: map[*process]map[string]float64{}}
	for _, e := range t.entries {
		values, err := e.metrics(t.http)
		if err != nil {
			return nil, err
		}
		s.values[e] = values
	}
	for _, p := range slices.Concat(t.entries, t.groups, []*process{t.single}) {
		u, err := p.usage()
		if err != nil {
			return nil, fmt.Errorf("%s: %w", p.role, err)
		}
		s.usage[p] = u
	}
	s.store = t.store.Stats().Calls
	s.storeBytes = t.storeBytes.Load()
	s.at = time.Now()
	return s, nil
}

// messageBytes returns the message counters of an entry by kind.
func messageBytes(values map[string]float64) map[string]float64 {
	sum := map[string]float64{}
	for name, v := range values {
		if !strings.HasPrefix(name, "persimmontrail_message_bytes_total") && !strings.HasPrefix(name, "persimmontrail_served_bytes_total") {
			continue
		}
		if _, kind, ok := strings.Cut(name, `kind="`); ok {
			sum[strings.TrimSuffix(kind, `"}`)] += v
		}
	}
	return sum
}

func (t *trial) summarize(r *Run, before, after *sample) {
	seconds := after.at.Sub(before.at).Seconds()
	r.Seconds = seconds
	cost := func(p *process) Cost {
		return Cost{
			CPU:    100 * (after.usage[p].cpu - before.usage[p].cpu).Seconds() / seconds,
			Memory: float64(after.usage[p].memory) / 1e6,
		}
	}
	r.MessageBytes = map[string]float64{}
	others := 0
	var agentBytes float64
	for _, e := range t.entries {
		c := cost(e)
		was := messageBytes(before.values[e])
		for kind, v := range messageBytes(after.values[e]) {
			perSecond := (v - was[kind]) / seconds
			c.Bytes += perSecond
			r.MessageBytes[kind] += perSecond
			if kind != "Peer" && kind != "JobChanged" && kind != "Forward" {
				agentBytes += perSecond
			}
		}
		if after.values[e]["persimmontrail_scheduler"] == 1 {
			r.Scheduler = c
			continue
		}
		if r.Entry == nil {
			r.Entry = &Cost{}
		}
		others++
		r.Entry.CPU += c.CPU
		r.Entry.Memory += c.Memory
		r.Entry.Bytes += c.Bytes
	}
	if others > 0 {
		r.Entry.CPU /= float64(others)
		r.Entry.Memory /= float64(others)
		r.Entry.Bytes /= float64(others)
	}
	r.Agent = cost(t.single)
	for _, g := range t.groups {
		c := cost(g)
		r.GroupedAgent.CPU += c.CPU / float64(t.size.Agents-1)
		r.GroupedAgent.Memory += c.Memory / float64(t.size.Agents-1)
	}
	r.Agent.Bytes = agentBytes / float64(t.size.Agents)
	r.GroupedAgent.Bytes = r.Agent.Bytes
	r.StoreCalls = map[string]float64{}
	for kind, n := range after.store {
		r.StoreCalls[kind] = float64(n-before.store[kind]) / seconds
	}
	r.StoreBytes = float64(after.storeBytes-before.storeBytes) / seconds
	t.summarizeTimes(r)
	t.documents(r)
}

func (t *trial) summarizeTimes(r *Run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	started := map[descriptor.JobKey]time.Time{}
	for _, w := range t.workers {
		for _, run := range w.Runs() {
			if at, ok := started[run.Key]; !ok || run.StartedAt.Before(at) {
				started[run.Key] = run.StartedAt
			}
		}
	}
	var urgent, propagation []time.Duration
	for key, at := range t.submitted {
		if !strings.HasPrefix(string(key.Job), "urgent") {
			continue
		}
		if start, ok := started[key]; ok {
			urgent = append(urgent, start.Sub(at))
		} else {
			t.failures++
		}
	}
	for revision, at := range t.changes {
		if last, ok := t.inForce(revision); ok {
			propagation = append(propagation, max(0, last.Sub(at)))
		} else {
			t.failures++
		}
	}
	r.UrgentStart = percentiles(urgent)
	r.Propagation = percentiles(propagation)
	r.RequestTime = percentiles(t.requests)
	r.Failures = t.failures
}

// inForce returns when the last group held the revision or a later one.
func (t *trial) inForce(revision descriptor.Revision) (time.Time, bool) {
	var last time.Time
	for held, at := range t.held {
		if held >= revision && len(at) == len(t.groups) {
			latest := slices.MaxFunc(at, time.Time.Compare)
			if last.IsZero() || latest.Before(last) {
				last = latest
			}
		}
	}
	return last, !last.IsZero()
}

// documents reads the sizes of the store's values.
func (t *trial) documents(r *Run) {
	r.Documents = map[string]int{}
	r.LargestDocument = t.store.Stats().LargestValue
	answer, err := t.http.Get(t.base + "/store/v1/list?prefix=")
	if err != nil {
		return
	}
	defer answer.Body.Close()
	var list struct {
		Items map[string]struct{ Data []byte }
	}
	if json.NewDecoder(answer.Body).Decode(&list) != nil {
		return
	}
	for key, v := range list.Items {
		kind, _, _ := strings.Cut(key, "/")
		r.Documents[kind] += len(v.Data)
	}
}
