package coordinator

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"persimmontrail/internal/keeper"
	"persimmontrail/internal/messenger"
	"persimmontrail/pkg/descriptor"
)

// network connects the entries of a test in one process. The links between entries and to the store can be cut.
type network struct {
	mu sync.Mutex
	// delays draws the message delays. The order of its draws depends on the order in which goroutines run.
	delays *rand.Rand
	// schedule draws the faults and the entries that operators call. Only the goroutine of the test draws from it, so
	// they depend on the seed alone.
	schedule *rand.Rand
	store    *memoryStore
	entries  map[string]*Entry
	stop     map[string]context.CancelFunc
	// cut holds the cut links as pairs of names in lexical order. The name of the store is "store".
	cut   map[[2]string]bool
	loops sync.WaitGroup
}

func pair(a, b string) [2]string { return [2]string{min(a, b), max(a, b)} }

func (n *network) isCut(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[pair(a, b)]
}

// delay returns a random one-way message delay.
func (n *network) delay() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Duration(1+n.delays.IntN(60)) * time.Millisecond
}

// startEntry starts an entry with the loops that determine permits.
func (n *network) startEntry(t *testing.T, name string) {
	s := n.store.client()
	get, put := s.Get, s.Put
	s.Get = func(ctx context.Context, key string) ([]byte, keeper.Version, error) {
		time.Sleep(n.delay())
		if n.isCut(name, "store") {
			return nil, 0, keeper.ErrUnavailable
		}
		data, v, err := get(ctx, key)
		time.Sleep(n.delay())
		return data, v, err
	}
	s.Put = func(ctx context.Context, key string, data []byte, expect keeper.Version, l keeper.LeaseID) (keeper.Version, error) {
		time.Sleep(n.delay())
		if n.isCut(name, "store") {
			return 0, keeper.ErrUnavailable
		}
		v, err := put(ctx, key, data, expect, l)
		if n.isCut(name, "store") {
			return 0, keeper.ErrOutcomeUnknown
		}
		return v, err
	}
	call := func(_ context.Context, address string, _ messenger.Kind, request, answer any) error {
		time.Sleep(n.delay())
		n.mu.Lock()
		peer := n.entries[address]
		n.mu.Unlock()
		if peer == nil || n.isCut(name, address) {
			return messenger.ErrHeartbeatTimeout
		}
		a := peer.peers.answer(request.(messenger.EntryState))
		time.Sleep(n.delay())
		if n.isCut(name, address) {
			return messenger.ErrHeartbeatTimeout
		}
		*answer.(*messenger.EntryState) = a
		return nil
	}
	e := newEntry(Settings{Name: descriptor.EntryID(name), Region: "qc-sud", Store: s, Call: call})
	e.address = name
	ctx, cancel := context.WithCancel(t.Context())
	n.mu.Lock()
	n.entries[name] = e
	n.stop[name] = cancel
	n.mu.Unlock()
	n.loops.Go(func() { e.confirmLoop(ctx) })
	n.loops.Go(func() { e.peers.loop(ctx) })
}

// kill stops an entry without a shutdown.
func (n *network) kill(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.stop[name]()
	delete(n.entries, name)
}

func (n *network) sortedEntries() []*Entry {
	n.mu.Lock()
	defer n.mu.Unlock()
	var list []*Entry
	for _, name := range slices.Sorted(maps.Keys(n.entries)) {
		list = append(list, n.entries[name])
	}
	return list
}

// changeRandomFault starts or kills an entry, or cuts or restores a link, at random.
func (n *network) changeRandomFault(t *testing.T, entryCount *int) {
	names := []string{"store"}
	for _, e := range n.sortedEntries() {
		names = append(names, string(e.settings.Name))
	}
	roll := n.schedule.IntN(100)
	a := names[n.schedule.IntN(len(names))]
	b := names[n.schedule.IntN(len(names))]
	switch {
	case roll < 8 && len(names) < 6:
		*entryCount++
		n.startEntry(t, fmt.Sprintf("entry-%03d", *entryCount))
	case roll < 14 && len(names) > 3 && a != "store":
		n.kill(a)
	case a != b:
		n.mu.Lock()
		n.cut[pair(a, b)] = roll < 60
		n.mu.Unlock()
	}
}

// acceptance records when a revision was accepted.
type acceptance struct {
	revision descriptor.Revision
	at       time.Time
}

// TestNoOldPermitAfterAcceptance guards against two faults: a start permit for an older revision more than
// permitLifetime after a newer one was accepted, and an entry that returns to an older revision. Links between entries
// and to the store are cut and restored while entries start and stop. The test fails if registrar.CanAccept always
// returns true, or if permit adds a second to permitLifetime.
func TestNoOldPermitAfterAcceptance(t *testing.T) {
	seeds := uint64(10)
	if testing.Short() {
		seeds = 3
	}
	accepted := 0
	permitsWithoutStore := 0
	for seed := range seeds {
		synctest.Test(t, func(t *testing.T) {
			a, w, violation := runPermitSimulation(t, seed)
			assert.Equal(t, violation, "", "seed %d", seed)
			accepted += a
			permitsWithoutStore += w
		})
	}
	t.Logf("seeds 0 to %d: %d changes accepted, %d samples of permits without the store", seeds-1, accepted, permitsWithoutStore)
	assert.Assert(t, accepted > 3*int(seeds) && permitsWithoutStore > 0)
}

func runPermitSimulation(t *testing.T, seed uint64) (accepted, permitsWithoutStore int, violation string) {
	n := &network{
		delays: rand.New(rand.NewPCG(seed, 1)), schedule: rand.New(rand.NewPCG(seed, 2)), store: newMemoryStore(),
		entries: map[string]*Entry{}, stop: map[string]context.CancelFunc{}, cut: map[[2]string]bool{},
	}
	var mu sync.Mutex
	var last acceptance
	entryCount := 3
	for i := 1; i <= entryCount; i++ {
		n.startEntry(t, fmt.Sprintf("entry-%03d", i))
	}
	began := time.Now()
	seen := map[descriptor.EntryID]descriptor.Revision{}
	var operators sync.WaitGroup
	for step := 0; violation == "" && time.Since(began) < 2*time.Minute; step++ {
		if step%15 == 0 {
			n.changeRandomFault(t, &entryCount)
		}
		if step%40 == 20 {
			list := n.sortedEntries()
			e := list[n.schedule.IntN(len(list))]
			operators.Go(func() {
				cfg := toggleFailureDomain(t.Context(), e)
				if cfg == nil {
					return
				}
				answer := e.distribute(t.Context(), cfg)
				mu.Lock()
				defer mu.Unlock()
				if answer.State == ChangeAccepted {
					accepted++
					if answer.Revision > last.revision {
						last = acceptance{answer.Revision, time.Now()}
					}
				}
			})
		}
		time.Sleep(20 * time.Millisecond)
		now := time.Now()
		mu.Lock()
		latest := last
		mu.Unlock()
		for _, e := range n.sortedEntries() {
			p := e.basis.permit(now)
			if e.basis.revision() < seen[e.settings.Name] {
				violation = fmt.Sprintf("%s returned to revision %d", e.settings.Name, e.basis.revision())
			}
			seen[e.settings.Name] = e.basis.revision()
			if p.ValidFor > 0 && !e.basis.storeReached(now) {
				permitsWithoutStore++
			}
			if p.Revision < latest.revision && now.Add(p.ValidFor).After(latest.at.Add(permitLifetime)) && p.ValidFor > 0 {
				violation = fmt.Sprintf("at %v %s permits revision %d for %v; %d was accepted %v ago",
					now.Sub(began), e.settings.Name, p.Revision, p.ValidFor, latest.revision, now.Sub(latest.at))
			}
		}
	}
	operators.Wait()
	for _, e := range n.sortedEntries() {
		n.kill(string(e.settings.Name))
	}
	n.loops.Wait()
	// Writes with an unknown outcome are checked for up to 10 s.
	time.Sleep(30 * time.Second)
	return accepted, permitsWithoutStore, violation
}

// toggleFailureDomain removes a failure domain from use, or returns it to use, by a change at entry e. The result is the
// stored configuration, or nil on failure.
func toggleFailureDomain(ctx context.Context, e *Entry) *descriptor.Configuration {
	current, err := e.configurations.Read(ctx)
	if err != nil {
		return nil
	}
	next := testConfiguration(current.Revision, current.Revision%2 == 0)
	stored, err := e.replaceConfiguration(ctx, next, current.Revision, "jana")
	if err != nil {
		return nil
	}
	return stored
}
