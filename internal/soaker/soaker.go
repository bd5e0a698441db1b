// Package soaker runs the real programs as separate processes on one host, injects faults from outside, and checks the
// system's promises by what callers, workers and operators observe.
//
// The promises are: an accepted job ends with the right state, and a refused one never runs. Workers see no violation of
// the invariants that emulator.Fleet checks. No process exits unless told to, and a graceful stop cuts no call that was
// read. Configurations, cancellations and evacuations take effect within the platform's bounds.
//
// Connections go through relays that delay, cut, reset or silence them. Processes are stopped, paused, killed and
// restarted by signals. Package emulator provides the platform's store and workers, with faults of their own. The
// clocks of the emulated workers run up to 2 % slow. Wall clocks get no faults.
//
// An entry is a process that serves callers and can become the leader, which schedules. An agent is a process that
// passes the leader's orders to one worker. An evacuation takes a failure domain out of service for a time. An attempt
// is a numbered start of a task on a worker; an incarnation is a process or worker between a start and the next.
package soaker

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"persimmontrail/pkg/descriptor"
	"persimmontrail/platform/emulator"
)

// Options describe one soak run.
type Options struct {
	// Program is the path of the program persimmontrail-node.
	Program string
	// Dir is the directory for the settings and logs of the processes.
	Dir     string
	Seed    uint64
	Entries int
	Agents  int
	Callers int
	// Load is the time for which callers submit jobs and faults are injected.
	Load time.Duration
	// OrdersInHeartbeats makes the workers take their orders from the answers to their heartbeats.
	OrdersInHeartbeats bool
	// HardLoad adds the faults and traits of hardLoad. Without it, a seed plays as it did before they existed.
	HardLoad bool
}

// Result is the outcome of a soak run.
type Result struct {
	Seed uint64
	// Faults lists the injected faults in order.
	Faults []string
	// Violations lists the promises that did not hold.
	Violations []string
	// Accepted counts the jobs whose submission succeeded, Refused those that cannot have been accepted, and Done the
	// accepted jobs that were last seen as done. Jobs whose submission had an unknown outcome are in none of them.
	Accepted int
	Refused  int
	Done     int
	// Attempts counts the attempts that workers started, including those of jobs with an unknown outcome.
	Attempts int
	// PeakMemory is the largest memory of an entry, in bytes, and PeakDescriptors the largest number of its descriptors.
	PeakMemory      int64
	PeakDescriptors int
	// SetAside counts the reports that leaders set aside, and DiscardedWork the core-seconds of work lost, by cause. They
	// miss up to metricsInterval of a process that was killed.
	SetAside      float64
	DiscardedWork map[string]float64
}

// Ports of the processes. Each process has its own address in the loopback range.
const (
	callerPort    = 8521
	readyPort     = 8523
	heartbeatPort = 8526
	peerPort      = 7700
	workerPort    = 8600
	storePort     = 8500
	// relayPortOffset is the distance of a relay's port from the port that it forwards to.
	relayPortOffset = 1000
)

// rackSize is the number of workers in a rack.
const rackSize = 3

// platformBounds are bounds like the platform's, with shorter leases so that a run does not wait long for them to
// expire.
var platformBounds = emulator.Bounds{
	MaxHold: 5 * time.Second, StopGrace: 200 * time.Millisecond, GangTimeout: 3 * time.Second, CheckpointEvery: 200 * time.Millisecond,
	Restore: 50 * time.Millisecond, Heartbeat: 500 * time.Millisecond, DrainTime: 2 * time.Second,
}

// failureDomains lists the failure domains of the deployment. Processes are assigned to them in turn.
var failureDomains = []descriptor.FailureDomainID{"north", "middle", "south"}

// service is the service of all workers and queues.
const service descriptor.ServiceID = "measurement"

// entry is a process that serves callers and can become the scheduling leader, with its relays.
type entry struct {
	*process
	ip string
	// callerRelay forwards to the entry's port for callers, peerRelay to its port for other processes, and storeRelay
	// from the entry to the store.
	callerRelay, peerRelay, storeRelay *relay
	faultHistory                       faultHistory
}

// agent is a process that passes the leader's orders to a worker, with its worker and relays.
type agent struct {
	*process
	ip            string
	failureDomain descriptor.FailureDomainID
	worker        *emulator.Worker
	// peerRelay forwards to the agent's port for other processes, storeRelay from the agent to the store, orderRelay
	// from the agent to the worker, and heartbeatRelay from the worker to the agent.
	peerRelay, storeRelay, orderRelay, heartbeatRelay *relay
	faultHistory                                      faultHistory
}

// deployment holds the processes under test, the emulated platform and the checks of one soak run.
type deployment struct {
	Options

	random *rand.Rand
	// network is the second octet of all addresses of this run.
	network int
	store   *emulator.Store
	fleet   *emulator.Fleet
	entries []*entry
	agents  []*agent
	// storeFaultHistory holds the faults of the store, which affect all processes.
	storeFaultHistory faultHistory
	operator          *operator
	checker           *checker
	// hardLoad is nil unless Options.HardLoad is set.
	hardLoad *hardLoad
	monitor  monitor
	closers  []func()
}

// Run starts the processes, runs the load with faults, stops the processes and returns the result. Broken promises are
// listed in the result; an error means that the deployment could not be started. The seed determines the random
// choices, but not the timing of the processes, so that two runs with the same seed differ.
func Run(ctx context.Context, o Options) (Result, error) {
	dp := &deployment{Options: o, random: rand.New(rand.NewPCG(o.Seed, 1)), store: &emulator.Store{}, fleet: &emulator.Fleet{Bounds: platformBounds}}
	defer dp.close()
	if o.HardLoad {
		dp.hardLoad = newHardLoad(dp)
	}
	if err := dp.startAll(ctx); err != nil {
		return Result{Seed: o.Seed}, err
	}
	return dp.runLoad(ctx), nil
}

// runLoad runs the callers, the operator and the faults to their end and checks the outcome.
func (dp *deployment) runLoad(ctx context.Context) Result {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var background sync.WaitGroup
	background.Go(func() { dp.advanceFleet(ctx) })
	for _, a := range dp.agents {
		background.Go(func() { a.worker.SendHeartbeats(ctx) })
	}
	background.Go(func() { dp.monitor.run(ctx, dp) })
	dp.awaitReady(ctx)
	operatorCtx, stopOperator := context.WithCancel(ctx)
	background.Go(func() { dp.operator.run(operatorCtx, dp) })
	loadCtx, stopLoad := context.WithTimeout(ctx, dp.Load)
	var callers sync.WaitGroup
	for i := range dp.Callers {
		c := newCaller(dp, rand.New(rand.NewPCG(dp.Seed, uint64(i)+100)), i)
		callers.Go(func() { c.run(loadCtx, ctx) })
	}
	background.Go(func() { dp.injectSilences(loadCtx, rand.New(rand.NewPCG(dp.Seed, 2))) })
	if dp.hardLoad != nil {
		callers.Go(func() { dp.hardLoad.run(loadCtx, ctx) })
	}
	injected := dp.injectFaults(loadCtx)
	dp.endFaults()
	callers.Wait()
	if dp.hardLoad != nil {
		for _, e := range dp.entries {
			dp.hardLoad.checkServed(ctx, e)
		}
	}
	dp.monitor.readMetrics(ctx, dp)
	stopLoad()
	stopOperator()
	cancel()
	background.Wait()
	if dp.hardLoad != nil {
		injected = append(injected, dp.hardLoad.injected...)
	}
	return dp.checker.result(dp, injected)
}

// advanceFleet advances the emulated attempts every 10 ms until ctx ends.
func (dp *deployment) advanceFleet(ctx context.Context) {
	t := time.NewTicker(10 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			dp.fleet.Advance()
		}
	}
}

// startAll starts the store, the workers and all processes. It does not wait until they are ready; see awaitReady.
func (dp *deployment) startAll(ctx context.Context) error {
	dp.checker = &checker{}
	if err := dp.reserveNetwork(); err != nil {
		return err
	}
	dp.operator = newOperator(dp)
	for i := range dp.Agents {
		if err := dp.addAgent(i); err != nil {
			return err
		}
	}
	for i := range dp.Entries {
		if err := dp.addEntry(i); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// reserveNetwork finds a loopback network that no other run uses, and serves the store there. Parallel runs search from
// different random offsets.
func (dp *deployment) reserveNetwork() error {
	const first, end = 16, 120
	offset := rand.IntN(end - first)
	for i := range end - first {
		dp.network = first + (offset+i)%(end-first)
		l, err := net.Listen("tcp", dp.hostAddress(0, 1, storePort))
		if err != nil {
			continue
		}
		dp.serve(l, dp.store)
		return nil
	}
	return errors.New("no free addresses in the loopback range")
}

// hostAddress returns the address of a port on the n-th host of a kind, as in hostIP.
func (dp *deployment) hostAddress(kind, n, port int) string {
	return fmt.Sprintf("%s:%d", dp.hostIP(kind, n), port)
}

// hostIP returns the IP address of the n-th host of a kind: 0 for the store, 1 for entries, 2 for agents, 4 for crowds.
func (dp *deployment) hostIP(kind, n int) string {
	return fmt.Sprintf("127.%d.%d.%d", dp.network, kind*2+n/200, n%200+1)
}

// serve serves h on l until the deployment is closed.
func (dp *deployment) serve(l net.Listener, h http.Handler) {
	s := &http.Server{Handler: h}
	if w, ok := h.(*emulator.Worker); ok {
		s.ConnState = w.TrackConnection
	}
	go func() { _ = s.Serve(l) }()
	dp.closers = append(dp.closers, func() { _ = s.Close() })
}

// openRelay opens a relay to target that listens on ip at port + relayPortOffset.
func (dp *deployment) openRelay(ip string, port int, target string) (*relay, error) {
	r, err := newRelay(fmt.Sprintf("%s:%d", ip, port+relayPortOffset), target)
	if err != nil {
		return nil, err
	}
	dp.closers = append(dp.closers, r.close)
	return r, nil
}

// addEntry starts an entry with its relays. Callers and other processes reach it through its relays; the operator's
// probes and the readiness checks do not.
func (dp *deployment) addEntry(index int) error {
	e := &entry{ip: dp.hostIP(1, index)}
	failureDomain := failureDomains[index%len(failureDomains)]
	var errs [3]error
	e.callerRelay, errs[0] = dp.openRelay(e.ip, callerPort, fmt.Sprintf("%s:%d", e.ip, callerPort))
	e.peerRelay, errs[1] = dp.openRelay(e.ip, peerPort, fmt.Sprintf("%s:%d", e.ip, peerPort))
	e.storeRelay, errs[2] = dp.openRelay(e.ip, storePort, dp.hostAddress(0, 1, storePort))
	if err := errors.Join(errs[:]...); err != nil {
		return err
	}
	var err error
	name := fmt.Sprintf("entry-%d", index)
	e.process, err = dp.launch(name, "entry", e.peerRelay.address(), emulator.Settings{
		Node: name, FailureDomain: failureDomain, Region: "region", IP: e.ip, CallerPort: callerPort, ReadyPort: readyPort, FirstPort: peerPort,
		StoreAddress: e.storeRelay.address(), OrdersInHeartbeats: dp.OrdersInHeartbeats, Bounds: platformBounds,
		MemoryMB: entryMemoryMB, MaxDescriptors: entryDescriptors,
	})
	dp.entries = append(dp.entries, e)
	return err
}

// addAgent starts an agent with its worker and relays.
func (dp *deployment) addAgent(index int) error {
	a := &agent{ip: dp.hostIP(2, index), failureDomain: failureDomains[index%len(failureDomains)]}
	name := fmt.Sprintf("agent-%d", index)
	var errs [4]error
	a.peerRelay, errs[0] = dp.openRelay(a.ip, peerPort, fmt.Sprintf("%s:%d", a.ip, peerPort))
	a.storeRelay, errs[1] = dp.openRelay(a.ip, storePort, dp.hostAddress(0, 1, storePort))
	a.orderRelay, errs[2] = dp.openRelay(a.ip, workerPort, fmt.Sprintf("%s:%d", a.ip, workerPort))
	a.heartbeatRelay, errs[3] = dp.openRelay(a.ip, heartbeatPort, fmt.Sprintf("%s:%d", a.ip, heartbeatPort))
	if err := errors.Join(errs[:]...); err != nil {
		return err
	}
	a.worker = &emulator.Worker{
		VM: name, Service: service, FailureDomain: a.failureDomain, Rack: descriptor.RackID(fmt.Sprintf("r1-%d", index/rackSize)),
		Capacity:         descriptor.Capacity{Cores: 64000, Memory: 131072, Accelerators: 8},
		HeartbeatAddress: a.heartbeatRelay.address(), OrdersInHeartbeats: dp.OrdersInHeartbeats, ClockRate: 1 - 0.02*dp.random.Float64(),
		Speed: dp.hardLoad.workerSpeed(),
	}
	l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", a.ip, workerPort))
	if err != nil {
		return err
	}
	dp.fleet.AddWorker(a.worker)
	dp.serve(l, a.worker)
	a.process, err = dp.launch(name, "agent", a.peerRelay.address(), emulator.Settings{
		Node: name, FailureDomain: a.failureDomain, Region: "region", IP: a.ip, HeartbeatPort: heartbeatPort, FirstPort: peerPort,
		WorkerAddress: a.orderRelay.address(), StoreAddress: a.storeRelay.address(), OrdersInHeartbeats: dp.OrdersInHeartbeats,
		Bounds: platformBounds,
	})
	dp.agents = append(dp.agents, a)
	return err
}

// launch writes the settings file of a process and starts the process in the background. A failed start is listed as an
// unexpected exit.
func (dp *deployment) launch(name, role, announcedAddress string, s emulator.Settings) (*process, error) {
	data, err := s.JSON()
	if err != nil {
		return nil, err
	}
	settingsFile := filepath.Join(dp.Dir, name+".json")
	if err := os.WriteFile(settingsFile, data, 0o644); err != nil {
		return nil, err
	}
	p := &process{
		name: name, program: dp.Program, role: role, settingsFile: settingsFile, announcedAddress: announcedAddress, logFile: logPath(dp.Dir, name),
		runEnded: make(chan struct{}),
	}
	go p.run()
	dp.closers = append(dp.closers, p.close)
	return p, nil
}

// maxReadyTime limits the wait for the entries to become ready. It allows for a busy host.
const maxReadyTime = 20 * time.Second

// awaitReady waits until all entries are ready or maxReadyTime has passed, which is not an error.
func (dp *deployment) awaitReady(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, maxReadyTime)
	defer cancel()
	for _, e := range dp.entries {
		for ctx.Err() == nil && !isReady(ctx, e.ip) {
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// isReady reports whether the entry at an IP address answers that it is ready.
func isReady(ctx context.Context, ip string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s:%d/v1/ready", ip, readyPort), nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// close stops everything that was started, in reverse order.
func (dp *deployment) close() {
	for i := len(dp.closers) - 1; i >= 0; i-- {
		dp.closers[i]()
	}
}
