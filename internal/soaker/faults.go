package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"persimmontrail/platform/emulator"
)

const (
	// meanFaultInterval is the mean time between the starts of two faults. Most faults last longer, so that they
	// overlap.
	meanFaultInterval = 900 * time.Millisecond
	// maxFaultTime is the longest duration that is drawn for a fault. A graceful stop may take longer, up to stopGrace.
	maxFaultTime = 4 * time.Second
	// restartTime is the time for which a killed process counts as faulty. It covers restartPause and the start of the program.
	restartTime = time.Second
)

// faultKind is one kind of fault. Its inject function starts a fault of this kind for a duration and returns details,
// such as the affected process.
type faultKind struct {
	name   string
	inject func(dp *deployment, d time.Duration) string
}

// entryFault returns an inject function that applies f to a random entry and prepends the entry's name to the details.
func entryFault(f func(dp *deployment, e *entry, d time.Duration) string) func(*deployment, time.Duration) string {
	return func(dp *deployment, d time.Duration) string {
		e := randomElement(dp.random, dp.entries)
		return e.name + f(dp, e, d)
	}
}

// agentFault returns an inject function that applies f to a random agent or its worker and prepends the agent's name to
// the details.
func agentFault(f func(dp *deployment, a *agent, d time.Duration) string) func(*deployment, time.Duration) string {
	return func(dp *deployment, d time.Duration) string {
		a := randomElement(dp.random, dp.agents)
		return a.name + f(dp, a, d)
	}
}

// faultKinds are chosen with equal probability. Their names are part of the printed findings.
var faultKinds = []faultKind{
	{"entry stops in order", entryFault(func(dp *deployment, e *entry, _ time.Duration) string {
		e.faultHistory.add(stopGrace + restartTime)
		dp.checker.stopRequests.record(e.name)
		e.terminate()
		return ""
	})},
	{"entry killed", entryFault(func(_ *deployment, e *entry, _ time.Duration) string {
		e.faultHistory.add(restartTime)
		e.signal(syscall.SIGKILL)
		return ""
	})},
	{"entry paused", entryFault(func(_ *deployment, e *entry, d time.Duration) string {
		e.faultHistory.add(d)
		e.suspend(d)
		return ""
	})},
	{"entry told to reload", entryFault(func(_ *deployment, e *entry, _ time.Duration) string {
		e.signal(syscall.SIGHUP)
		return ""
	})},
	{"entry and store", entryFault(func(dp *deployment, e *entry, d time.Duration) string {
		return dp.injectRelayFault(d, e.storeRelay, &e.faultHistory)
	})},
	{"entry and others", entryFault(func(dp *deployment, e *entry, d time.Duration) string {
		return dp.injectRelayFault(d, e.peerRelay, &e.faultHistory)
	})},
	{"entry and callers", entryFault(func(dp *deployment, e *entry, d time.Duration) string {
		return dp.injectRelayFault(d, e.callerRelay, &e.faultHistory)
	})},
	{"agent stops in order", agentFault(func(_ *deployment, a *agent, _ time.Duration) string {
		a.faultHistory.add(stopGrace + restartTime)
		a.terminate()
		return ""
	})},
	{"agent killed", agentFault(func(_ *deployment, a *agent, _ time.Duration) string {
		a.faultHistory.add(restartTime)
		a.signal(syscall.SIGKILL)
		return ""
	})},
	{"agent paused", agentFault(func(_ *deployment, a *agent, d time.Duration) string {
		a.faultHistory.add(d)
		a.suspend(d)
		return ""
	})},
	{"agent and leader", agentFault(func(dp *deployment, a *agent, d time.Duration) string {
		return dp.injectRelayFault(d, a.peerRelay, &a.faultHistory)
	})},
	{"agent and worker", agentFault(func(dp *deployment, a *agent, d time.Duration) string {
		return dp.injectRelayFault(d, a.orderRelay, &a.faultHistory)
	})},
	{"worker and agent", agentFault(func(dp *deployment, a *agent, d time.Duration) string {
		return dp.injectRelayFault(d, a.heartbeatRelay, &a.faultHistory)
	})},
	{"worker crashes", agentFault(func(_ *deployment, a *agent, d time.Duration) string {
		a.faultHistory.add(d)
		a.worker.Crash(d / 4)
		return ""
	})},
	{"worker drains", agentFault(func(_ *deployment, a *agent, _ time.Duration) string {
		a.faultHistory.add(platformBounds.DrainTime + restartTime)
		a.worker.Drain()
		return ""
	})},
	{"worker stands still", agentFault(func(_ *deployment, a *agent, d time.Duration) string {
		a.faultHistory.add(d)
		a.worker.SetTaskFaults(true, false)
		time.AfterFunc(d, func() { a.worker.SetTaskFaults(false, false) })
		return ""
	})},
	{"worker fails all", agentFault(func(_ *deployment, a *agent, d time.Duration) string {
		a.faultHistory.add(d)
		a.worker.SetTaskFaults(false, true)
		time.AfterFunc(d, func() { a.worker.SetTaskFaults(false, false) })
		return ""
	})},
	{"store", func(dp *deployment, d time.Duration) string {
		f, name := storeFault(dp.random)
		dp.storeFaultHistory.add(d)
		dp.store.Inject(f)
		time.AfterFunc(d, func() { dp.store.Inject(emulator.StoreFaults{}) })
		return name
	}},
	{"store drops its history", func(dp *deployment, _ time.Duration) string {
		dp.storeFaultHistory.add(0)
		dp.store.Compact()
		return ""
	}},
	{"all entries killed", func(dp *deployment, _ time.Duration) string {
		dp.killEntries()
		return ""
	}},
	{"all processes killed", func(dp *deployment, _ time.Duration) string {
		for _, a := range dp.agents {
			a.faultHistory.add(restartTime)
			a.signal(syscall.SIGKILL)
		}
		dp.killEntries()
		return ""
	}},
}

// randomElement returns an element that is drawn with equal probability.
func randomElement[T any](r *rand.Rand, from []T) T { return from[r.IntN(len(from))] }

// storeFault returns a random fault of the store and its description.
func storeFault(r *rand.Rand) (emulator.StoreFaults, string) {
	switch r.IntN(5) {
	case 0:
		return emulator.StoreFaults{Down: true}, "down"
	case 1:
		return emulator.StoreFaults{Down: true, LeasesPaused: true}, "down, leases pause"
	case 2:
		return emulator.StoreFaults{Silent: true}, "silent"
	case 3:
		return emulator.StoreFaults{Delay: 250 * time.Millisecond}, "slow"
	}
	return emulator.StoreFaults{LostResponseShare: 0.35}, "loses answers"
}

// killEntries kills all entry processes at the same time. They restart after restartPause.
func (dp *deployment) killEntries() {
	for _, e := range dp.entries {
		e.faultHistory.add(restartTime)
		e.signal(syscall.SIGKILL)
	}
}

// injectRelayFault injects a random fault into a relay, adds it to the history and returns its description. The fault
// ends after d, or earlier if another fault of the same relay replaces it or an earlier one ends.
func (dp *deployment) injectRelayFault(d time.Duration, r *relay, history *faultHistory) string {
	fault := 1 + relayFault(dp.random.IntN(int(relaySilenced)))
	history.add(d)
	r.inject(fault)
	time.AfterFunc(d, func() { r.inject(relayNoFault) })
	return " " + [...]string{"none", "delayed", "cut", "cut there", "cut back", "reset", "silenced"}[fault]
}

// injectFaults injects random faults until ctx ends and returns their descriptions in the order of injection. Faults
// may still be in effect when it returns; see endFaults.
func (dp *deployment) injectFaults(ctx context.Context) []string {
	startedAt := time.Now()
	var injected []string
	for ctx.Err() == nil {
		d := maxFaultTime/10 + time.Duration(dp.random.Float64()*float64(maxFaultTime)*0.9)
		kind := randomElement(dp.random, faultKinds)
		detail := kind.inject(dp, d)
		injected = append(injected, fmt.Sprintf("%.1f s: %s: %s (%v)", time.Since(startedAt).Seconds(), kind.name, detail, d.Round(10*time.Millisecond)))
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(dp.random.ExpFloat64() * float64(meanFaultInterval))):
		}
	}
	return injected
}

const (
	// meanSilenceInterval is the mean time between two faults of injectSilences.
	meanSilenceInterval = 1200 * time.Millisecond
	// silenceTime is how long after such a fault the agent counts as faulty: its calls to the worker wait for their time
	// limits.
	silenceTime = 2 * time.Second
)

// injectSilences silences the connections between an agent and its worker as a start arrives there, which is carried out
// and not answered, again and again until ctx ends.
func (dp *deployment) injectSilences(ctx context.Context, r *rand.Rand) {
	for ctx.Err() == nil {
		a := randomElement(r, dp.agents)
		a.faultHistory.add(silenceTime)
		a.orderRelay.silenceAt([]byte("POST /v1/run-start"))
		pause(ctx, time.Duration(r.ExpFloat64()*float64(meanSilenceInterval)))
		a.orderRelay.silenceAt(nil)
	}
}

// endFaults waits until the last fault with a drawn duration has ended. It then clears the faults of the store, relays
// and workers and resumes all processes, in case a fault is still in effect.
func (dp *deployment) endFaults() {
	time.Sleep(maxFaultTime)
	dp.store.Inject(emulator.StoreFaults{})
	for _, e := range dp.entries {
		for _, r := range []*relay{e.callerRelay, e.peerRelay, e.storeRelay} {
			r.inject(relayNoFault)
		}
		e.signal(syscall.SIGCONT)
	}
	for _, a := range dp.agents {
		for _, r := range []*relay{a.peerRelay, a.storeRelay, a.orderRelay, a.heartbeatRelay} {
			r.inject(relayNoFault)
		}
		a.signal(syscall.SIGCONT)
		a.worker.SetTaskFaults(false, false)
		a.worker.SetFailShare(0)
	}
}
