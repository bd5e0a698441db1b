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
	// termLeaseDuration is the duration of the store's lease on the term. Urgent work must start within 2.8 s even if
	// the scheduler has just failed, so another entry must be able to take over in less time.
	termLeaseDuration = 1200 * time.Millisecond
	termRenewInterval = 300 * time.Millisecond
	termRenewTimeout  = 250 * time.Millisecond
	// resignStartTimeout bounds the time for which a scheduler waits for starts in progress before it resigns. With the
	// takeover by another entry added, it stays below the 2.8 s within which urgent work must start.
	resignStartTimeout = time.Second
	resignPollInterval = 20 * time.Millisecond
	// actingEpochBits is the number of low bits of an epoch that count the terms begun without the store while it was
	// down. The bits above hold the number of the last term granted by the store.
	actingEpochBits = 16
)

// epochOfTerm returns the first epoch for a term number granted by the store.
func epochOfTerm(term descriptor.Epoch) descriptor.Epoch { return term << actingEpochBits }

// termLoop acquires and renews the region's term. While the store is down, the holder of the term continues; if it has
// failed, the live entry with the lowest id acts as scheduler. Agents reject messages of an older epoch, so two
// concurrent schedulers are safe. In a graceful shutdown, termLoop resigns and returns.
func (d *schedulingDuty) termLoop(ctx context.Context) {
	e := d.entry
	term := keeper.Term{Store: e.store, Region: e.settings.Region, Entry: e.settings.Name}
	var acting sync.WaitGroup
	defer acting.Wait()
	acting.Go(func() { d.actingLoop(ctx) })
	for {
		switch {
		case e.shuttingDown.Load() && d.waitsForStarts():
			time.Sleep(resignPollInterval)
			continue
		case e.shuttingDown.Load():
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
		case <-time.After(termRenewInterval):
		}
	}
}

// actingLoop calls actIfEligible at regular intervals. It is separate from termLoop because a call to an unresponsive
// store takes up to termLeaseDuration.
func (d *schedulingDuty) actingLoop(ctx context.Context) {
	t := time.NewTicker(termRenewInterval)
	defer t.Stop()
	var eligibleSince time.Time
	for {
		eligibleSince = d.actIfEligible(eligibleSince)
		select {
		case <-ctx.Done():
			return
		case <-d.resigning:
			return
		case <-t.C:
		}
	}
}

// waitsForStarts reports whether this scheduler must still wait for gangs that are being started before it resigns. It
// waits until at most resignStartTimeout after the graceful shutdown has begun, so that its successor finds each gang
// either running or not started. A scheduler whose term was not granted by the store does not wait.
func (d *schedulingDuty) waitsForStarts() bool {
	beganAt := d.entry.shutdownBeganAt.Load()
	return d.holdsTerm() && d.startingGangs.Load() > 0 && beganAt != nil && d.entry.now().Sub(*beganAt) < resignStartTimeout
}

func (d *schedulingDuty) renewTerm(ctx context.Context, term *keeper.Term) {
	ctx, cancel := context.WithTimeout(ctx, termRenewTimeout)
	defer cancel()
	err := term.Renew(ctx)
	if errors.Is(err, keeper.ErrLeaseLost) || errors.Is(err, keeper.ErrTermHeld) {
		d.deactivate("the term's lease was lost")
	}
}

func (d *schedulingDuty) acquireTerm(ctx context.Context, term *keeper.Term) {
	ctx, cancel := context.WithTimeout(ctx, termLeaseDuration)
	defer cancel()
	granted, err := term.Acquire(ctx, termLeaseDuration)
	if err != nil {
		return
	}
	d.activate(epochOfTerm(granted), true)
}

// actIfEligible makes this entry act as scheduler if it has been eligible for more than termRenewInterval. It is
// eligible while all of these hold: it is not the scheduler and not shutting down, the store is unreachable, this entry
// may issue permits, no live entry of the region says that it is the scheduler, and this entry has the lowest id of the
// region's live entries. The argument and the result are the time since which it has been eligible, or zero if it is
// not.
func (d *schedulingDuty) actIfEligible(eligibleSince time.Time) time.Time {
	e := d.entry
	now := e.now()
	if d.isActive() || e.shuttingDown.Load() || e.basis.storeReached(now) || e.basis.permit(now).ValidFor == 0 {
		return time.Time{}
	}
	live := e.peers.liveEntries(e.settings.Region, now)
	for _, p := range live {
		if p.Scheduler {
			return time.Time{}
		}
	}
	if len(live) == 0 || live[0].Entry != e.settings.Name {
		return time.Time{}
	}
	if eligibleSince.IsZero() {
		return now
	}
	// A peer counts as live for peerSilentTimeout, so the previous scheduler has already been silent for that long.
	if now.Sub(eligibleSince) > termRenewInterval {
		d.activate(d.highestEpochSeen()+1, false)
	}
	return eligibleSince
}

// resign stops scheduling in a graceful shutdown. The lease is not released, and another entry can take the term over
// only once it has expired: the release, which would let one take over at once, is skipped because holdsTerm returns
// false after deactivate.
func (d *schedulingDuty) resign(ctx context.Context, term *keeper.Term) {
	d.deactivate("the entry leaves")
	if d.holdsTerm() {
		ctx, cancel := context.WithTimeout(ctx, termLeaseDuration)
		defer cancel()
		if err := term.Release(ctx); err != nil {
			d.entry.log.Warn("failed to release term, it expires with its lease", "err", err)
		}
	}
	close(d.resigned)
}

// activate makes this entry the scheduler. Its epoch is the given one, or the next unused one if a newer or equal epoch
// has been seen.
func (d *schedulingDuty) activate(epoch descriptor.Epoch, grantedByStore bool) {
	d.mu.Lock()
	d.active = true
	d.grantedByStore = grantedByStore
	d.epoch = max(epoch, d.highestEpoch+1)
	d.highestEpoch = d.epoch
	epoch = d.epoch
	d.mu.Unlock()
	d.entry.log.Info("entry became scheduler", "region", d.entry.settings.Region, "epoch", epoch, "byStore", grantedByStore)
	d.entry.audit("region "+string(d.entry.settings.Region), "scheduler", "epoch "+formatEpoch(epoch))
	d.wake()
}

// deactivate makes this entry stop scheduling, if it is the scheduler.
func (d *schedulingDuty) deactivate(reason string) {
	d.mu.Lock()
	wasActive := d.active
	d.active = false
	d.mu.Unlock()
	if wasActive {
		d.entry.log.Info("entry is no longer scheduler", "reason", reason)
		d.entry.audit("region "+string(d.entry.settings.Region), "scheduler ends", reason)
		d.wake()
	}
}

// holdsTerm reports whether this entry is the scheduler under a term granted by the store.
func (d *schedulingDuty) holdsTerm() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.grantedByStore && d.active
}

// isActive reports whether this entry is the scheduler.
func (d *schedulingDuty) isActive() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.active
}

// highestEpochSeen returns the highest epoch of the region that this entry has used or received.
func (d *schedulingDuty) highestEpochSeen() descriptor.Epoch {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.highestEpoch
}

// observeEpoch records an epoch of the region. If this entry's term is outdated, it ends the term before it returns,
// so that the next answer to a peer does not claim that this entry is the scheduler.
func (d *schedulingDuty) observeEpoch(epoch descriptor.Epoch) {
	d.mu.Lock()
	d.highestEpoch = max(d.highestEpoch, epoch)
	outdated := d.active && d.highestEpoch > d.epoch
	d.mu.Unlock()
	if outdated {
		d.deactivate("another entry has a newer epoch")
	}
}

// activeEpoch returns whether this entry is the scheduler, and the epoch of its current or last term.
func (d *schedulingDuty) activeEpoch() (bool, descriptor.Epoch) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.active, d.epoch
}

// release makes the entry resign during a graceful shutdown, and waits until it has resigned or ctx is done.
func (d *schedulingDuty) release(ctx context.Context) {
	close(d.resigning)
	select {
	case <-d.resigned:
	case <-ctx.Done():
	}
}
