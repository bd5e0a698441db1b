package main

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"persimmontrail/pkg/descriptor"
	"persimmontrail/platform/emulator"
)

const (
	// oddInterval is the pause between two heartbeats of the other writer. Workers send theirs about every 1.5 s.
	oddInterval = 1200 * time.Millisecond
	// ownLabel is the kind of the first worker; that of the others is "a".
	ownLabel = "b"
	// finish and idle are the times after which rule LOST asks for jobs, and for which a task may then stand still.
	finish = 14 * time.Second
	idle   = 3 * time.Second
)

// oddWriter lets another writer send heartbeats in the name of one of six workers, with a service that the configuration
// does not name. A client hands in a job that only this worker can run. Rule LOST: the job's task runs within 3 s, finish_s
// after the end of the traffic, since there is capacity for it and nearly all of the service is free.
func oddWriter(ctx context.Context, rec *record, trouble bool) ([]string, error) {
	c, err := newCluster(rec, 3, 6, emulator.Bounds{
		MaxHold: maxHold, StopGrace: stopGrace, GangTimeout: 3 * time.Second, CheckpointEvery: 500 * time.Millisecond, Restore: 250 * time.Millisecond,
		Heartbeat: heartbeat, DrainTime: 4 * time.Second,
	})
	defer c.close()
	if err != nil {
		return nil, err
	}
	n := c.agents[0]
	n.beats.label = ownLabel
	runCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.run(runCtx)
	if err := c.awaitReady(ctx); err != nil {
		return nil, err
	}
	time.Sleep(contact + 2*time.Second)
	if trouble {
		go sendBeats(runCtx, n, rec, func(beat map[string]any) {
			beat["service"] = "huvo00x"
			delete(beat, "seq")
		})
	}
	time.Sleep(8 * time.Second)
	first, err := c.submitLabelled(ownLabel)
	if err != nil {
		return nil, err
	}
	// One further job that any worker can run shows that the others are used.
	other := newJob(newID(), 4, descriptor.Capacity{Cores: 7500, Memory: 11000, Accelerators: 1}, 2*time.Second)
	if !c.submit(c.entries[1], other) {
		return nil, fmt.Errorf("the second job was not accepted")
	}
	ended := time.Now()
	rec.line("end of the traffic")
	time.Sleep(time.Until(ended.Add(finish + idle)))
	state := c.state(c.entries[2], first)
	otherState := c.state(c.entries[2], string(other.ID))
	var starts, busy int
	for _, s := range c.fleet.Starts() {
		rec.lineAt(s.At, "worker beside %s: start of %s run %d", s.VM, s.Attempt.Task, s.Attempt.Attempt)
		if string(s.Attempt.Task.Job) == first {
			starts++
		}
	}
	if !c.fleet.Done(other.ID) {
		busy = 4
	}
	rec.line("job %s: state %q, %d starts; job %s: state %q; accelerators in use: at most %d of 48", first, state, starts, other.ID, otherState, busy)
	if otherState != "done" {
		return nil, fmt.Errorf("the other job is %q", otherState)
	}
	if starts == 0 {
		return []string{fmt.Sprintf("LOST: job %s was accepted, is %q and has nothing running %v after the end of the traffic, though the worker with its label is sound and free",
			first, state, time.Since(ended).Round(time.Second))}, nil
	}
	return nil, nil
}

// submitLabelled hands in a job of one task that requires a label, and returns its id.
func (c *cluster) submitLabelled(label string) (string, error) {
	j := newJob(newID(), 1, descriptor.Capacity{Cores: 7500, Memory: 11000, Accelerators: 1}, 2*time.Second)
	c.fleet.AddJob(j)
	body, err := json.Marshal(map[string]any{"spec": j.Spec, "steps": []any{map[string]any{
		"count": 1, "cpu": 7500, "mem_mb": 11000, "gpu": 1, "est_runtime_ms": 2000, "required_label": label,
	}}})
	if err != nil {
		return "", err
	}
	if status, _ := c.call(c.entries[0], "POST", string(j.ID), body); status != 200 {
		return "", fmt.Errorf("the job was not accepted: %d", status)
	}
	return string(j.ID), nil
}

// state asks an entry for the state of a job; it is empty without an answer.
func (c *cluster) state(e *node, id string) string {
	status, body := c.call(e, "GET", id, nil)
	if status != 200 {
		return ""
	}
	s, err := emulator.DecodeState(body)
	if err != nil {
		return ""
	}
	return s
}
