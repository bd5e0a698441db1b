package planner

import (
	"cmp"
	"slices"
	"time"

	"persimmontrail/pkg/descriptor"
)

// stopMargin is the time beyond StopGrace until the room of a stopped attempt is known to be free. It covers two
// exchanges with the worker and one write to the store.
const stopMargin = 300 * time.Millisecond

// estimateMargin is the share by which remainingSlack lengthens the expected run times, since even accurate estimates of
// users are off by about a fifth.
const estimateMargin = 0.2

// forecast returns how long it takes until n tasks fit into a pool without preemption, and where. It counts room that
// is not earmarked, attempts that are being stopped and the expected ends of the others, except for service tasks. The
// time is StopGrace when no other attempt has to end. The placement is nil when the tasks do not fit within limit.
func (p *pass) forecast(g group, pool []*worker, need descriptor.Capacity, n int, limit time.Duration) (time.Duration, placement) {
	step := g.job.step(g.step)
	free := map[*worker]descriptor.Capacity{}
	room := func(w *worker) descriptor.Capacity { return free[w] }
	type ending struct {
		attempt   *attempt
		remaining time.Duration
	}
	var endings []ending
	pool = p.withoutTrials(g, pool)
	for _, w := range pool {
		free[w] = p.room[w].Plus(p.releasing[w])
		for _, r := range w.attempts {
			if !r.stopping && r.job != nil && !r.job.step(r.id.Task.Step).Service {
				if remaining := p.core.remainingRunTime(r, p.now); remaining <= limit {
					endings = append(endings, ending{r, remaining})
				}
			}
		}
	}
	if ws := pack(pool, room, need, n, perWorkerLimit(step)); ws != nil {
		return p.core.Limits.StopGrace, ws
	}
	slices.SortFunc(endings, func(a, b ending) int {
		return cmp.Or(cmp.Compare(a.remaining, b.remaining), a.attempt.id.Task.Compare(b.attempt.id.Task))
	})
	for _, e := range endings {
		free[e.attempt.worker] = free[e.attempt.worker].Plus(e.attempt.need)
		if ws := pack(pool, room, need, n, perWorkerLimit(step)); ws != nil {
			return e.remaining, ws
		}
	}
	return 0, nil
}

// remainingSlack returns how long an urgent group can wait for room until it must preempt to meet its objective and, if
// it is guaranteed, to start within ReclaimTime. It is negative when that moment has passed.
func (p *pass) remainingSlack(g group) time.Duration {
	stopTime := p.core.Limits.StopGrace + stopMargin
	criticalPath := p.core.remainingCriticalPath(g.job, g.occurrence)
	left := g.objective.Add(-time.Duration((1+estimateMargin)*float64(criticalPath))).Sub(p.now) - stopTime
	if g.level == levelGuaranteed {
		left = min(left, g.job.releaseTime(g.occurrence).Add(p.core.Limits.ReclaimTime).Sub(p.now)-2*stopTime)
	}
	return left
}

// earmarkForecast earmarks, for an urgent group, room that is expected to be free within remainingSlack and no later
// than a preemption would free it. It reports whether it found such room.
func (p *pass) earmarkForecast(g group, step *descriptor.Step, pools [][]*worker, need descriptor.Capacity, n int) bool {
	limit := p.remainingSlack(g)
	if limit <= 0 {
		return false
	}
	limit = min(limit, p.core.Limits.StopGrace+stopMargin)
	var best placement
	var bestWait time.Duration
	for _, pool := range pools {
		wait, ws := p.forecast(g, pool, need, n, limit)
		if ws == nil {
			continue
		}
		if step.DataRack != "" && pool[0].status.Rack != step.DataRack {
			// Away from its data the group takes DistanceFactor times as long.
			wait += time.Duration((p.core.Limits.DistanceFactor - 1) * float64(p.core.expectedRunTime(g.job, g.step)))
		}
		if wait <= limit && (best == nil || wait < bestWait) {
			best, bestWait = ws, wait
		}
	}
	if best == nil {
		return false
	}
	p.earmark(best, need)
	return true
}
