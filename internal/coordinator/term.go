package coordinator

import (
	"context"
	"errors"
	"sync"
	"time"

	"persimmontrail/internal/keeper"
	"persimmontrail/pkg/descriptor"
)

const (
	// termLifetime is the lease of the scheduling duty in the store. Urgent work
	// must start within 2.8 s also when the scheduler has just died, so another
	// entry has to take over in less.
	termLifetime = 1200 * time.Millisecond
	termInterval = 300 * time.Millisecond
	termTimeout  = 250 * time.Millisecond
	// startWait bounds how long a leaving scheduler waits for starts under way.
	// With the takeover it stays below the 2.8 s within which urgent work starts.
	startWait  = time.Second
	resignPoll = 20 * time.Millisecond
	// actingBits of an epoch number the schedulers that act while the store is
	// down; the bits above them are the term that the store granted.
	actingBits = 16
)

// epochOfTerm returns the first epoch of a term of the store.
func epochOfTerm(term descriptor.Epoch) descriptor.Epoch { return term << actingBits }

// termLoop acquires and renews the region's term. While the store is down the
// holder goes on, and if it is gone the first live entry acts in its place.
// Agents refuse the older epoch, so two schedulers at once break nothing.
func (d *schedulingDuty) termLoop(ctx context.Context) {
	e := d.entry
	term := keeper.Term{Store: e.store, Region: e.settings.Region, Entry: e.settings.Name}
	var acting sync.WaitGroup
	defer acting.Wait()
	acting.Go(func() { d.actingLoop(ctx) })
	for {
		switch {
		case e.leaving.Load() && d.finishesStarts():
			time.Sleep(resignPoll)
			continue
		case e.leaving.Load():
			d.resign(ctx, &term)
			return
		case d.holdsTerm():
			d.renewTerm(ctx, &term)
		default:
			d.acquireTerm(ctx, &term)
		}
		select {
		case <-ctx.Done():
			return
		case <-d.resigning:
		case <-time.After(termInterval):
		}
	}
}

// actingLoop checks whether this entry must act without the store. It runs
// beside termLoop, where a call to a store that does not answer takes up to termLifetime.
func (d *schedulingDuty) actingLoop(ctx context.Context) {
	t := time.NewTicker(termInterval)
	defer t.Stop()
	var silentSince time.Time
	for {
		silentSince = d.considerActing(silentSince)
		select {
		case <-ctx.Done():
			return
		case <-d.resigning:
			return
		case <-t.C:
		}
	}
}

// finishesStarts reports whether a leaving scheduler waits for gangs that are
// being started, so that its successor finds them running or not begun.
func (d *schedulingDuty) finishesStarts() bool {
	leavingAt := d.entry.leavingAt.Load()
	return d.holdsTerm() && d.starting.Load() > 0 && leavingAt != nil && d.entry.now().Sub(*leavingAt) < startWait
}

func (d *schedulingDuty) renewTerm(ctx context.Context, term *keeper.Term) {
	ctx, cancel := context.WithTimeout(ctx, termTimeout)
	defer cancel()
	err := term.Renew(ctx)
	if errors.Is(err, keeper.ErrLeaseLost) || errors.Is(err, keeper.ErrHeld) {
		d.deactivate("the term's lease was lost")
	}
}

func (d *schedulingDuty) acquireTerm(ctx context.Context, term *keeper.Term) {
	ctx, cancel := context.WithTimeout(ctx, termLifetime)
	defer cancel()
	granted, err := term.Acquire(ctx, termLifetime)
	if err != nil {
		return
	}
	d.activate(epochOfTerm(granted), true)
}

// considerActing makes this entry act as scheduler when the store has been out
// of reach and no scheduler was heard for peerSilentLimit, if it is the live
// entry of the region with the lowest id and may issue permits.
func (d *schedulingDuty) considerActing(silentSince time.Time) time.Time {
	e := d.entry
	now := e.now()
	if d.isActive() || e.leaving.Load() || e.basis.storeReached(now) || e.basis.permit(now).ValidFor == 0 {
		return time.Time{}
	}
	live := e.peers.live(e.settings.Region, now)
	for _, p := range live {
		if p.Scheduler {
			return time.Time{}
		}
	}
	if len(live) == 0 || live[0].Entry != e.settings.Name {
		return time.Time{}
	}
	if silentSince.IsZero() {
		return now
	}
	// A peer counts as live for peerSilentLimit, so the former scheduler has been silent for longer already.
	if now.Sub(silentSince) > termInterval {
		d.activate(d.epochSeen()+1, false)
	}
	return silentSince
}

func (d *schedulingDuty) resign(ctx context.Context, term *keeper.Term) {
	d.deactivate("the entry leaves")
	if d.holdsTerm() {
		ctx, cancel := context.WithTimeout(ctx, termLifetime)
		defer cancel()
		if err := term.Release(ctx); err != nil {
			d.entry.log.Warn("term not released, it lapses by itself", "err", err)
		}
	}
	close(d.resigned)
}

// activate starts a new term of this entry.
func (d *schedulingDuty) activate(epoch descriptor.Epoch, byStore bool) {
	d.mu.Lock()
	d.active = true
	d.term = byStore
	d.epoch = max(epoch, d.highest+1)
	d.highest = d.epoch
	epoch = d.epoch
	d.mu.Unlock()
	d.entry.log.Info("scheduler of the region", "region", d.entry.settings.Region, "epoch", epoch, "byStore", byStore)
	d.entry.audit("region "+string(d.entry.settings.Region), "scheduler", "epoch "+formatEpoch(epoch))
	d.wake()
}

func (d *schedulingDuty) deactivate(reason string) {
	d.mu.Lock()
	was := d.active
	d.active = false
	d.mu.Unlock()
	if was {
		d.entry.log.Info("no longer scheduler", "reason", reason)
		d.entry.audit("region "+string(d.entry.settings.Region), "scheduler ends", reason)
		d.wake()
	}
}

// holdsTerm reports whether the store granted the term to this entry and it was not given up since.
func (d *schedulingDuty) holdsTerm() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.term && d.active
}

func (d *schedulingDuty) isActive() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.active
}

// epochSeen returns the highest epoch of the region that this entry has seen.
func (d *schedulingDuty) epochSeen() descriptor.Epoch {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.highest
}

// observeEpoch takes over an epoch of the region. It returns after an outdated
// term has ended, so that the next answer to a peer does not call this entry the scheduler.
func (d *schedulingDuty) observeEpoch(epoch descriptor.Epoch) {
	d.mu.Lock()
	d.highest = max(d.highest, epoch)
	outdated := d.active && d.highest > d.epoch
	d.mu.Unlock()
	if outdated {
		d.deactivate("another entry has a newer epoch")
	}
}

// state returns whether the entry schedules, and its epoch.
func (d *schedulingDuty) state() (bool, descriptor.Epoch) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.active, d.epoch
}

// release gives up the duty during a graceful shutdown.
func (d *schedulingDuty) release(ctx context.Context) {
	close(d.resigning)
	select {
	case <-d.resigned:
	case <-ctx.Done():
	}
}
