package main

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"persimmontrail/pkg/descriptor"
	"persimmontrail/platform/emulator"
)

// evacuateBound is evacuate_ms.
const evacuateBound = 5 * time.Second

// oddZone lets another writer send heartbeats without a zone in the name of one of six workers. Then that worker's zone is
// evacuated beside a backlog of work. Rule EVAC: no task starts in the zone later than evacuate_ms after the acknowledgement.
func oddZone(ctx context.Context, rec *record, trouble bool) ([]string, error) {
	c, err := newCluster(rec, 3, 6, emulator.Bounds{
		MaxHold: maxHold, StopGrace: stopGrace, GangTimeout: 3 * time.Second, CheckpointEvery: 500 * time.Millisecond, Restore: 250 * time.Millisecond,
		Heartbeat: heartbeat, DrainTime: 4 * time.Second,
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
	n, zone := c.agents[0], descriptor.FailureDomainID(zones[0])
	if trouble {
		go sendBeats(runCtx, n, rec, func(beat map[string]any) {
			delete(beat, "zone")
			delete(beat, "seq")
		})
	}
	time.Sleep(6 * time.Second)
	c.store.Put(emulator.EvacuateKey(zone), []byte("{}"))
	acked := time.Now()
	rec.line("operator: evacuation of %s acknowledged", zone)
	j := newJob(newID(), 240, descriptor.Capacity{Cores: 7500, Memory: 11000, Accelerators: 1}, 2*time.Second)
	if !c.submit(c.entries[1], j) {
		return nil, fmt.Errorf("the job was not accepted")
	}
	time.Sleep(time.Until(acked.Add(14 * time.Second)))
	var broken []string
	on := map[string]int{}
	for _, s := range c.fleet.Starts() {
		on[s.VM]++
		if s.FailureDomain != zone {
			continue
		}
		late := s.At.Sub(acked)
		rec.lineAt(s.At, "worker beside %s: start of %s run %d", s.VM, s.Attempt.Task, s.Attempt.Attempt)
		if late > evacuateBound {
			broken = append(broken, fmt.Sprintf("EVAC: %s run %d was started on the worker beside %s %.3f s after the evacuation of its zone was acknowledged",
				s.Attempt.Task, s.Attempt.Attempt, s.VM, late.Seconds()))
		}
	}
	rec.line("starts on all workers: %v", on)
	return broken, nil
}

// sendBeats sends heartbeats of another writer in the name of a worker until ctx is done. change makes one out of the
// worker's last one.
func sendBeats(ctx context.Context, n *node, rec *record, change func(beat map[string]any)) {
	t := time.NewTicker(oddInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		odd := n.beats.lastBeat()
		change(odd)
		body, err := json.Marshal(odd)
		if err != nil {
			continue
		}
		status, _ := n.beats.post("/v1/Instances.Heartbeat/i-"+n.name, body)
		rec.line("another writer: heartbeat in the name of the worker beside %s: %s: %d", n.name, body, status)
	}
}
