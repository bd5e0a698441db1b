package keeper_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"persimmontrail/internal/faker"
	"persimmontrail/internal/keeper"
	"persimmontrail/pkg/descriptor"
)

// newClient returns a client of the fake store. Each client stands for a separate process.
func newClient(s *faker.Store) *keeper.Store {
	return keeper.NewHTTPStoreWithClient("http://store", &http.Client{Transport: faker.Transport{Handler: s}})
}

// runInBubble runs f in a synctest bubble, that is, with virtual time. The context of f ends after a minute.
func runInBubble(t *testing.T, f func(ctx context.Context)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		f(ctx)
	})
}

// loseByPattern returns a LoseWrite function that loses the responses to writes in a repeating pattern.
func loseByPattern(pattern []bool) func() bool {
	n := 0
	return func() bool {
		n++
		return len(pattern) > 0 && pattern[n%len(pattern)]
	}
}

var keyA = descriptor.JobKey{Workspace: "w", Job: "a"}

func newJob(id string) keeper.JobRecord {
	return keeper.JobRecord{Job: descriptor.Job{ID: descriptor.JobID(id), Workspace: "w", Class: "Draft", Tasks: 1}}
}

// TestChangesAreAppliedExactlyOnce guards against changes that are lost or applied twice when responses are lost while
// several writers change the same document.
func TestChangesAreAppliedExactlyOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		pattern := rapid.SliceOfN(rapid.Bool(), 2, 6).Draw(rt, "lost")
		pattern[0] = false // At least one response in each repetition arrives.
		slow := rapid.SampledFrom([]time.Duration{0, 5 * time.Millisecond, 900 * time.Millisecond}).Draw(rt, "slow")
		writerCount := rapid.IntRange(1, 4).Draw(rt, "writers")
		changesPerWriter := rapid.IntRange(1, 5).Draw(rt, "changes")
		var got keeper.JobRecord
		errs := make(chan error, 1+writerCount*changesPerWriter)
		runInBubble(t, func(ctx context.Context) {
			fake := &faker.Store{}
			first := keeper.Jobs{Store: newClient(fake), Region: "qc-sud"}
			r, err := first.Accept(ctx, newJob("a"))
			errs <- err
			fake.LoseWrite = loseByPattern(pattern)
			fake.UpdateSwitches(func(s *faker.StoreSwitches) { s.Slow = descriptor.Duration(slow) })
			var wg sync.WaitGroup
			for range writerCount {
				jobs := keeper.Jobs{Store: newClient(fake), Region: "qc-sud"}
				for range changesPerWriter {
					wg.Go(func() {
						_, err := jobs.Change(ctx, r.Job.Key(), func(r *keeper.JobRecord) error { r.Attempt++; return nil })
						errs <- err
					})
				}
			}
			wg.Wait()
			fake.UpdateSwitches(func(s *faker.StoreSwitches) { s.Slow = 0 })
			got, err = first.Get(ctx, r.Job.Key())
			if err != nil {
				errs <- err
			}
		})
		close(errs)
		for err := range errs {
			assert.NilError(rt, err)
		}
		assert.Equal(rt, int(got.Attempt), writerCount*changesPerWriter)
	})
}

// TestConcurrentClaimsGiveOneOwner guards against two owners of one claim, and against a claimant that does not
// recognise its own claim when it repeats it.
func TestConcurrentClaimsGiveOneOwner(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		pattern := rapid.SliceOfN(rapid.Bool(), 2, 5).Draw(rt, "lost")
		pattern[0] = false
		claimantCount := rapid.IntRange(2, 6).Draw(rt, "claimants")
		type outcome struct {
			stored keeper.ClaimRecord
			owned  bool
			err    error
		}
		outcomes := make([]outcome, claimantCount)
		runInBubble(t, func(ctx context.Context) {
			fake := &faker.Store{LoseWrite: loseByPattern(pattern)}
			var wg sync.WaitGroup
			for i := range outcomes {
				claims := keeper.Claims{Store: newClient(fake)}
				wg.Go(func() {
					o := &outcomes[i]
					r := keeper.ClaimRecord{Workspace: "w", ID: "quote", Owner: fmt.Sprint("entry-", i)}
					o.stored, o.owned, o.err = claims.Claim(ctx, r)
					if _, owned, err := claims.Claim(ctx, r); owned != o.owned || err != nil {
						o.err = errors.Join(o.err, fmt.Errorf("repeated claim: owned %v, then %v, %w", o.owned, owned, err))
					}
				})
			}
			wg.Wait()
		})
		ownerCount := 0
		for _, o := range outcomes {
			assert.NilError(rt, o.err)
			assert.Equal(rt, o.stored.Owner, outcomes[0].stored.Owner)
			if o.owned {
				ownerCount++
			}
		}
		assert.Equal(rt, ownerCount, 1)
	})
}

// TestEpochGrowsWithEveryHolder guards against a second holder before a term has ended, and against a new holder whose
// epoch is not higher than all earlier ones.
func TestEpochGrowsWithEveryHolder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		pattern := rapid.SliceOfN(rapid.Bool(), 2, 5).Draw(rt, "lost")
		pattern[0] = false
		steps := rapid.SliceOfN(rapid.IntRange(0, 8), 5, 30).Draw(rt, "steps")
		var failure string
		runInBubble(t, func(ctx context.Context) {
			fake := &faker.Store{LoseWrite: loseByPattern(pattern)}
			var terms [3]*keeper.Term
			for i := range terms {
				terms[i] = &keeper.Term{Store: newClient(fake), Region: "r", Entry: descriptor.EntryID(fmt.Sprint(i))}
			}
			var highest descriptor.Epoch
			holder, acquireCount := -1, 0
			for _, n := range steps { // Operation n/3 (acquire, wait, release) of entry n%3.
				i := n % 3
				switch n / 3 {
				case 0:
					epoch, err := terms[i].Acquire(ctx, 3*time.Second)
					if err != nil {
						continue
					}
					acquireCount++
					if epoch < highest || epoch == highest && i != holder {
						failure = fmt.Sprintf("entry %d got epoch %d after entry %d had %d", i, epoch, holder, highest)
					}
					if o := terms[max(holder, 0)]; holder >= 0 && holder != i && time.Now().Before(o.Expiry()) {
						failure = fmt.Sprintf("entry %d took the term of entry %d", i, holder)
					}
					highest, holder = epoch, i
				case 1:
					time.Sleep(2 * time.Second)
				case 2:
					_ = terms[i].Release(ctx) // A lost response gives an error; the lease then expires.
				}
			}
			// The first step must acquire the term if the response to its first write arrives.
			if steps[0] < 3 && acquireCount == 0 && !pattern[1] {
				failure = "no entry acquired the term"
			}
		})
		assert.Equal(rt, failure, "")
	})
}

// TestConcurrentReplaceAcceptsEachRevisionOnce guards against two operators who both replace the same revision, against
// an accepted change that is lost, and against a repeated change that is accepted again.
func TestConcurrentReplaceAcceptsEachRevisionOnce(t *testing.T) {
	runInBubble(t, func(ctx context.Context) {
		fake := &faker.Store{}
		fake.UpdateSwitches(func(s *faker.StoreSwitches) { s.LoseAnswers = 0.5 })
		var wg sync.WaitGroup
		var mu sync.Mutex
		accepted := map[descriptor.Revision]string{}
		for i := range 5 {
			c := keeper.Configurations{Store: newClient(fake)}
			wg.Go(func() {
				for n := 0; n < 4; {
					id := fmt.Sprint(i, "-", n)
					current, err := c.Read(ctx)
					assert.Check(t, err)
					got, err := c.Replace(ctx, &descriptor.Configuration{}, current.Revision, id, id)
					if errors.Is(err, keeper.ErrRevisionChanged) {
						assert.Check(t, got.Revision > current.Revision)
						continue
					}
					assert.Check(t, err)
					mu.Lock()
					assert.Check(t, accepted[got.Revision] == "", "revision %d given to %s and %s", got.Revision, accepted[got.Revision], id)
					accepted[got.Revision] = id
					mu.Unlock()
					n++
				}
			})
		}
		wg.Wait()
		c := keeper.Configurations{Store: newClient(fake)}
		last, err := c.Read(ctx)
		assert.NilError(t, err)
		assert.Equal(t, int(last.Revision), 20)
		assert.Equal(t, accepted[last.Revision], last.AcceptedBy)
		repeated, err := c.Replace(ctx, &descriptor.Configuration{}, 2, "x", accepted[3])
		assert.NilError(t, err)
		assert.Equal(t, int(repeated.Revision), 3)
	})
}

// TestWriteErrorsMatchStoredState guards against an error that guarantees no effect although the write takes effect
// later, and against errors that are returned late.
func TestWriteErrorsMatchStoredState(t *testing.T) {
	tests := []struct {
		name          string
		switches      faker.StoreSwitches
		loseResponses bool
		want          error
		maxDuration   time.Duration
	}{
		{name: "down", switches: faker.StoreSwitches{Down: true}, want: keeper.ErrUnavailable, maxDuration: 50 * time.Millisecond},
		{name: "slow", switches: faker.StoreSwitches{Slow: descriptor.Duration(5 * time.Second)}, want: keeper.ErrUnavailable, maxDuration: time.Second},
		{name: "over the rate limit", switches: faker.StoreSwitches{WritesPerSecond: 0.5}, want: keeper.ErrRateLimited, maxDuration: 3 * time.Second},
		{name: "every response lost", loseResponses: true, maxDuration: 50 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runInBubble(t, func(ctx context.Context) {
				fake := &faker.Store{LoseWrite: func() bool { return tt.loseResponses }}
				fake.UpdateSwitches(func(s *faker.StoreSwitches) { *s = tt.switches })
				jobs := keeper.Jobs{Store: newClient(fake), Region: "r"}
				start := time.Now()
				_, err := jobs.Accept(ctx, newJob("a"))
				assert.Assert(t, errors.Is(err, tt.want), "%v", err)
				assert.Assert(t, time.Since(start) <= tt.maxDuration, "took %s", time.Since(start))
				fake.UpdateSwitches(func(s *faker.StoreSwitches) { *s = faker.StoreSwitches{} })
				time.Sleep(10 * time.Second)
				records, err := jobs.All(ctx)
				assert.NilError(t, err)
				assert.Equal(t, len(records) == 1, tt.want == nil)
			})
		})
	}
}

// TestCancelledWriteHasUnknownOutcome guards against ErrUnavailable for a caller whose context ends during a slow write
// that takes effect later.
func TestCancelledWriteHasUnknownOutcome(t *testing.T) {
	runInBubble(t, func(ctx context.Context) {
		fake := &faker.Store{}
		s := newClient(fake)
		put := s.Put
		s.Put = func(ctx context.Context, key string, data []byte, expect keeper.Version, lease keeper.LeaseID) (keeper.Version, error) {
			fake.UpdateSwitches(func(s *faker.StoreSwitches) { s.Slow = descriptor.Duration(4 * time.Second) })
			return put(ctx, key, data, expect, lease)
		}
		shortCtx, cancel := context.WithTimeout(ctx, 500*time.Millisecond)
		defer cancel()
		jobs := keeper.Jobs{Store: s, Region: "r"}
		_, err := jobs.Accept(shortCtx, newJob("a"))
		assert.Assert(t, errors.Is(err, keeper.ErrOutcomeUnknown), "%v", err)
		time.Sleep(20 * time.Second)
		fake.UpdateSwitches(func(s *faker.StoreSwitches) { s.Slow = 0 })
		_, err = jobs.Get(ctx, keyA)
		assert.NilError(t, err)
	})
}

// TestWritesOfOneDocumentAreBatched guards against one store write per change, and against a burst of changes that
// takes more than two batch intervals.
func TestWritesOfOneDocumentAreBatched(t *testing.T) {
	runInBubble(t, func(ctx context.Context) {
		claims := keeper.Claims{Store: newClient(&faker.Store{})}
		start := time.Now()
		var wg sync.WaitGroup
		for i := range 500 {
			r := keeper.ClaimRecord{Workspace: "w", ID: descriptor.RequestID(fmt.Sprint(i)), Owner: "e"}
			wg.Go(func() {
				_, owned, err := claims.Claim(ctx, r)
				assert.Check(t, err == nil && owned, "%v", err)
			})
		}
		wg.Wait()
		puts := claims.Store.Calls()[keeper.CallPut]
		assert.Assert(t, puts <= 128, "%d writes for 500 claims in 64 documents", puts)
		assert.Assert(t, time.Since(start) <= 40*time.Millisecond, "%s", time.Since(start))
	})
}

// TestFullDocumentRejectsOnlyNewRecords guards against new records that fill a document up to the store's limit, after
// which none of its jobs could be changed.
func TestFullDocumentRejectsOnlyNewRecords(t *testing.T) {
	runInBubble(t, func(ctx context.Context) {
		fake := &faker.Store{}
		jobs := keeper.Jobs{Store: newClient(fake), Region: "r"}
		var last descriptor.JobKey
		rejected := 0
		for i := range 80 {
			r := newJob(fmt.Sprint(i))
			r.Job.Payload = bytes.Repeat([]byte("x"), 200_000)
			_, err := jobs.Accept(ctx, r)
			if err == nil {
				last = r.Job.Key()
				continue
			}
			assert.Assert(t, errors.Is(err, keeper.ErrTooLarge), "%v", err)
			rejected++
		}
		assert.Assert(t, rejected > 0 && fake.Stats().LargestValue <= 900_000)
		_, err := jobs.Change(ctx, last, func(r *keeper.JobRecord) error {
			r.State, r.Reason = keeper.JobEnded, strings.Repeat("x", 1000)
			return nil
		})
		assert.NilError(t, err)
	})
}

// TestEndedRecordsAreDeletedAfterADay guards against records that are never deleted, and against outcomes that are
// deleted too early or overwritten.
func TestEndedRecordsAreDeletedAfterADay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		s := newClient(&faker.Store{})
		claims := keeper.Claims{Store: s}
		claimAs := func(owner string) bool {
			_, owned, err := claims.Claim(ctx, keeper.ClaimRecord{Workspace: "w", ID: "q", Owner: owner})
			assert.NilError(t, err)
			return owned
		}
		assert.Assert(t, claimAs("a"))
		assert.NilError(t, claims.Finish(ctx, "w", "q", "a", descriptor.ResultUnknown, ""))
		time.Sleep(48 * time.Hour)
		assert.Assert(t, !claimAs("b"), "claim with an unknown outcome was replaced")
		assert.NilError(t, claims.Finish(ctx, "w", "q", "a", descriptor.ResultDone, ""))
		assert.NilError(t, claims.Finish(ctx, "w", "q", "a", descriptor.ResultNotRun, ""))
		r, err := claims.Lookup(ctx, "w", "q")
		assert.NilError(t, err)
		assert.Equal(t, r.Result, descriptor.ResultDone)
		time.Sleep(23 * time.Hour)
		assert.Assert(t, !claimAs("b"))
		time.Sleep(2 * time.Hour)
		assert.Assert(t, claimAs("c"))

		jobs := keeper.Jobs{Store: s, Region: "r"}
		_, err = jobs.Accept(ctx, newJob("a"))
		assert.NilError(t, err)
		_, err = jobs.Change(ctx, keyA, func(r *keeper.JobRecord) error { r.State = keeper.JobEnded; return nil })
		assert.NilError(t, err)
		repeated, err := jobs.Accept(ctx, newJob("a"))
		assert.NilError(t, err)
		assert.Equal(t, repeated.State, keeper.JobEnded)
		time.Sleep(25 * time.Hour)
		repeated, err = jobs.Accept(ctx, newJob("a"))
		assert.NilError(t, err)
		assert.Equal(t, repeated.State, keeper.JobQueued)
		differentJob := newJob("a")
		differentJob.Job.Tasks = 2
		_, err = jobs.Accept(ctx, differentJob)
		assert.Assert(t, errors.Is(err, keeper.ErrJobExists), "%v", err)
	})
}

// TestWatchReturnsChanges guards against a watch that misses a change, and against one that polls in short intervals
// instead of using long polls.
func TestWatchReturnsChanges(t *testing.T) {
	runInBubble(t, func(ctx context.Context) {
		s := newClient(&faker.Store{})
		c := keeper.Configurations{Store: s}
		start := time.Now()
		var writer sync.WaitGroup
		// The watch can return before the writer has its answer, and the context is cancelled at the end of the test.
		defer writer.Wait()
		writer.Go(func() {
			time.Sleep(5 * time.Second)
			_, err := c.Replace(ctx, &descriptor.Configuration{}, 0, "op", "1")
			assert.Check(t, err)
		})
		got, _, err := c.Watch(ctx, 0)
		assert.NilError(t, err)
		assert.Equal(t, int(got.Revision), 1)
		assert.Equal(t, time.Since(start), 5*time.Second)
		assert.Equal(t, int(s.Calls()[keeper.CallWatch]), 3)
	})
}

// TestOutcomeOfBrokenConnections guards against a refused connection that is reported as an unknown outcome, and
// against a lost response that is reported as a write without effect.
func TestOutcomeOfBrokenConnections(t *testing.T) {
	fake := &faker.Store{LoseWrite: func() bool { return true }}
	server := httptest.NewServer(fake)
	s := keeper.NewHTTPStore(server.URL)
	_, err := s.Put(t.Context(), "a", []byte("{}"), 0, "")
	assert.Assert(t, errors.Is(err, keeper.ErrOutcomeUnknown), "%v", err)
	_, v, err := s.Get(t.Context(), "a")
	assert.NilError(t, err)
	assert.Equal(t, int(v), 1)
	server.Close()
	// A new client is needed: with an idle connection whose end is not yet detected, the outcome would be unknown.
	_, err = keeper.NewHTTPStore(server.URL).Put(t.Context(), "b", []byte("{}"), 0, "")
	assert.Assert(t, errors.Is(err, keeper.ErrUnavailable), "%v", err)
	assert.Equal(t, int(fake.Stats().Calls["Put"]), 1)
}

// TestLateOutcomeDoesNotEndLaterClaim guards against the late outcome of an earlier claim that ends a later one: a
// retry after NotRun would then be reported as NotRun while it runs.
func TestLateOutcomeDoesNotEndLaterClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx := t.Context()
		claims := keeper.Claims{Store: newClient(&faker.Store{})}
		claimAs := func(owner string) bool {
			_, owned, err := claims.Claim(ctx, keeper.ClaimRecord{Workspace: "w", ID: "q", Owner: owner})
			assert.NilError(t, err)
			return owned
		}
		assert.Assert(t, claimAs("a"))
		assert.NilError(t, claims.Finish(ctx, "w", "q", "a", descriptor.ResultNotRun, "agent is leaving"))
		assert.Assert(t, claimAs("b"), "claim that ended as NotRun was not replaced")
		assert.NilError(t, claims.Finish(ctx, "w", "q", "a", descriptor.ResultNotRun, "repeated"))
		r, err := claims.Lookup(ctx, "w", "q")
		assert.NilError(t, err)
		assert.Equal(t, r.Result, descriptor.Result(""))
	})
}
