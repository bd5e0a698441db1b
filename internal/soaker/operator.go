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
	// meanChangeInterval is the mean time between two configuration changes.
	meanChangeInterval = 1500 * time.Millisecond
	// probeInterval is the pause between two rounds of probes of an entry.
	probeInterval = 100 * time.Millisecond
	// maxApplyTime is the time within which the platform requires a written configuration to be in force.
	maxApplyTime = 2500 * time.Millisecond
	// faultFreeTime is the time before an event in which a process must have had no fault for a bound to apply to it.
	faultFreeTime = 4 * time.Second
	// maxEvacuateTime is the longest time after the start of an evacuation at which the platform allows tasks to start in
	// the failure domain.
	maxEvacuateTime = 5 * time.Second
	// evacuationDuration is the time for which a failure domain stays evacuated.
	evacuationDuration = 7 * time.Second
	// maxAttempts is the number of failures after which a task or gang of a job is not started again.
	maxAttempts = 4
	// maxBodyBytes is the configured limit on the bodies of callers.
	maxBodyBytes = 1 << 20
)

// operator changes the configuration, evacuates a failure domain, and checks which configuration each entry has in
// force.
type operator struct {
	random *rand.Rand

	mu      sync.Mutex
	version int64
	// writtenAt holds, by version, the time just after the write to the store.
	writtenAt map[int64]time.Time
	// evacuations holds the evacuations that have ended.
	evacuations []evacuation
}

// evacuation is a completed evacuation of a failure domain and the time that it lasted.
type evacuation struct {
	failureDomain descriptor.FailureDomainID
	from, to      time.Time
}

// newOperator returns an operator that has written the first configuration.
func newOperator(dp *deployment) *operator {
	o := &operator{random: rand.New(rand.NewPCG(dp.Seed, 2)), writtenAt: map[int64]time.Time{}}
	o.writeConfiguration(dp)
	return o
}

// writeConfiguration writes the next version. Each version has a probe queue of its own, which shows whether an entry
// has that version in force.
func (o *operator) writeConfiguration(dp *deployment) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.version++
	plan := descriptor.Plan{
		Version: o.version, MaxBody: maxBodyBytes, Services: map[descriptor.ServiceID]descriptor.Pool{service: {Guarded: true}},
		Accounts: []descriptor.Account{{Workspace: "atelier", Keys: []string{callerKey}, Guaranteed: 8}},
	}
	for i := range 2 {
		plan.Queues = append(plan.Queues, descriptor.Queue{
			Name: descriptor.QueueID(fmt.Sprintf("queue-%d", i)), Host: queueHost, Prefix: fmt.Sprintf(queuePrefixFormat, i), Service: service,
			Priority: i, MaxAttempts: maxAttempts, Stretch: 2, Slack: time.Second,
		})
	}
	plan.Queues = append(plan.Queues, descriptor.Queue{
		Name: "probe", Host: queueHost, Prefix: probePath(o.version), Service: service, Public: true, MaxAttempts: 1, Stretch: 1,
	})
	data, err := emulator.Configuration(plan)
	if err != nil {
		panic(err)
	}
	dp.store.Put(emulator.ConfigKey, data)
	o.writtenAt[o.version] = time.Now()
}

// newestVersion returns the version that was written last.
func (o *operator) newestVersion() int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.version
}

// probePath returns the path prefix of the probe queue of a version.
func probePath(version int64) string { return fmt.Sprintf("/probe-%d/", version) }

// run changes the configuration, evacuates a failure domain and probes all entries until ctx ends.
func (o *operator) run(ctx context.Context, dp *deployment) {
	var loops sync.WaitGroup
	loops.Go(func() {
		for ctx.Err() == nil {
			pause(ctx, time.Duration(o.random.ExpFloat64()*float64(meanChangeInterval)))
			o.writeConfiguration(dp)
		}
	})
	loops.Go(func() { o.evacuate(ctx, dp) })
	for _, e := range dp.entries {
		loops.Go(func() { o.probe(ctx, dp, e) })
	}
	loops.Wait()
}

// evacuate evacuates a random failure domain for evacuationDuration, at a random time in the first half of the load.
func (o *operator) evacuate(ctx context.Context, dp *deployment) {
	random := rand.New(rand.NewPCG(dp.Seed, 3))
	pause(ctx, time.Duration(random.Float64()*float64(dp.Load)/2))
	failureDomain := failureDomains[random.IntN(len(failureDomains))]
	dp.store.Put(emulator.EvacuateKey(failureDomain), []byte("{}"))
	from := time.Now()
	pause(ctx, evacuationDuration)
	dp.store.Remove(emulator.EvacuateKey(failureDomain))
	o.mu.Lock()
	defer o.mu.Unlock()
	o.evacuations = append(o.evacuations, evacuation{failureDomain, from, time.Now()})
}

// probe calls the probe queues of the two newest versions at an entry until ctx ends, directly and not through a relay.
// An entry must not go back to an older version within one incarnation, and must have the newest one in force within
// maxApplyTime unless there were faults.
func (o *operator) probe(ctx context.Context, dp *deployment, e *entry) {
	client := &http.Client{Timeout: maxApplyTime}
	var highest int64
	incarnation := 0
	for ctx.Err() == nil {
		pause(ctx, probeInterval)
		o.mu.Lock()
		version := o.version
		writtenAt := o.writtenAt[version]
		o.mu.Unlock()
		if current := e.incarnation(); current != incarnation {
			incarnation, highest = current, 0
		}
		askedAt := time.Now()
		for _, v := range []int64{version, version - 1} {
			status := o.queryVersion(ctx, client, e, v)
			switch {
			case status == http.StatusOK && v < highest && e.incarnation() == incarnation:
				dp.checker.addViolation("%s went back from configuration %d to %d", e.name, highest, v)
			case status == http.StatusOK:
				highest = max(highest, v)
			case status == http.StatusNotFound && v == version && o.newestVersion() == version && askedAt.Sub(writtenAt) > maxApplyTime &&
				e.faultHistory.faultFree(askedAt.Add(-maxApplyTime-faultFreeTime), time.Now()) && dp.storeFaultHistory.faultFree(askedAt.Add(-maxApplyTime-faultFreeTime), time.Now()):
				dp.checker.addViolation("%s does not have configuration %d after %v", e.name, v, askedAt.Sub(writtenAt))
			}
		}
	}
}

// queryVersion returns the HTTP status of a call to the probe queue of a version: 200 if the entry has the version in
// force, 404 if it does not, and 0 if there is no answer.
func (o *operator) queryVersion(ctx context.Context, client *http.Client, e *entry, version int64) int {
	url := fmt.Sprintf("http://%s:%d%s", e.ip, callerPort, probePath(version))
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		panic(err)
	}
	request.Host = queueHost
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	response.Body.Close()
	return response.StatusCode
}
