package planner

import (
	"cmp"
	"math"
	"slices"
	"time"

	"persimmontrail/pkg/descriptor"
)

const (
	// reserveMemory is the time in which a rush of urgent work is forgotten; rushes last six seconds and come several
	// times a minute.
	reserveMemory = 30 * time.Second
	// maxReserve is the largest part of the accelerators that may stand idle for urgent work.
	maxReserve = 0.4
	// busyShare of a fleet must be in use for a reserve to last: while under half of it is, no work may wait for 3 s
	// beside free room.
	busyShare = 0.6
	// rushGap is how long after the last urgent arrival nothing is kept any more.
	rushGap = 6 * time.Second
	// reservePatience is how long work waits beside a reserve on a fleet that is not busy.
	reservePatience = time.Second
)

// reserve decides which racks are kept for urgent work. Urgent gangs need whole racks at once, and stopping others
// first takes a good part of the time that they have.
type reserve struct {
	// peak is the most accelerators that urgent work lately ran on or waited for at one time, decaying.
	peak float64
	at   time.Time
	// arrival is when the last urgent workload came.
	arrival time.Time
}

// watch takes the present demand of urgent work.
func (v *reserve) watch(demand descriptor.Accelerators, now time.Time) {
	if !v.at.IsZero() {
		v.peak *= math.Exp(-float64(now.Sub(v.at)) / float64(reserveMemory))
	}
	v.at = now
	v.peak = max(v.peak, float64(demand))
}

// urgentDemand is what urgent workloads run on or wait for.
func (c *Core) urgentDemand() descriptor.Accelerators {
	var sum descriptor.Accelerators
	for _, j := range c.open {
		if j.pending() && j.record.Workload.Priority == 0 {
			sum += accelerators(j)
		}
	}
	return sum
}

// busy reports whether some kind of capacity is used for the most part.
func (p *pass) busy() bool {
	var whole, free descriptor.Capacity
	for _, w := range p.fleet {
		whole = whole.Plus(w.status.Capacity)
		free = free.Plus(w.free())
	}
	used := func(free, whole float64) bool { return whole > 0 && free <= (1-busyShare)*whole }
	return used(float64(free.Cores), float64(whole.Cores)) || used(float64(free.Memory), float64(whole.Memory)) ||
		used(float64(free.Accelerators), float64(whole.Accelerators))
}

// mayUseKept reports whether a group may start on the kept racks.
func (p *pass) mayUseKept(g group) bool {
	// Service tasks must run at once, however full the fleet is.
	if g.level < levelOther || g.job.step(g.step).Service {
		return true
	}
	if p.reserveBusy {
		return false
	}
	p.core.wakeAt(g.job.waitingSince.Add(reservePatience))
	return p.now.Sub(g.job.waitingSince) > reservePatience
}

// kept returns the workers on which only urgent work may start: the racks with the least other work.
func (p *pass) kept() map[*worker]bool {
	type rack struct {
		workers []*worker
		other   descriptor.Accelerators
		whole   descriptor.Accelerators
	}
	racks := map[descriptor.RackID]*rack{}
	var order []*rack
	var all, urgent descriptor.Accelerators
	for _, w := range p.fleet {
		r := racks[w.status.Rack]
		if r == nil {
			r = &rack{}
			racks[w.status.Rack] = r
			order = append(order, r)
		}
		r.workers = append(r.workers, w)
		r.whole += w.status.Capacity.Accelerators
		all += w.status.Capacity.Accelerators
		for _, run := range w.runs {
			if run.job == nil {
				continue
			}
			if run.job.record.Workload.Priority > 0 {
				r.other += run.need.Accelerators
			} else {
				urgent += run.need.Accelerators
			}
		}
	}
	if p.now.Sub(p.core.reserve.arrival) > rushGap {
		return nil
	}
	want := min(p.core.reserve.peak, maxReserve*float64(all)+float64(urgent))
	slices.SortStableFunc(order, func(a, b *rack) int { return cmp.Compare(a.other, b.other) })
	kept := map[*worker]bool{}
	for _, r := range order {
		// A rack is kept when most of it is wanted; otherwise the reserve would be up to a rack too large.
		if want < float64(r.whole-r.other)/2 {
			break
		}
		want -= float64(r.whole - r.other)
		for _, w := range r.workers {
			kept[w] = true
		}
	}
	return kept
}
