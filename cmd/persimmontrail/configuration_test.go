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

// inForceLimit is how soon an accepted configuration must be in force everywhere.
const inForceLimit = 4 * time.Second

// revisionOf returns the revision that an entry or agent holds.
func revisionOf(p *process) (descriptor.Revision, error) {
	if p.name == "entry" {
		var status coordinator.Status
		err := get(p.http+"/v1/status", &status)
		return status.Revision, err
	}
	var state struct{ Snapshot enforcer.Snapshot }
	err := get(p.http+"/v1/state", &state)
	return state.Snapshot.Revision, err
}

// revisions watches that no process goes back to an older revision.
type revisions struct {
	mu    sync.Mutex
	seen  map[*process]descriptor.Revision
	fault string
}

// read returns the lowest revision of the processes.
func (v *revisions) read(list []*process) (lowest descriptor.Revision, err error) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for i, p := range list {
		r, err := revisionOf(p)
		if err != nil {
			return 0, err
		}
		if r < v.seen[p] {
			v.fault = fmt.Sprintf("%s %s goes from revision %d to %d", p.name, p.http, v.seen[p], r)
		}
		v.seen[p] = r
		if i == 0 || r < lowest {
			lowest = r
		}
	}
	return lowest, nil
}

// Guards against two operators who both win or both lose, a loser who is not told
// what changed, a change that is late on an agent, and a process that goes back to
// an older revision, while the store loses every second answer and processes are
// replaced. Fails when Configurations.Replace does not compare the revision.
func TestConfigurationUnderFaults(t *testing.T) {
	t.Parallel()
	s := threeEntries(t, 1)
	watched := &revisions{seen: map[*process]descriptor.Revision{}}
	all := append(append([]*process{}, s.entries...), s.agents...)
	s.switchStore(faker.StoreSwitches{LoseAnswers: 0.5})
	base := descriptor.Revision(1)
	var slowest time.Duration
	round := func(entries [2]*process) {
		t.Helper()
		winners := 0
		var accepted time.Time
		results := [2]struct {
			code           int
			stdout, stderr string
		}{}
		var operators sync.WaitGroup
		for i := range 2 {
			cfg := testConfiguration()
			cfg.Revision = base
			cfg.Classes[0].FinishWithin = descriptor.Duration(time.Duration(8+2*int(base)+i) * time.Second)
			data, err := json.Marshal(cfg)
			assert.NilError(t, err)
			file := filepath.Join(t.TempDir(), "deployment.json")
			assert.NilError(t, os.WriteFile(file, data, 0o600))
			operators.Go(func() {
				r := &results[i]
				r.code, r.stdout, r.stderr = s.run("apply", "--entry", entries[i].http, "--operator", fmt.Sprint("operator-", i), file)
			})
		}
		operators.Wait()
		accepted = time.Now()
		for i, r := range results {
			switch {
			case r.code == 0 && strings.Contains(r.stdout, coordinator.ChangeAccepted):
				winners++
			default:
				assert.Equal(t, r.code, 1, r.stdout+r.stderr)
				assert.Assert(t, strings.Contains(r.stderr, fmt.Sprintf("is at revision %d, accepted from operator-%d", base+1, 1-i)) && strings.Contains(r.stderr, "Classes"), r.stderr)
			}
		}
		assert.Equal(t, winners, 1, "%+v", results)
		base++
		s.eventually(inForceLimit, "the change is in force everywhere", func() error {
			lowest, err := watched.read(all)
			if err == nil && lowest < base {
				err = fmt.Errorf("revision %d, want %d", lowest, base)
			}
			return err
		})
		slowest = max(slowest, time.Since(accepted))
		assert.Equal(t, watched.fault, "")
	}
	for range 4 {
		round([2]*process{s.entries[0], s.entries[1]})
	}
	// An entry and an agent are replaced, one of them while the store is down.
	s.entries[2].kill()
	s.entries = s.entries[:2]
	s.switchStore(faker.StoreSwitches{Down: true})
	s.agents[0].kill()
	agent := s.startAgent("montreal-0", onePlace, s.workers[0])
	all = append(append([]*process{}, s.entries...), s.agents[1], agent)
	s.eventually(10*time.Second, "the new agent has the revision without the store", func() error {
		lowest, err := watched.read(all)
		if err == nil && lowest != base {
			err = fmt.Errorf("revision %d", lowest)
		}
		return err
	})
	s.switchStore(faker.StoreSwitches{})
	all = append(all, s.startEntry(onePlace))
	s.eventually(10*time.Second, "the new entry has the revision", func() error {
		lowest, err := watched.read(all)
		if err == nil && lowest != base {
			err = fmt.Errorf("revision %d", lowest)
		}
		return err
	})
	for range 2 {
		round([2]*process{s.entries[1], s.entries[2]})
	}
	t.Logf("6 races of two operators; slowest change in force on all entries and agents after %v", slowest)
}
