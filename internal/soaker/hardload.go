package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"persimmontrail/pkg/descriptor"
	"persimmontrail/platform/emulator"
)

const (
	// meanHardInterval is the mean time between the starts of two faults of a hardLoad.
	meanHardInterval = 1500 * time.Millisecond
	// traitShare is the share of the runs that have a trait.
	traitShare = 0.5
	// minSpeed and maxSpeed bound the speeds of uneven workers.
	minSpeed = 0.6
	maxSpeed = 1.2
	// maxTailShare and maxTailFactor bound the share of long tasks and their run time, relative to that of their step.
	maxTailShare  = 0.1
	maxTailFactor = 10
	// maxLongRunTime limits the run time of a long task, so that it can end within maxSettleTime on a slow worker.
	maxLongRunTime = 8 * time.Second
	// firstRushCaller is the index of the caller of the first job of a rush. Each of these jobs has a caller of its own.
	firstRushCaller = 1 << 16
	// servedTime is the time within which an entry must serve ordinary callers again.
	servedTime = 5 * time.Second
)

// hardLoad adds uneven and overloaded behaviour to a run: workers of different speeds, long tasks and a grey worker as
// traits of the whole run, and as faults rushes of jobs, grey and flapping workers, and crowds of hostile callers. All
// draws come from its own random source, so that the other faults of a seed stay as they are.
type hardLoad struct {
	deployment *deployment
	random     *rand.Rand
	// unevenSpeeds and hasGreyWorker tell whether the run has these traits; tail is zero if it has no long tasks.
	unevenSpeeds, hasGreyWorker bool
	tail                        emulator.Tail
	// rushJobs counts the jobs of all rushes.
	rushJobs int
	// settleBy is the time by which the jobs of rushes must have ended.
	settleBy time.Time
	// running is the crowds and rushes that have not ended.
	running sync.WaitGroup
	// injected describes the traits and faults in order. It is complete when run has returned.
	injected []string
}

// hardKind is one kind of fault of a hardLoad, like faultKind.
type hardKind struct {
	name   string
	inject func(ctx context.Context, h *hardLoad, d time.Duration) string
}

// hardKinds are chosen with equal probability.
var hardKinds = []hardKind{
	{"rush", func(ctx context.Context, h *hardLoad, _ time.Duration) string { return h.startRush(ctx) }},
	{"crowd", func(ctx context.Context, h *hardLoad, d time.Duration) string { return h.startCrowd(ctx, d) }},
	{"grey worker", func(_ context.Context, h *hardLoad, d time.Duration) string {
		a := randomElement(h.random, h.deployment.agents)
		detail := h.makeGrey(a)
		time.AfterFunc(d, func() { a.worker.SetFailShare(0) })
		return detail
	}},
	{"worker flaps", func(_ context.Context, h *hardLoad, d time.Duration) string {
		a := randomElement(h.random, h.deployment.agents)
		a.faultHistory.add(d)
		crashes := 3 + h.random.IntN(4)
		period := d / time.Duration(crashes)
		for i := range crashes {
			time.AfterFunc(time.Duration(i)*period, func() { a.worker.Crash(period / 2) })
		}
		return fmt.Sprintf("%s, %d times", a.name, crashes)
	}},
}

// newHardLoad returns a hardLoad and draws the traits of the run.
func newHardLoad(dp *deployment) *hardLoad {
	h := &hardLoad{deployment: dp, random: rand.New(rand.NewPCG(dp.Seed, 4))}
	h.unevenSpeeds = h.random.Float64() < traitShare
	h.hasGreyWorker = h.random.Float64() < traitShare
	if h.random.Float64() < traitShare {
		h.tail = emulator.Tail{
			Share: maxTailShare * h.random.Float64(), Factor: maxTailFactor * (0.4 + 0.6*h.random.Float64()), MaxRunTime: maxLongRunTime,
		}
	}
	h.injected = append(h.injected, fmt.Sprintf("traits: uneven speeds %v, long tasks %.3f times %.1f", h.unevenSpeeds, h.tail.Share, h.tail.Factor))
	return h
}

// workerSpeed returns the speed of the next worker. Without a hardLoad, it is 0, the default.
func (h *hardLoad) workerSpeed() float64 {
	if h == nil || !h.unevenSpeeds {
		return 0
	}
	return minSpeed + (maxSpeed-minSpeed)*h.random.Float64()
}

// jobTail returns the long tasks of all jobs. Without a hardLoad, there are none.
func (h *hardLoad) jobTail() emulator.Tail {
	if h == nil {
		return emulator.Tail{}
	}
	return h.tail
}

// makeGrey makes a worker fail a share of its attempts and returns a description. The worker counts as healthy, so that
// all bounds hold on.
func (h *hardLoad) makeGrey(a *agent) string {
	share := 0.2 + 0.5*h.random.Float64()
	a.worker.SetFailShare(share)
	return fmt.Sprintf("%s, share %.2f", a.name, share)
}

// run injects faults until loadCtx ends and waits for the crowds and rushes, which end earlier if ctx does.
func (h *hardLoad) run(loadCtx, ctx context.Context) {
	startedAt := time.Now()
	h.settleBy = startedAt.Add(h.deployment.Load + maxFaultTime + maxSettleTime)
	if h.hasGreyWorker {
		h.injected = append(h.injected, "traits: grey worker: "+h.makeGrey(randomElement(h.random, h.deployment.agents)))
	}
	for {
		pause(loadCtx, time.Duration(h.random.ExpFloat64()*float64(meanHardInterval)))
		if loadCtx.Err() != nil {
			break
		}
		d := maxFaultTime/10 + time.Duration(h.random.Float64()*float64(maxFaultTime)*0.9)
		kind := randomElement(h.random, hardKinds)
		detail := kind.inject(ctx, h, d)
		h.injected = append(h.injected, fmt.Sprintf("%.1f s: %s: %s (%v)", time.Since(startedAt).Seconds(), kind.name, detail, d.Round(10*time.Millisecond)))
	}
	h.running.Wait()
}

// startRush submits a wide step of small tasks, and shortly after it many urgent gangs at once.
func (h *hardLoad) startRush(ctx context.Context) string {
	wide, gangs := 100+h.random.IntN(300), 6+h.random.IntN(12)
	delay := time.Duration(100+h.random.IntN(400)) * time.Millisecond
	h.submitAfter(ctx, 0, 1, descriptor.Step{
		Count: wide, Size: descriptor.Capacity{Cores: 1000, Memory: 1024, Accelerators: 1}, SavesProgress: h.random.IntN(2) == 0,
	})
	for range gangs {
		h.submitAfter(ctx, delay, 0, descriptor.Step{
			Count: 2 + h.random.IntN(3), Gang: true, SameRack: h.random.IntN(2) == 0,
			Size: descriptor.Capacity{Cores: 4000, Memory: 4096, Accelerators: descriptor.Accelerators(1 << h.random.IntN(4))},
		})
	}
	return fmt.Sprintf("%d tasks, %d gangs %v later", wide, gangs, delay)
}

// submitAfter submits a job of one step after a delay, by a caller of its own, and polls it until it ends.
func (h *hardLoad) submitAfter(ctx context.Context, delay time.Duration, queue int, step descriptor.Step) {
	dp := h.deployment
	index := firstRushCaller + h.rushJobs
	h.rushJobs++
	c := newCaller(dp, rand.New(rand.NewPCG(dp.Seed, uint64(index))), index)
	id := descriptor.JobID(fmt.Sprintf("%08x%08x", index+1, 1))
	step.RunTime = time.Duration(200+h.random.IntN(800)) * time.Millisecond
	job := &emulator.Job{
		Workload: descriptor.Workload{ID: id, Spec: "spec-" + string(id), MaxAttempts: maxAttempts, Steps: []descriptor.Step{step}},
		RunTimes: []time.Duration{step.RunTime}, Tail: h.tail,
	}
	dp.fleet.AddJob(job)
	s := &submission{job: job, queue: queue, refused: true}
	dp.checker.addSubmission(s)
	h.running.Go(func() {
		defer c.close()
		pause(ctx, delay)
		if c.submit(ctx, s) {
			c.settle(ctx, []*submission{s}, h.settleBy)
		}
	})
}

// checkServed checks that an entry serves an ordinary call within servedTime. A fault of the entry in that time excuses
// it; a recent fault elsewhere excuses a refusal.
func (h *hardLoad) checkServed(ctx context.Context, e *entry) {
	dp := h.deployment
	client := &http.Client{Timeout: servedTime}
	defer client.CloseIdleConnections()
	from := time.Now()
	var status int
	for time.Since(from) < servedTime {
		if status = dp.operator.queryVersion(ctx, client, e, dp.operator.newestVersion()); status == http.StatusOK || ctx.Err() != nil {
			return
		}
		pause(ctx, probeInterval)
	}
	now := time.Now()
	calm := dp.storeFaultHistory.faultFree(from.Add(-faultFreeTime), now)
	for _, other := range dp.entries {
		calm = calm && other.faultHistory.faultFree(from.Add(-faultFreeTime), now)
	}
	if e.faultHistory.faultFree(from, now) && (calm || status != http.StatusServiceUnavailable) {
		dp.checker.addViolation("%s did not serve ordinary callers within %v; last status %d", e.name, servedTime, status)
	}
}
