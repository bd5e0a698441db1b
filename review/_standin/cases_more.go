package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"

	"persimmontrail/pkg/descriptor"
	"persimmontrail/platform/emulator"
)

// runBurst submits some jobs of 4,096 steps at once, and then a small job, which must start soon, since the workers are
// idle.
func runBurst(d *deployment) ([]string, error) {
	if err := d.startAll(3, 3, nil); err != nil {
		return nil, err
	}
	var large []string
	if d.trouble {
		for i := range 4 {
			id := fmt.Sprintf("00000000000000b%d", i)
			var steps []descriptor.Step
			var runTimes []time.Duration
			var body strings.Builder
			fmt.Fprintf(&body, `{"spec":"cut list %s","steps":[`, id)
			for k := range 4096 {
				steps, runTimes = append(steps, step(1, 1000, 256, time.Second)), append(runTimes, time.Second)
				if k > 0 {
					body.WriteString(",")
				}
				body.WriteString(`{"count":1,"cpu":1000,"mem_mb":256,"est_runtime_ms":1000}`)
			}
			body.WriteString(`]}`)
			w := descriptor.Workload{ID: descriptor.JobID(id), Spec: "cut list " + id, Steps: steps, MaxAttempts: d.maxAttempts}
			d.fleet.AddJob(&emulator.Job{Workload: w, RunTimes: runTimes})
			if err := d.submit(id, body.String()); err != nil {
				return nil, err
			}
			large = append(large, id)
		}
	}
	const id = "5c0e7a21d94b36f8"
	if err := d.hand(id, []descriptor.Step{step(2, 2000, 1024, time.Second)}, []time.Duration{time.Second}); err != nil {
		return nil, err
	}
	acceptedAt := time.Now()
	state := d.awaitEnd(id, 25*time.Second)
	waited := time.Since(acceptedAt)
	var started int
	for _, s := range d.fleet.Starts() {
		if string(s.Attempt.Task.Job) == id {
			started++
		}
	}
	d.rec.printf("job %s: state %q, %d starts, %.1f s after its acceptance", id, state, started, waited.Seconds())
	d.rec.printf("starts of all jobs: %d", len(d.fleet.Starts()))
	for _, l := range large {
		d.rec.printf("job %s: state %q", l, d.state(l))
	}
	if started == 0 {
		return []string{fmt.Sprintf("job %s has had nothing running for %.1f s, with the whole capacity of three workers free; %d of the large jobs' tasks have started", id, waited.Seconds(), len(d.fleet.Starts()))}, nil
	}
	return nil, nil
}

// runSpec submits a job of 1,100 small tasks, with a spec of 4,000 bytes if d.trouble is set and of 40 bytes otherwise.
func runSpec(d *deployment) ([]string, error) {
	if err := d.startAll(3, 2, nil); err != nil {
		return nil, err
	}
	const id = "5c0e7a21d94b36f8"
	size := 40
	if d.trouble {
		size = 4000
	}
	w := descriptor.Workload{ID: id, Spec: strings.Repeat("x", size), Steps: []descriptor.Step{step(1100, 50, 64, time.Second)}, MaxAttempts: d.maxAttempts}
	d.fleet.AddJob(&emulator.Job{Workload: w, RunTimes: []time.Duration{time.Second}})
	body, err := emulator.Submission(&w)
	if err != nil {
		return nil, err
	}
	if err := d.submit(id, string(body)); err != nil {
		return nil, err
	}
	acceptedAt := time.Now()
	state := d.awaitEnd(id, 25*time.Second)
	starts := len(d.fleet.Starts())
	d.rec.printf("job %s: state %q, %d starts, %.1f s after its acceptance", id, state, starts, time.Since(acceptedAt).Seconds())
	if starts == 0 {
		return []string{fmt.Sprintf("job %s has had nothing running for %.1f s, with the whole capacity of two workers free, each of which can hold all of it", id, time.Since(acceptedAt).Seconds())}, nil
	}
	return nil, nil
}

// runDue submits a job whose only run is due in some seconds, and looks at when its task starts.
func runDue(d *deployment) ([]string, error) {
	if err := d.startAll(3, 2, nil); err != nil {
		return nil, err
	}
	const id = "5c0e7a21d94b36f8"
	due := time.Now().Truncate(time.Second).Add(5 * time.Second)
	if d.trouble {
		due = due.Add(900 * time.Millisecond)
	}
	w := descriptor.Workload{ID: id, Spec: "cut list", Steps: []descriptor.Step{step(1, 1000, 256, time.Second)}, MaxAttempts: d.maxAttempts}
	d.fleet.AddJob(&emulator.Job{Workload: w, RunTimes: []time.Duration{time.Second}})
	body := fmt.Sprintf(`{"spec":"cut list","steps":[{"count":1,"cpu":1000,"mem_mb":256,"est_runtime_ms":1000}],"times":1,"start_ms":%d,"interval_ms":1000}`, due.UnixMilli())
	d.rec.printf("job %s is due at %.3f s, start_ms %d", id, due.Sub(d.rec.start).Seconds(), due.UnixMilli())
	if err := d.submit(id, body); err != nil {
		return nil, err
	}
	d.awaitEnd(id, 20*time.Second)
	d.recordStarts(10)
	var breaks []string
	for _, s := range d.fleet.Starts() {
		if early := due.Sub(s.At); early > 250*time.Millisecond {
			breaks = append(breaks, fmt.Sprintf("%s run %d started %d ms before its time; the bound early_ms is 250", s.Attempt.Task, s.Attempt.Attempt, early.Milliseconds()))
		}
	}
	if len(d.fleet.Starts()) == 0 {
		return nil, fmt.Errorf("the job never started")
	}
	return breaks, nil
}

// runRename replaces the route by one with another name and the same host and prefix while a job is running, and asks
// for the job before and after that.
func runRename(d *deployment) ([]string, error) {
	if err := d.startAll(3, 2, nil); err != nil {
		return nil, err
	}
	const id = "5c0e7a21d94b36f8"
	if err := d.hand(id, []descriptor.Step{step(2, 2000, 1024, 25*time.Second)}, []time.Duration{25 * time.Second}); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	if s := d.state(id); s != "running" {
		return nil, fmt.Errorf("job is %q before the change", s)
	}
	name := descriptor.QueueID("r-ce7ejsm")
	if d.trouble {
		name = "r-zzyyjsg"
	}
	if err := d.putConfiguration(9, name); err != nil {
		return nil, err
	}
	d.rec.printf("operator: version 9 of the configuration; the route of %s%s is %s", queueHost, queuePrefix, name)
	time.Sleep(5 * time.Second)
	var breaks []string
	for _, e := range d.entries {
		status, answer := d.call(e, http.MethodGet, id, "")
		d.rec.printf("client GET %s%s at %s -> %d %s", queuePrefix, id, e.name, status, answer)
		if status == http.StatusGone {
			breaks = append(breaks, fmt.Sprintf("GET of an accepted job that runs is answered 410 by %s", e.name))
		}
	}
	d.recordStarts(10)
	return breaks, nil
}
