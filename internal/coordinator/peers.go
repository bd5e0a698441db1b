package coordinator

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"persimmontrail/internal/keeper"
	"persimmontrail/internal/messenger"
	"persimmontrail/internal/registrar"
	"persimmontrail/pkg/descriptor"
)

const (
	peerExchangeInterval = 500 * time.Millisecond
	// peerCallTimeout bounds the wait for the answer of a peer. It is shorter than peerExchangeInterval, so an exchange
	// ends before the next one is due.
	peerCallTimeout = 400 * time.Millisecond
	// peerSilentTimeout is the time without a message or answer after which a peer no longer counts as live. Another
	// entry may then act as scheduler in its place, and it receives no forwarded requests.
	peerSilentTimeout = 1500 * time.Millisecond
)

// peers holds the last known state of the other entries, called peers, and this entry's roster membership.
type peers struct {
	entry *Entry

	mu sync.Mutex
	// roster is the newest roster known to this entry. It is kept during store outages.
	roster *registrar.Roster
	// renewedAt is the time at which the last successful renewal of the membership began.
	renewedAt time.Time
	// joinedSequence is the roster sequence number at which this entry joined.
	joinedSequence int64
	// joinedAt is the time at which the entry learned that it had joined, which is after the roster was written.
	joinedAt time.Time
	// leaving is true once the entry has begun to leave the roster, which is a step of a graceful shutdown.
	leaving bool
	// lastMessages holds the last message or answer of each peer, without its configuration.
	lastMessages map[descriptor.EntryID]receivedMessage
}

type receivedMessage struct {
	message    messenger.EntryState
	receivedAt time.Time
}

// confirmLoop confirms at regular intervals that the configuration is current, by reading the store or else by querying
// the other entries.
func (e *Entry) confirmLoop(ctx context.Context) {
	var reads sync.WaitGroup
	defer reads.Wait()
	t := time.NewTicker(confirmInterval)
	defer t.Stop()
	for {
		// A read that hangs must not delay the query to the peers.
		reads.Go(func() { e.confirmByStore(ctx) })
		if !e.basis.storeReached(e.now()) {
			e.peers.confirm(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// confirmByStore reads the configuration from the store, adopts it if it is newer, and records the confirmation.
func (e *Entry) confirmByStore(ctx context.Context) {
	began := e.now()
	cfg, err := e.configurationReader.Read(ctx)
	if err != nil {
		e.metrics.Increment("store_errors_total", "call", "configuration")
		return
	}
	if cfg.Revision > 0 {
		e.adopt(cfg)
		e.basis.confirm(cfg.Revision, began, true)
	}
	// The read entitles this entry to vote, so it is recorded only after the configuration it returned was adopted.
	e.basis.recordStoreRead(began)
}

// adopt replaces the configuration by cfg if cfg is newer.
func (e *Entry) adopt(cfg *descriptor.Configuration) {
	if !e.basis.adopt(cfg) {
		return
	}
	e.log.Info("configuration in force", "revision", cfg.Revision, "by", cfg.AcceptedBy)
	e.audit("configuration", "in force", "revision "+formatRevision(cfg.Revision)+" by "+cfg.AcceptedBy)
	e.configureRouter()
	e.duty.wake()
}

// configureRouter passes the newest configuration to the router. The lock prevents a concurrent adoption from passing
// an older one afterwards.
func (e *Entry) configureRouter() {
	now := e.now()
	e.routerMu.Lock()
	defer e.routerMu.Unlock()
	e.router.Configure(e.basis.configuration(), now)
}

// loop exchanges messages with the other entries every peerExchangeInterval and renews the roster membership every
// registrar.RenewInterval.
func (p *peers) loop(ctx context.Context) {
	var renewals sync.WaitGroup
	defer renewals.Wait()
	t := time.NewTicker(peerExchangeInterval)
	defer t.Stop()
	var nextRenewal time.Time
	for {
		if now := p.entry.now(); !now.Before(nextRenewal) {
			nextRenewal = now.Add(registrar.RenewInterval)
			renewals.Go(func() { p.renew(ctx) })
		}
		p.exchange(ctx)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// renew renews this entry's membership in the roster, or joins the roster if it does not list the entry. It does nothing
// once the entry has begun to leave the roster.
func (p *peers) renew(ctx context.Context) {
	began := p.entry.now()
	s := &p.entry.settings
	self := registrar.Member{
		Entry:         s.Name,
		Address:       p.entry.address,
		HTTPAddress:   p.entry.httpAddress,
		Region:        s.Region,
		FailureDomain: s.FailureDomain,
	}
	p.mu.Lock()
	var cachedSequence int64
	if p.roster != nil {
		cachedSequence = p.roster.Sequence
	}
	leaving := p.leaving
	p.mu.Unlock()
	if leaving {
		return
	}
	roster, err := keeper.Update(ctx, p.entry.store, registrar.StoreKey, "", registrar.RenewChange(self, cachedSequence, began))
	if err != nil {
		p.entry.metrics.Increment("store_errors_total", "call", "roster")
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.roster == nil || roster.Sequence >= p.roster.Sequence {
		p.roster = &roster
	}
	if began.After(p.renewedAt) {
		p.renewedAt = began
	}
	for _, m := range roster.Members {
		if m.Entry == s.Name && m.Joined > p.joinedSequence {
			p.joinedSequence = m.Joined
			p.joinedAt = p.entry.now()
		}
	}
}

// isVoter reports whether this entry may vote to confirm a revision. The entry must not have begun to leave the roster,
// must have renewed its membership within registrar.MaxVoteAge, and must have read the configuration from the store
// after it learned that it had joined the roster. A change accepted with a roster that does not list this entry was
// stored before the entry joined, so that read has returned it.
func (p *peers) isVoter(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	renewedRecently := !p.renewedAt.IsZero() && now.Sub(p.renewedAt) < registrar.MaxVoteAge
	return !p.leaving && renewedRecently && !p.joinedAt.IsZero() && p.entry.basis.hasReadSince(p.joinedAt)
}

// leave makes the entry stop voting and then removes it from the roster.
func (p *peers) leave(ctx context.Context) {
	p.mu.Lock()
	p.leaving = true
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	if _, err := keeper.Update(ctx, p.entry.store, registrar.StoreKey, "", registrar.LeaveChange(p.entry.settings.Name)); err != nil {
		p.entry.log.Warn("failed to leave roster", "err", err)
	}
}

// otherMembers returns the known roster members except this entry.
func (p *peers) otherMembers() []registrar.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.roster == nil {
		return nil
	}
	var members []registrar.Member
	for _, m := range p.roster.Members {
		if m.Entry != p.entry.settings.Name {
			members = append(members, m)
		}
	}
	return members
}

// ownState returns this entry's state without its configuration.
func (p *peers) ownState() messenger.EntryState {
	e := p.entry
	now := e.now()
	age, fromStore := e.basis.age(now)
	// The revision below must be read after isVoter is called, so that it is not lower than the one that entitles this
	// entry to vote.
	isVoter := p.isVoter(now)
	p.mu.Lock()
	leaving := p.leaving
	p.mu.Unlock()
	return messenger.EntryState{
		Entry:      e.settings.Name,
		Address:    e.address,
		Region:     e.settings.Region,
		Revision:   e.basis.revision(),
		StoreBasis: fromStore && age < permitLifetime,
		BasisAge:   age,
		Voter:      isVoter,
		Scheduler:  e.duty.isActive(),
		Epoch:      e.duty.highestEpochSeen(),
		Leaving:    leaving,
	}
}

// answer processes the message of a peer and returns this entry's own state.
func (p *peers) answer(question messenger.EntryState) messenger.EntryState {
	p.handleMessage(question)
	return p.ownStateFor(question.Revision)
}

// ownStateFor returns this entry's state for a peer that holds the given revision, with the configuration if that
// revision is older than this entry's.
func (p *peers) ownStateFor(revision descriptor.Revision) messenger.EntryState {
	m := p.ownState()
	if revision < m.Revision {
		m.Configuration = p.entry.basis.configuration()
	}
	return m
}

// handleMessage processes a message or answer of a peer: it adopts a newer configuration, observes the epoch if the
// peer is of the same region, and stores the message.
func (p *peers) handleMessage(m messenger.EntryState) {
	if m.Configuration != nil {
		p.entry.adopt(m.Configuration)
	}
	if m.Region == p.entry.settings.Region {
		// Each region numbers its epochs independently.
		p.entry.duty.observeEpoch(m.Epoch)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lastMessages == nil {
		p.lastMessages = map[descriptor.EntryID]receivedMessage{}
	}
	m.Configuration = nil
	p.lastMessages[m.Entry] = receivedMessage{message: m, receivedAt: p.entry.now()}
}

// exchange sends the entry's state to all other entries on the known roster. It processes the answers that arrive
// within peerCallTimeout with handleMessage, and returns them.
func (p *peers) exchange(ctx context.Context) []messenger.EntryState {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	members := p.otherMembers()
	answers := make(chan messenger.EntryState, len(members))
	var calls sync.WaitGroup
	for _, m := range members {
		calls.Go(func() {
			var a messenger.EntryState
			if err := p.entry.call(ctx, m.Address, messenger.KindPeer, p.ownStateFor(p.lastRevision(m.Entry)), &a); err != nil {
				return
			}
			p.handleMessage(a)
			answers <- a
		})
	}
	calls.Wait()
	close(answers)
	var received []messenger.EntryState
	for a := range answers {
		received = append(received, a)
	}
	return received
}

// lastRevision returns the revision in the last message of a peer, or 0 if it has sent none.
func (p *peers) lastRevision(id descriptor.EntryID) descriptor.Revision {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastMessages[id].message.Revision
}

// confirm confirms the configuration without the store: by the answer of a peer that holds the same revision and whose
// own confirmation is based on the store, or by the votes of a strict majority of the known roster, if this entry is
// one of the voters. It ends at an answer with a newer revision, without counting the votes.
func (p *peers) confirm(ctx context.Context) {
	e := p.entry
	began := e.now()
	answers := p.exchange(ctx)
	self := p.ownState()
	votes := map[descriptor.EntryID]bool{}
	if self.Voter {
		votes[self.Entry] = true
	}
	for _, a := range answers {
		if a.Revision > e.basis.revision() {
			// The held revision is outdated. This peer sends the newer configuration with its next message.
			return
		}
		if a.StoreBasis && a.Revision == e.basis.revision() {
			e.basis.confirm(a.Revision, began.Add(-a.BasisAge), true)
		}
		if a.Voter {
			votes[a.Entry] = true
		}
	}
	if self.Voter && p.isMajority(votes) {
		e.basis.confirm(self.Revision, began, false)
	}
}

// isMajority reports whether the votes are those of a strict majority of the known roster.
func (p *peers) isMajority(votes map[descriptor.EntryID]bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.roster == nil {
		return false
	}
	count := 0
	for _, m := range p.roster.Members {
		if votes[m.Entry] {
			count++
		}
	}
	return registrar.IsMajority(p.roster, count)
}

// liveEntries returns the entries of a region that sent a message or an answer within peerSilentTimeout and are not
// leaving the roster, ordered by id. For the region of this entry, the result always includes this entry.
func (p *peers) liveEntries(region descriptor.RegionID, now time.Time) []messenger.EntryState {
	live := []messenger.EntryState{}
	if region == p.entry.settings.Region {
		live = append(live, p.ownState())
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.lastMessages {
		if r.message.Region == region && now.Sub(r.receivedAt) < peerSilentTimeout && !r.message.Leaving {
			live = append(live, r.message)
		}
	}
	slices.SortFunc(live, func(a, b messenger.EntryState) int { return cmp.Compare(a.Entry, b.Entry) })
	return live
}

// addressesIn returns the addresses of the live entries of a region. Agents send their reports to these addresses.
func (p *peers) addressesIn(region descriptor.RegionID) []string {
	addresses := []string{}
	for _, m := range p.liveEntries(region, p.entry.now()) {
		addresses = append(addresses, m.Address)
	}
	return addresses
}

// schedulerAddress returns the address of the scheduler of a region, if one is known. If several entries claim to be
// the scheduler, it is the one with the highest epoch.
func (p *peers) schedulerAddress(region descriptor.RegionID) (string, bool) {
	var newest messenger.EntryState
	for _, m := range p.liveEntries(region, p.entry.now()) {
		if m.Scheduler && (newest.Address == "" || m.Epoch > newest.Epoch) {
			newest = m
		}
	}
	return newest.Address, newest.Address != ""
}

// hasOtherScheduler reports whether another entry of the region claimed to be the scheduler within two exchange
// intervals. A failed scheduler no longer counts by the time its lease expires, since the lease lasts longer than that.
func (p *peers) hasOtherScheduler(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.lastMessages {
		if r.message.Region == p.entry.settings.Region && r.message.Scheduler && now.Sub(r.receivedAt) < 2*peerExchangeInterval {
			return true
		}
	}
	return false
}

// updateRoster replaces the known roster if the given one is newer.
func (p *peers) updateRoster(roster *registrar.Roster) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.roster == nil || roster.Sequence > p.roster.Sequence {
		p.roster = roster
	}
}

// members returns the members of the known roster.
func (p *peers) members() []registrar.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.roster == nil {
		return nil
	}
	return slices.Clone(p.roster.Members)
}

// regionOf returns the region of the entry at an address. It searches the received messages first, because the known
// roster may list a new entry only after the next renewal of this entry's membership.
func (p *peers) regionOf(address string) (descriptor.RegionID, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.lastMessages {
		if r.message.Address == address {
			return r.message.Region, true
		}
	}
	if p.roster == nil {
		return "", false
	}
	for _, m := range p.roster.Members {
		if m.Address == address {
			return m.Region, true
		}
	}
	return "", false
}
