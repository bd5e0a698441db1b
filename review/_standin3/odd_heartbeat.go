package main

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"persimmontrail/pkg/descriptor"
	"persimmontrail/platform/emulator"
)

// missingFields are the fields of a heartbeat that the odd one lacks.
var missingFields = []string{"seq", "address", "version", "slots", "cold_remaining_ms", "clock_ms", "drain_remaining_ms"}

// oddHeartbeat lets one of six workers drain for nine seconds beside a backlog of work. Five seconds after the agent has
// acknowledged the drain, another writer sends one heartbeat with missing fields in the worker's name. Rule DRAIN: no task
// starts there later than drain_ms after the acknowledgement.
func oddHeartbeat(ctx context.Context, rec *record, trouble bool) ([]string, error) {
	c, err := newCluster(rec, 3, 6, emulator.Bounds{
		MaxHold: maxHold, StopGrace: stopGrace, GangTimeout: 3 * time.Second, CheckpointEvery: 500 * time.Millisecond, Restore: 250 * time.Millisecond,
		Heartbeat: heartbeat, DrainTime: 9 * time.Second,
	})
	defer c.close()
	if err != nil {
		return nil, err
	}
	runCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.run(runCtx)
	if err := c.awaitReady(ctx); err != nil {
		return nil, err
	}
	time.Sleep(contact + 2*time.Second)
	j := newJob(newID(), 240, descriptor.Capacity{Cores: 7500, Memory: 11000, Accelerators: 1}, 5*time.Second)
	if !c.submit(c.entries[0], j) {
		return nil, fmt.Errorf("the job was not accepted")
	}
	time.Sleep(2 * time.Second)
	n := c.agents[0]
	n.worker.Drain()
	for n.beats.drainAckedAt().IsZero() {
		if ctx.Err() != nil {
			return nil, fmt.Errorf("no acknowledgement of the drain")
		}
		time.Sleep(10 * time.Millisecond)
	}
	acked := n.beats.drainAckedAt()
	rec.lineAt(acked, "agent %s has acknowledged that its worker is draining", n.name)
	time.Sleep(time.Until(acked.Add(5 * time.Second)))
	if trouble {
		odd := n.beats.lastBeat()
		for _, f := range missingFields {
			delete(odd, f)
		}
		odd["state"] = "ready"
		body, err := json.Marshal(odd)
		if err != nil {
			return nil, err
		}
		status, answer := n.beats.post("/v1/Instances.Heartbeat/i-"+n.name, body)
		rec.line("another writer: heartbeat for the worker beside %s without %s: %s: %d %s", n.name, strings.Join(missingFields, ", "), body, status, answer)
	}
	// The worker leaves nine seconds after the drain began. What was lost with it is started elsewhere.
	time.Sleep(time.Until(acked.Add(12 * time.Second)))
	var broken []string
	on, again := map[string]int{}, 0
	for _, s := range c.fleet.Starts() {
		on[s.VM]++
		if s.Attempt.Attempt > 1 {
			again++
		}
		if s.VM != n.name {
			continue
		}
		late := s.At.Sub(acked)
		if late > 9*time.Second {
			// The next life of the worker.
			continue
		}
		rec.lineAt(s.At, "worker beside %s: start of %s run %d", n.name, s.Attempt.Task, s.Attempt.Attempt)
		if late > drainBound {
			broken = append(broken, fmt.Sprintf("DRAIN: %s run %d was started on the worker beside %s %.3f s after the acknowledgement that it drains",
				s.Attempt.Task, s.Attempt.Attempt, n.name, late.Seconds()))
		}
	}
	rec.line("starts on all workers: %v; %d of them repeat a run that was stopped or lost", on, again)
	return broken, nil
}
