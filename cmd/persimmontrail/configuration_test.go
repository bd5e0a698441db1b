package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"persimmontrail/internal/coordinator"
	"persimmontrail/internal/enforcer"
	"persimmontrail/internal/faker"
	"persimmontrail/pkg/descriptor"
)

// propagationLimit is the maximum time from the acceptance of a configuration until all entries and agents
// use it.
const propagationLimit = 4 * time.Second

// revisionOf returns the configuration revision that an entry or agent uses.
func revisionOf(p *process) (descriptor.Revision, error) {
	if p.name == "entry" {
		var status coordinator.Status
		err := getJSON(p.url+"/v1/status", &status)
		return status.Revision, err
	}
	var agentState struct{ Snapshot enforcer.Snapshot }
	err := getJSON(p.url+"/v1/state", &agentState)
	return agentState.Snapshot.Revision, err
}

// revisionMonitor checks that no process returns to an older configuration revision.
type revisionMonitor struct {
	mu        sync.Mutex
	lastSeen  map[*process]descriptor.Revision
	violation string
}

// lowestRevision queries the processes and returns the lowest revision that they report. It records a
// violation if a process reports an older revision than before.
func (m *revisionMonitor) lowestRevision(processes []*process) (lowest descriptor.Revision, err error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i, p := range processes {
		r, err := revisionOf(p)
		if err != nil {
			return 0, err
		}
		if r < m.lastSeen[p] {
			m.violation = fmt.Sprintf("%s %s went back from revision %d to %d", p.name, p.url, m.lastSeen[p], r)
		}
		m.lastSeen[p] = r
		if i == 0 || r < lowest {
			lowest = r
		}
	}
	return lowest, nil
}

// TestConfigurationUnderFaults guards against four failures: when two operators change the
// configuration at the same time, both or neither succeed; the rejected operator is not told what
// changed; a change reaches a process late; a process returns to an older revision. The store loses
// every second answer to a write during the first races. An entry and an agent are replaced before the
// last races. The test fails if the store replaces the configuration without comparing its revision.
func TestConfigurationUnderFaults(t *testing.T) {
	t.Parallel()
	s := newThreeEntrySystem(t, 1)
	monitor := &revisionMonitor{lastSeen: map[*process]descriptor.Revision{}}
	processes := append(append([]*process{}, s.entries...), s.agents...)
	s.setStoreFaults(faker.StoreSwitches{LoseAnswers: 0.5})
	baseRevision := descriptor.Revision(1)
	var slowestPropagation time.Duration
	raceOperators := func(entries [2]*process) {
		t.Helper()
		acceptedChanges := 0
		var acceptedAt time.Time
		results := [2]struct {
			code           int
			stdout, stderr string
		}{}
		var wg sync.WaitGroup
		for i := range 2 {
			cfg := testConfiguration()
			cfg.Revision = baseRevision
			// The two configurations differ from each other and from the current one.
			cfg.Classes[0].FinishWithin = descriptor.Duration(time.Duration(8+2*int(baseRevision)+i) * time.Second)
			data, err := json.Marshal(cfg)
			assert.NilError(t, err)
			file := filepath.Join(t.TempDir(), "deployment.json")
			assert.NilError(t, os.WriteFile(file, data, 0o600))
			wg.Go(func() {
				r := &results[i]
				r.code, r.stdout, r.stderr = s.run("apply", "--entry", entries[i].url, "--operator", fmt.Sprint("operator-", i), file)
			})
		}
		wg.Wait()
		acceptedAt = time.Now()
		for i, r := range results {
			switch {
			case r.code == 0 && strings.Contains(r.stdout, coordinator.ChangeAccepted):
				acceptedChanges++
			default:
				assert.Equal(t, r.code, 1, r.stdout+r.stderr)
				assert.Assert(t, strings.Contains(r.stderr, fmt.Sprintf("is at revision %d, accepted from operator-%d", baseRevision+1, 1-i)) && strings.Contains(r.stderr, "Classes"), r.stderr)
			}
		}
		assert.Equal(t, acceptedChanges, 1, "%+v", results)
		baseRevision++
		s.eventually(propagationLimit, "all processes use the new revision", func() error {
			lowest, err := monitor.lowestRevision(processes)
			if err == nil && lowest < baseRevision {
				err = fmt.Errorf("revision %d, want %d", lowest, baseRevision)
			}
			return err
		})
		slowestPropagation = max(slowestPropagation, time.Since(acceptedAt))
		assert.Equal(t, monitor.violation, "")
	}
	for range 4 {
		raceOperators([2]*process{s.entries[0], s.entries[1]})
	}
	// Replace an entry and an agent; the agent is replaced while the store is down.
	s.entries[2].kill()
	s.entries = s.entries[:2]
	s.setStoreFaults(faker.StoreSwitches{Down: true})
	s.agents[0].kill()
	newAgent := s.startAgent("montreal-0", montreal, s.workers[0])
	processes = append(append([]*process{}, s.entries...), s.agents[1], newAgent)
	s.eventually(10*time.Second, "the new agent has the revision without the store", func() error {
		lowest, err := monitor.lowestRevision(processes)
		if err == nil && lowest != baseRevision {
			err = fmt.Errorf("revision %d", lowest)
		}
		return err
	})
	s.setStoreFaults(faker.StoreSwitches{})
	processes = append(processes, s.startEntry(montreal))
	s.eventually(10*time.Second, "the new entry has the revision", func() error {
		lowest, err := monitor.lowestRevision(processes)
		if err == nil && lowest != baseRevision {
			err = fmt.Errorf("revision %d", lowest)
		}
		return err
	})
	for range 2 {
		raceOperators([2]*process{s.entries[1], s.entries[2]})
	}
	t.Logf("6 races of two operators; slowest propagation to all entries and agents took %v", slowestPropagation)
}
