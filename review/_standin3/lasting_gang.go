package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"persimmontrail/pkg/descriptor"
	"persimmontrail/platform/emulator"
)

// Times of rule LOST for tasks that last.
const (
	sinceLastRun = 6 * time.Second
	watched      = 25 * time.Second
)

// lastingGang lets one worker of eleven be taken away on which a gang of tasks that last runs. The gang needs the room of
// three empty workers; eight are empty after that, but not three of one rack. Rule LOST: a task that lasts runs again, since
// there is capacity for it twice over.
func lastingGang(ctx context.Context, rec *record, trouble bool) ([]string, error) {
	c, err := newClusterOf(rec, 3, 11, emulator.Bounds{
		MaxHold: maxHold, StopGrace: stopGrace, GangTimeout: 3 * time.Second, CheckpointEvery: 500 * time.Millisecond, Restore: 250 * time.Millisecond,
		Heartbeat: heartbeat, DrainTime: 4 * time.Second,
	}, 3, descriptor.Queue{Priority: 0, Stretch: 1.5, Slack: 400 * time.Millisecond})
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
	gang, err := c.submitSteps(time.Hour, map[string]any{
		"count": 3, "cpu": 60000, "mem_mb": 100000, "gpu": 8, "est_runtime_ms": 3600000, "gang": true, "same_rack": true, "long_running": true,
	}, descriptor.Step{Count: 3, Size: descriptor.Capacity{Cores: 60000, Memory: 100000, Accelerators: 8}, Gang: true, Service: true})
	if err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	// One small job on each of the two other whole racks.
	taken := map[descriptor.RackID]bool{}
	for _, s := range c.fleet.Starts() {
		taken[c.rackOf(s.VM)] = true
	}
	for _, rack := range []descriptor.RackID{"r1-0", "r1-1", "r1-2"} {
		if taken[rack] {
			continue
		}
		if _, err := c.submitSteps(100*time.Second, map[string]any{
			"count": 1, "cpu": 7500, "mem_mb": 20000, "gpu": 1, "est_runtime_ms": 100000, "data_rack": rack,
		}, descriptor.Step{Count: 1, Size: descriptor.Capacity{Cores: 7500, Memory: 20000, Accelerators: 1}}); err != nil {
			return nil, err
		}
	}
	time.Sleep(4 * time.Second)
	var victim *node
	before := 0
	for _, s := range c.fleet.Starts() {
		rec.lineAt(s.At, "worker beside %s, rack %s: start of %s run %d", s.VM, c.rackOf(s.VM), s.Attempt.Task, s.Attempt.Attempt)
		if string(s.Attempt.Task.Job) == gang {
			before++
			victim = c.nodeOf(s.VM)
		}
	}
	if before != 3 || victim == nil {
		return nil, fmt.Errorf("the gang has %d starts, want 3", before)
	}
	if trouble {
		c.takeAway(ctx, victim)
	} else {
		rec.line("no worker is taken away")
	}
	calm := time.Now()
	time.Sleep(time.Until(calm.Add(watched)))
	again := 0
	var firstAgain time.Time
	for _, s := range c.fleet.Starts() {
		if string(s.Attempt.Task.Job) == gang && s.Attempt.Attempt > 1 {
			again++
			if firstAgain.IsZero() {
				firstAgain = s.At
			}
			rec.lineAt(s.At, "worker beside %s, rack %s: start of %s run %d", s.VM, c.rackOf(s.VM), s.Attempt.Task, s.Attempt.Attempt)
		}
	}
	state := c.state(c.entries[1], gang)
	rec.line("job %s: state %q, %d starts after the first three", gang, state, again)
	late := calm.Add(max(sinceLastRun, contact) + idle)
	if trouble && (firstAgain.IsZero() || firstAgain.After(late)) {
		return []string{fmt.Sprintf("LOST: the gang of job %s, which lasts, has nothing running from %s to %s though eight workers with room for two such gangs are empty and all is calm (state %q)",
			gang, rec.at(calm), rec.at(time.Now()), state)}, nil
	}
	return nil, nil
}

// submitSteps hands in a job of one step, which is given in the form of the users' pages and in that of the emulator.
func (c *cluster) submitSteps(runTime time.Duration, wire map[string]any, step descriptor.Step) (string, error) {
	id := newID()
	j := &emulator.Job{
		Workload: descriptor.Workload{ID: descriptor.JobID(id), Spec: "spec of " + id, MaxAttempts: 4, Steps: []descriptor.Step{step}},
		RunTimes: []time.Duration{runTime},
	}
	c.fleet.AddJob(j)
	body, err := json.Marshal(map[string]any{"spec": j.Spec, "steps": []any{wire}})
	if err != nil {
		return "", err
	}
	c.record.line("client: job %s: %s", id, body)
	if status, _ := c.call(c.entries[0], http.MethodPost, id, body); status != http.StatusOK {
		return "", fmt.Errorf("job %s was not accepted: %d", id, status)
	}
	return id, nil
}

func (c *cluster) nodeOf(name string) *node {
	for _, n := range c.agents {
		if n.name == name {
			return n
		}
	}
	return nil
}

func (c *cluster) rackOf(name string) descriptor.RackID {
	if n := c.nodeOf(name); n != nil {
		return n.worker.Rack
	}
	return ""
}
