package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"time"

	"persimmontrail/pkg/descriptor"
	"persimmontrail/platform/emulator"
)

// twice returns the violations that the workers saw of the rule that no task runs twice.
func (d *deployment) twice() []string {
	var found []string
	for _, v := range d.fleet.Violations() {
		if strings.HasPrefix(v, "concurrent attempts") || strings.HasPrefix(v, "started after an acknowledged end") || strings.HasPrefix(v, "started again although") {
			found = append(found, v)
		}
	}
	return found
}

func step(count int, cores descriptor.MilliCores, memory descriptor.Megabytes, runTime time.Duration) descriptor.Step {
	return descriptor.Step{Count: count, Size: descriptor.Capacity{Cores: cores, Memory: memory}, RunTime: runTime}
}

// hand registers a job with the workers and submits it.
func (d *deployment) hand(id string, steps []descriptor.Step, runTimes []time.Duration) error {
	w := descriptor.Workload{ID: descriptor.JobID(id), Spec: "cut list " + id, Steps: steps, MaxAttempts: d.maxAttempts}
	d.fleet.AddJob(&emulator.Job{Workload: w, RunTimes: runTimes})
	body, err := emulator.Submission(&w)
	if err != nil {
		return err
	}
	return d.submit(id, string(body))
}

// runEnds lets 700 small tasks on one worker end while no entry leads, because the leader was killed.
func runEnds(d *deployment) ([]string, error) {
	if err := d.startAll(3, 2, nil); err != nil {
		return nil, err
	}
	const id = "5c0e7a21d94b36f8"
	var steps []descriptor.Step
	var runTimes []time.Duration
	for i := range 10 {
		runTimes = append(runTimes, 6*time.Second)
		steps = append(steps, step(70, 50, 64, runTimes[i]))
	}
	if err := d.hand(id, steps, runTimes); err != nil {
		return nil, err
	}
	for len(d.fleet.Starts()) < 700 {
		if time.Since(d.rec.start) > 60*time.Second {
			return nil, fmt.Errorf("only %d of 700 tasks started", len(d.fleet.Starts()))
		}
		time.Sleep(20 * time.Millisecond)
	}
	started := d.fleet.Starts()
	d.rec.printf("%d starts, the last at %.3f s", len(started), started[len(started)-1].At.Sub(d.rec.start).Seconds())
	if d.trouble {
		time.Sleep(time.Until(started[0].At.Add(5800 * time.Millisecond)))
		leader := d.leader()
		if leader == nil {
			return nil, fmt.Errorf("no leader to kill")
		}
		leader.signal(syscall.SIGKILL)
		d.rec.printf("SIGKILL to %s, the leader", leader.name)
		time.Sleep(time.Second)
		if err := leader.start(); err != nil {
			return nil, err
		}
		d.rec.printf("%s started again", leader.name)
	}
	d.awaitEnd(id, 60*time.Second)
	time.Sleep(time.Second)
	d.rec.printf("starts made by the workers: %d, tasks: 700", len(d.fleet.Starts()))
	for i, s := range d.fleet.Starts()[min(700, len(d.fleet.Starts())):] {
		if i < 10 {
			d.rec.printf("  at %.3f s %s run %d on %s", s.At.Sub(d.rec.start).Seconds(), s.Attempt.Task, s.Attempt.Attempt, s.VM)
		}
	}
	return d.twice(), nil
}

// silence is a handler in front of a worker. When the first start of a marked job arrives, the connections that are open
// at that moment go silent for good: what has arrived on them is carried out, and nothing comes out of them any more.
type silence struct {
	worker http.Handler
	// marked holds the marked jobs. It is shared by all workers, so that each job silences the connections of one worker.
	marked map[string]*sync.Once

	mu     sync.Mutex
	active map[*call]bool
}

type call struct{ silenced bool }

func (s *silence) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	c := &call{}
	s.mu.Lock()
	s.active[c] = true
	for id, once := range s.marked {
		if r.URL.Path == "/v1/run-start" && bytes.Contains(body, []byte(id)) {
			once.Do(func() {
				for o := range s.active {
					o.silenced = true
				}
			})
		}
	}
	s.mu.Unlock()
	answer := httptest.NewRecorder()
	s.worker.ServeHTTP(answer, r)
	s.mu.Lock()
	delete(s.active, c)
	lost := c.silenced
	s.mu.Unlock()
	if lost {
		w.Header().Set(lostHeader, "yes")
	}
	for k, v := range answer.Header() {
		w.Header()[k] = v
	}
	w.WriteHeader(answer.Code)
	_, _ = w.Write(answer.Body.Bytes())
}

// runAnswer lets the open connections between a worker and its agent go silent while the answer to a start is on its
// way: once for a task that fails at once, and once for a task that is done at once.
func runAnswer(d *deployment) ([]string, error) {
	d.maxAttempts = 2
	const failing, succeeding = "5c0e7a21d94b36f8", "7b1d94e02c6a85f3"
	marked := map[string]*sync.Once{}
	if d.trouble {
		marked[failing], marked[succeeding] = &sync.Once{}, &sync.Once{}
	}
	if err := d.startAll(2, 3, func(_ int, h *workerHost) {
		h.serve = &silence{worker: h.worker, marked: marked, active: map[*call]bool{}}
	}); err != nil {
		return nil, err
	}
	// A first job opens the connections, as on any running deployment.
	if err := d.hand("00000000000000a1", []descriptor.Step{step(2, 1000, 256, 500*time.Millisecond)}, []time.Duration{500 * time.Millisecond}); err != nil {
		return nil, err
	}
	d.awaitEnd("00000000000000a1", 15*time.Second)
	w := descriptor.Workload{ID: failing, Spec: "cut list " + failing, Steps: []descriptor.Step{step(1, 1000, 256, 200*time.Millisecond)}, MaxAttempts: d.maxAttempts}
	d.fleet.AddJob(&emulator.Job{Workload: w, RunTimes: []time.Duration{200 * time.Millisecond}, Fails: true})
	body, err := emulator.Submission(&w)
	if err != nil {
		return nil, err
	}
	if err := d.submit(failing, string(body)); err != nil {
		return nil, err
	}
	d.awaitEnd(failing, 20*time.Second)
	time.Sleep(8 * time.Second)
	if err := d.hand(succeeding, []descriptor.Step{step(1, 1000, 256, 200*time.Millisecond)}, []time.Duration{200 * time.Millisecond}); err != nil {
		return nil, err
	}
	d.awaitEnd(succeeding, 20*time.Second)
	time.Sleep(4 * time.Second)
	d.recordStarts(20)
	for _, v := range d.twice() {
		d.rec.printf("also seen, of the rule TWICE: %s", v)
	}
	return d.overBudget(), nil
}

// overBudget returns the starts that were made after maxAttempts runs of their task had ended as failed, of which the
// ends were acknowledged then or later.
func (d *deployment) overBudget() []string {
	d.seen.mu.Lock()
	defer d.seen.mu.Unlock()
	var found []string
	for _, s := range d.fleet.Starts() {
		failed := 0
		for k, e := range d.seen.ends {
			if k.task == s.Attempt.Task.String() && e.how == "failed" && e.listedAt.Before(s.At) && d.seen.acknowledged[k.worker] >= e.seq {
				failed++
			}
		}
		if failed >= d.maxAttempts {
			found = append(found, fmt.Sprintf("%s run %d on %s was started after %d failed runs, max_attempts is %d", s.Attempt.Task, s.Attempt.Attempt, s.VM, failed, d.maxAttempts))
		}
	}
	return found
}
