package scheduler

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"persimmontrail/pkg/descriptor"
	"pgregory.net/rapid"
)

func drawConfig(t *rapid.T, domainCount int) descriptor.Configuration {
	cfg := descriptor.Configuration{Classes: []descriptor.Class{newClass("urgent", time.Minute, 1), newClass("slow", 8*time.Hour, 0.5)}}
	for d := range domainCount {
		cfg.FailureDomains = append(cfg.FailureDomains, descriptor.FailureDomain{Name: descriptor.FailureDomainID(fmt.Sprintf("d%d", d)), Region: "north"})
	}
	for w := range drawInt(t, "workspaces", 1, 3) {
		ws := descriptor.Workspace{Name: descriptor.WorkspaceID(fmt.Sprintf("ws%d", w))}
		for range drawInt(t, "shapes", 0, 2) {
			l := descriptor.Level(drawInt(t, "level", 0, 2))
			ws.Guarantees = append(ws.Guarantees, descriptor.Shape{
				Accelerators: descriptor.Accelerators(1 << drawInt(t, "size", 0, 4-int(l)/2)),
				Adjacency:    l, Count: drawInt(t, "count", 0, 2),
			})
		}
		cfg.Workspaces = append(cfg.Workspaces, ws)
	}
	return cfg
}

func drawJob(t *rapid.T, workspaceCount int) descriptor.Job {
	ws := descriptor.WorkspaceID(fmt.Sprintf("ws%d", drawInt(t, "ws", 0, workspaceCount-1)))
	c := rapid.SampledFrom([]descriptor.ClassID{"urgent", "slow"}).Draw(t, "class")
	accelerators := descriptor.Accelerators(rapid.SampledFrom([]int{0, 1, 1, 2, 4, 8}).Draw(t, "acc"))
	j := newJob(ws, c, drawInt(t, "tasks", 1, 6), accelerators, descriptor.Level(drawInt(t, "adjacency", 0, 2)), time.Duration(drawInt(t, "minutes", 1, 90))*time.Minute)
	j.PerTask.Cores = descriptor.Cores(drawInt(t, "cores", 1, 20))
	j.NonIdempotent = drawInt(t, "once", 0, 5) == 0
	return j
}

// applyRandomEvent advances the time and applies a random event.
func (m *model) applyRandomEvent(t *rapid.T) {
	m.now = m.now.Add(time.Duration(drawInt(t, "seconds", 0, 200)) * time.Second)
	switch drawInt(t, "event", 0, 12) {
	case 0, 1, 2:
		for range drawInt(t, "burst", 1, 4) {
			_ = m.submit(drawJob(t, len(m.config.Workspaces)))
		}
	case 3, 4, 5, 6:
		m.advanceAttempt(t)
	case 7:
		m.toggleWorker(t)
	case 8:
		d := &m.config.FailureDomains[drawInt(t, "domain", 0, len(m.config.FailureDomains)-1)]
		d.Out = !d.Out
		m.core.Configure(&m.config, m.now)
	case 9:
		m.cancelJobs(t)
	case 10:
		m.takeOver()
	default:
		m.confirmStops()
	}
}

// advanceAttempt applies a random event to a random attempt.
func (m *model) advanceAttempt(t *rapid.T) {
	if len(m.active) == 0 {
		return
	}
	r := m.active[drawInt(t, "attempt", 0, len(m.active)-1)]
	worker := r.placement[0].Worker
	kind := EventStarted
	switch {
	case r.stopping:
		kind = EventStopped
	case r.started:
		kind = rapid.SampledFrom([]EventKind{EventFinished, EventFinished, EventTaskFailed}).Draw(t, "end")
	case drawInt(t, "refused", 0, 5) == 0:
		kind = EventNotStarted
	}
	m.handleEvent(r, kind, worker)
}

// confirmStops confirms the stop of all attempts that were requested to stop.
func (m *model) confirmStops() {
	for _, r := range append([]*modelAttempt(nil), m.active...) {
		if r.stopping {
			m.handleEvent(r, EventStopped, "")
		}
	}
}

// toggleWorker removes a random worker, or adds it again if it is down.
func (m *model) toggleWorker(t *rapid.T) {
	workers := m.sortedWorkers()
	id := workers[drawInt(t, "worker", 0, len(workers)-1)].ID
	if m.up[id] {
		m.loseWorker(id)
		return
	}
	m.up[id] = true
	m.core.SetWorker(m.workers[id], m.now)
}

// cancelJobs cancels all jobs whose number is a multiple of a random modulus.
func (m *model) cancelJobs(t *rapid.T) {
	modulus := drawInt(t, "of", 1, 4)
	for n := 1; n <= m.lastJobNumber; n++ {
		for _, ws := range m.config.Workspaces {
			key := descriptor.JobKey{Workspace: ws.Name, Job: descriptor.JobID(fmt.Sprintf("j%04d", n))}
			if _, ok := m.jobs[key]; ok && n%modulus == 0 {
				if err := m.core.Cancel(key, m.now); err != nil && !errors.Is(err, ErrUnknownJob) {
					m.t.Fatalf("cancel: %v", err)
				}
				m.ended[key] = true
			}
		}
	}
}

// TestInvariantsHoldUnderRandomEvents guards against violations of the invariants checked by the model, under
// random fleets, arrivals, failures, cancellations, takeovers and changes of failure domains. The test
// must fail if repairPlan is changed to return true without looking for overcommitted nodes; guarantees are then no
// longer checked.
func TestInvariantsHoldUnderRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		domainCount := drawInt(t, "domains", 1, 3)
		workers := testFleet(domainCount, drawInt(t, "racks", 1, 2), drawInt(t, "workers", 1, 2), 8)
		m := newModel(t, drawConfig(t, domainCount), workers)
		m.decide()
		for range drawInt(t, "steps", 10, 60) {
			m.applyRandomEvent(t)
			m.decide()
		}
	})
}

// TestEqualInputsGiveEqualDecisions guards against decisions that depend on the iteration order of maps, which differs
// between two cores with equal inputs.
func TestEqualInputsGiveEqualDecisions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := drawConfig(t, 2)
		a, b := newModel(t, cfg, testFleet(2, 2, 2, 8)), newModel(t, cfg, testFleet(2, 2, 2, 8))
		for range 20 {
			j := drawJob(t, len(cfg.Workspaces))
			at := startTime.Add(time.Duration(drawInt(t, "at", 0, 1000)) * time.Second)
			a.now, b.now = at, at
			_, _ = a.submit(j), b.submit(j)
			x, y := fmt.Sprint(a.decide()), fmt.Sprint(b.decide())
			if x != y {
				t.Fatalf("decisions differ:\n%s\n%s", x, y)
			}
		}
	})
}
