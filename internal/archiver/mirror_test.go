package archiver_test

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"
	"gotest.tools/v3/assert"

	"persimmontrail/internal/archiver"
)

// fakeStore returns an empty store on which no watch sees a change. Tests replace some of its functions.
func fakeStore() *archiver.Store {
	return &archiver.Store{
		Get: func(context.Context, string) (archiver.Item, error) { return archiver.Item{}, archiver.ErrNotFound },
		Range: func(context.Context, string, string) ([]archiver.Item, bool, archiver.Revision, error) {
			return nil, false, 1, nil
		},
		Watch: func(ctx context.Context, _ string, after archiver.Revision, wait time.Duration) ([]archiver.Event, archiver.Revision, error) {
			select {
			case <-ctx.Done():
				return nil, 0, archiver.ErrUnavailable
			case <-time.After(wait):
				return nil, after, nil
			}
		},
	}
}

// startMirror runs m until the test ends.
func startMirror(t *testing.T, m *archiver.Mirror) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		m.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

// TestMirrorRecoversFromHungRead guards against a mirror that stops for good when a read hangs on a dead connection.
func TestMirrorRecoversFromHungRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := fakeStore()
		var readCalls atomic.Int32
		s.Range = func(ctx context.Context, _, _ string) ([]archiver.Item, bool, archiver.Revision, error) {
			if readCalls.Add(1) == 1 {
				<-ctx.Done()
				return nil, false, 0, archiver.ErrUnavailable
			}
			return []archiver.Item{{Key: "a", Value: []byte("1"), Revision: 5}}, false, 5, nil
		}
		m := &archiver.Mirror{Store: s, Log: log.New(io.Discard)}
		startMirror(t, m)
		time.Sleep(5 * time.Second)
		i, ok := m.Get("a")
		assert.Assert(t, ok)
		assert.Equal(t, string(i.Value), "1")
		assert.Assert(t, !m.Disconnected())
	})
}

// TestMirrorKeepsNewestRevision guards against a page of a read that overwrites a newer event, since the pages are not
// a consistent snapshot, and against a key that stays in the mirror because it was removed while the watch history was
// unavailable.
func TestMirrorKeepsNewestRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := fakeStore()
		var readCalls, watchCalls atomic.Int32
		s.Range = func(context.Context, string, string) ([]archiver.Item, bool, archiver.Revision, error) {
			if readCalls.Add(1) == 1 {
				return []archiver.Item{{Key: "a", Revision: 3}, {Key: "b", Revision: 2}}, false, 3, nil
			}
			return []archiver.Item{{Key: "a", Value: []byte("old"), Revision: 3}}, false, 9, nil
		}
		watch := s.Watch
		s.Watch = func(ctx context.Context, p string, after archiver.Revision, wait time.Duration) ([]archiver.Event, archiver.Revision, error) {
			switch watchCalls.Add(1) {
			case 1:
				return []archiver.Event{{Item: archiver.Item{Key: "a", Value: []byte("new"), Revision: 7}}}, 7, nil
			case 2:
				return nil, 0, archiver.ErrCompacted
			}
			return watch(ctx, p, after, wait)
		}
		var removed []string
		m := &archiver.Mirror{Store: s, Log: log.New(io.Discard), Changed: func(e archiver.Event) {
			if e.Removed {
				removed = append(removed, e.Key)
			}
		}}
		startMirror(t, m)
		time.Sleep(time.Second)
		i, ok := m.Get("a")
		assert.Assert(t, ok)
		assert.Equal(t, string(i.Value), "new")
		_, ok = m.Get("b")
		assert.Assert(t, !ok)
		assert.DeepEqual(t, removed, []string{"b"})
	})
}

// TestMirrorNotConfirmedByErrors guards against an error response from the store that counts as confirmation that the
// mirror is up to date.
func TestMirrorNotConfirmedByErrors(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := fakeStore()
		s.Range = func(context.Context, string, string) ([]archiver.Item, bool, archiver.Revision, error) {
			return nil, false, 0, errors.Join(archiver.ErrUnavailable, errors.New("status 503"))
		}
		m := &archiver.Mirror{Store: s, Log: log.New(io.Discard)}
		startMirror(t, m)
		time.Sleep(3 * time.Second)
		assert.Assert(t, m.Confirmed().IsZero())
		assert.Assert(t, m.Disconnected())
	})
}

// TestMirrorBatchesChanges guards against a watch call by every entry for each write of the leader: with ten entries
// and twenty writes per second, these were most of the store calls in the simulation of a day with a larger fleet.
func TestMirrorBatchesChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const writeInterval = 100 * time.Millisecond
		var watchCalls atomic.Int32
		start := time.Now()
		currentRevision := func() archiver.Revision { return archiver.Revision(time.Since(start)/writeInterval) + 1 }
		s := fakeStore()
		s.Watch = func(ctx context.Context, _ string, after archiver.Revision, _ time.Duration) ([]archiver.Event, archiver.Revision, error) {
			watchCalls.Add(1)
			for currentRevision() <= after && ctx.Err() == nil {
				time.Sleep(writeInterval)
			}
			if ctx.Err() != nil {
				return nil, 0, archiver.ErrUnavailable
			}
			return []archiver.Event{{Item: archiver.Item{Key: "a", Revision: currentRevision()}}}, currentRevision(), nil
		}
		m := &archiver.Mirror{Store: s, Log: log.New(io.Discard), BatchDelay: func() time.Duration { return time.Second }}
		startMirror(t, m)
		time.Sleep(10 * time.Second)
		assert.Assert(t, watchCalls.Load() <= 11, "%d watches", watchCalls.Load())
		i, _ := m.Get("a")
		assert.Assert(t, currentRevision()-i.Revision <= 11, "%d of %d", i.Revision, currentRevision())
	})
}

// TestMirrorIgnoresLateItemOfRemovedKey guards against a key that operators or the leader have removed and that a late
// message of another process brings back: the mirror's watch does not report the removal again.
func TestMirrorIgnoresLateItemOfRemovedKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := fakeStore()
		s.Range = func(context.Context, string, string) ([]archiver.Item, bool, archiver.Revision, error) {
			return []archiver.Item{{Key: "kept", Revision: 3}, {Key: "removed", Revision: 4}}, false, 10, nil
		}
		watch := s.Watch
		var watchCalls atomic.Int32
		s.Watch = func(ctx context.Context, p string, after archiver.Revision, wait time.Duration) ([]archiver.Event, archiver.Revision, error) {
			if watchCalls.Add(1) == 1 {
				return []archiver.Event{{Item: archiver.Item{Key: "removed", Revision: 12}, Removed: true}}, 12, nil
			}
			return watch(ctx, p, after, wait)
		}
		m := &archiver.Mirror{Store: s, Log: log.New(io.Discard)}
		m.Merge(archiver.Item{Key: "before the load", Revision: 2})
		startMirror(t, m)
		time.Sleep(time.Second)
		for _, late := range []archiver.Item{{Key: "removed", Revision: 4}, {Key: "removed before the load", Revision: 9}} {
			m.Merge(late)
			_, ok := m.Get(late.Key)
			assert.Assert(t, !ok, late.Key)
		}
		m.Merge(archiver.Item{Key: "removed", Revision: 13})
		_, ok := m.Get("removed")
		assert.Assert(t, ok, "a new item of the key")
		_, ok = m.Get("before the load")
		assert.Assert(t, !ok)
	})
}

// TestMirrorFindsStoreSoonAfterSilence guards against a mirror that learns of the end of an outage late: a call that was
// sent during the outage hangs until its timeout, also when the store is long back. Until the mirror knows, submissions
// are refused. The watch goes on where it ended, since reading all documents again would load the store that has just
// come back.
func TestMirrorFindsStoreSoonAfterSilence(t *testing.T) {
	for _, outageEnd := range []time.Duration{5 * time.Second, 5300 * time.Millisecond, 5950 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			start := time.Now()
			silent := func(ctx context.Context) bool {
				if since := time.Since(start); since < 2*time.Second || since >= outageEnd {
					return false
				}
				<-ctx.Done()
				return true
			}
			s := fakeStore()
			var readCalls atomic.Int32
			s.Range = func(context.Context, string, string) ([]archiver.Item, bool, archiver.Revision, error) {
				readCalls.Add(1)
				return nil, false, 7, nil
			}
			watch := s.Watch
			s.Watch = func(ctx context.Context, p string, after archiver.Revision, wait time.Duration) ([]archiver.Event, archiver.Revision, error) {
				ctx, cancel := context.WithTimeout(ctx, wait+700*time.Millisecond)
				defer cancel()
				if silent(ctx) {
					return nil, 0, archiver.ErrUnavailable
				}
				if time.Since(start) > outageEnd && after < 9 {
					return []archiver.Event{{Item: archiver.Item{Key: "a", Revision: 9}}}, 9, nil
				}
				return watch(ctx, p, after, wait)
			}
			s.Get = func(ctx context.Context, _ string) (archiver.Item, error) {
				if silent(ctx) {
					return archiver.Item{}, archiver.ErrUnavailable
				}
				return archiver.Item{}, archiver.ErrNotFound
			}
			m := &archiver.Mirror{Store: s, Log: log.New(io.Discard)}
			startMirror(t, m)
			time.Sleep(outageEnd - time.Millisecond)
			assert.Assert(t, m.Disconnected())
			time.Sleep(201 * time.Millisecond)
			assert.Assert(t, !m.Disconnected())
			assert.Assert(t, time.Since(m.Confirmed()) <= 200*time.Millisecond)
			_, ok := m.Get("a")
			assert.Assert(t, ok)
			assert.Equal(t, readCalls.Load(), int32(1))
		})
	}
}
