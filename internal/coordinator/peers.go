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
	peerInterval = 500 * time.Millisecond
	peerTimeout  = 400 * time.Millisecond
	// peerSilentLimit is how long a peer may be silent before another entry takes over its duties.
	peerSilentLimit = 1500 * time.Millisecond
)

// peers is what an entry knows of the other entries.
type peers struct {
	entry *Entry

	mu sync.Mutex
	// roster is the one of the last renewal whose answer arrived; it is kept through outages of the store.
	roster *registrar.Roster
	// renewedAt is when that renewal began.
	renewedAt time.Time
	// joined is the sequence with which the roster lists this entry, joinedAt a moment after that was written.
	joined   int64
	joinedAt time.Time
	left     bool
	// heard holds the last message of each peer and when it arrived.
	heard map[descriptor.EntryID]heardPeer
}

type heardPeer struct {
	message messenger.Peer
	at      time.Time
}

// confirmLoop keeps the basis of permits fresh: by a read of the store, or
// else by the answers of the other entries.
func (e *Entry) confirmLoop(ctx context.Context) {
	var reads sync.WaitGroup
	defer reads.Wait()
	t := time.NewTicker(confirmInterval)
	defer t.Stop()
	for {
		// A read that hangs must not delay the question to the peers.
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

func (e *Entry) confirmByStore(ctx context.Context) {
	began := e.now()
	cfg, err := e.reader.Read(ctx)
	if err != nil {
		e.metrics.Count("store_errors_total", "call", "configuration")
		return
	}
	if cfg.Revision > 0 {
		e.adopt(cfg)
		e.basis.confirm(cfg.Revision, began, true)
	}
	// A vote rests on this read, so it counts only once its result is in force.
	e.basis.storeRead(began)
}

// adopt takes over a configuration if it is newer.
func (e *Entry) adopt(cfg *descriptor.Configuration) {
	if !e.basis.adopt(cfg) {
		return
	}
	e.log.Info("configuration in force", "revision", cfg.Revision, "by", cfg.AcceptedBy)
	e.audit("configuration", "in force", "revision "+formatRevision(cfg.Revision)+" by "+cfg.AcceptedBy)
	e.configureRouter()
	e.duty.wake()
}

// configureRouter hands the newest configuration to the router. The lock keeps
// a concurrent adoption from handing over an older one later.
func (e *Entry) configureRouter() {
	now := e.now()
	e.routing.Lock()
	defer e.routing.Unlock()
	e.router.Configure(e.basis.configuration(), now)
}

// loop renews the membership and exchanges messages with the other entries.
func (p *peers) loop(ctx context.Context) {
	var renewals sync.WaitGroup
	defer renewals.Wait()
	t := time.NewTicker(peerInterval)
	defer t.Stop()
	var next time.Time
	for {
		if now := p.entry.now(); !now.Before(next) {
			next = now.Add(registrar.RenewInterval)
			renewals.Go(func() { p.renew(ctx) })
		}
		p.ask(ctx)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

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
	var remembered int64
	if p.roster != nil {
		remembered = p.roster.Sequence
	}
	left := p.left
	p.mu.Unlock()
	if left {
		return
	}
	roster, err := keeper.Update(ctx, p.entry.store, registrar.Key, "", registrar.Renew(self, remembered, began))
	if err != nil {
		p.entry.metrics.Count("store_errors_total", "call", "roster")
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
		if m.Entry == s.Name && m.Joined > p.joined {
			p.joined = m.Joined
			p.joinedAt = p.entry.now()
		}
	}
}

// isVoter reports whether this entry's answer may confirm a revision. It must have
// read the configuration after it joined: a change that was accepted over a roster
// without this entry was stored before it joined, so such a read has found it.
func (p *peers) isVoter(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	hasRenewed := !p.renewedAt.IsZero() && now.Sub(p.renewedAt) < registrar.VoteLimit
	return !p.left && hasRenewed && !p.joinedAt.IsZero() && p.entry.basis.hasReadSince(p.joinedAt)
}

// leave removes the entry from the roster. From then on it does not vote.
func (p *peers) leave(ctx context.Context) {
	p.mu.Lock()
	p.left = true
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	if _, err := keeper.Update(ctx, p.entry.store, registrar.Key, "", registrar.Leave(p.entry.settings.Name)); err != nil {
		p.entry.log.Warn("roster still lists this entry", "err", err)
	}
}

// others returns the remembered members except this entry.
func (p *peers) others() []registrar.Member {
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

func (p *peers) message() messenger.Peer {
	e := p.entry
	now := e.now()
	age, fromStore := e.basis.age(now)
	// The revision is read after the vote: it is then at least the one that the vote rests on.
	voter := p.isVoter(now)
	p.mu.Lock()
	left := p.left
	p.mu.Unlock()
	return messenger.Peer{
		Entry:      e.settings.Name,
		Address:    e.address,
		Region:     e.settings.Region,
		Revision:   e.basis.revision(),
		StoreBasis: fromStore && age < permitLifetime,
		BasisAge:   age,
		Voter:      voter,
		Scheduler:  e.duty.isActive(),
		Epoch:      e.duty.epochSeen(),
		Leaving:    left,
	}
}

// answer takes over what a peer says and returns this entry's own state.
func (p *peers) answer(question messenger.Peer) messenger.Peer {
	p.hear(question)
	return p.messageFor(question.Revision)
}

// messageFor adds the configuration for a peer that holds an older revision.
func (p *peers) messageFor(revision descriptor.Revision) messenger.Peer {
	m := p.message()
	if revision < m.Revision {
		m.Configuration = p.entry.basis.configuration()
	}
	return m
}

func (p *peers) hear(m messenger.Peer) {
	if m.Configuration != nil {
		p.entry.adopt(m.Configuration)
	}
	if m.Region == p.entry.settings.Region {
		// Each region counts its epochs on its own.
		p.entry.duty.observeEpoch(m.Epoch)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.heard == nil {
		p.heard = map[descriptor.EntryID]heardPeer{}
	}
	m.Configuration = nil
	p.heard[m.Entry] = heardPeer{message: m, at: p.entry.now()}
}

// ask sends the entry's state to all others and returns the answers that arrive within peerTimeout.
func (p *peers) ask(ctx context.Context) []messenger.Peer {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	members := p.others()
	answers := make(chan messenger.Peer, len(members))
	var calls sync.WaitGroup
	for _, m := range members {
		calls.Go(func() {
			var a messenger.Peer
			if err := p.entry.call(ctx, m.Address, messenger.KindPeer, p.messageFor(p.lastRevision(m.Entry)), &a); err != nil {
				return
			}
			p.hear(a)
			answers <- a
		})
	}
	calls.Wait()
	close(answers)
	var list []messenger.Peer
	for a := range answers {
		list = append(list, a)
	}
	return list
}

// lastRevision returns the revision that a peer last said it holds.
func (p *peers) lastRevision(id descriptor.EntryID) descriptor.Revision {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.heard[id].message.Revision
}

// confirm refreshes the basis without the store: by a peer whose own basis
// rests on the store, or by a strict majority of the remembered roster.
func (p *peers) confirm(ctx context.Context) {
	e := p.entry
	began := e.now()
	answers := p.ask(ctx)
	self := p.message()
	votes := map[descriptor.EntryID]bool{}
	if self.Voter {
		votes[self.Entry] = true
	}
	for _, a := range answers {
		if a.Revision > e.basis.revision() {
			// The configuration of this peer arrives with its next message.
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

// live returns the entries of a region that were heard lately, this one included, ordered by id.
func (p *peers) live(region descriptor.RegionID, now time.Time) []messenger.Peer {
	list := []messenger.Peer{}
	if region == p.entry.settings.Region {
		list = append(list, p.message())
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range p.heard {
		if h.message.Region == region && now.Sub(h.at) < peerSilentLimit && !h.message.Leaving {
			list = append(list, h.message)
		}
	}
	slices.SortFunc(list, func(a, b messenger.Peer) int { return cmp.Compare(a.Entry, b.Entry) })
	return list
}

// addressesIn returns the addresses of the entries of a region that agents should report to.
func (p *peers) addressesIn(region descriptor.RegionID) []string {
	addresses := []string{}
	for _, m := range p.live(region, p.entry.now()) {
		addresses = append(addresses, m.Address)
	}
	return addresses
}

// schedulerOf returns the address of the entry that schedules for a region.
func (p *peers) schedulerOf(region descriptor.RegionID) (string, bool) {
	var found messenger.Peer
	for _, m := range p.live(region, p.entry.now()) {
		if m.Scheduler && (found.Address == "" || m.Epoch > found.Epoch) {
			found = m
		}
	}
	return found.Address, found.Address != ""
}

// hearsOtherScheduler reports whether another entry of the region called itself the
// scheduler in the last two exchanges. A dead one's lease lapses later than that.
func (p *peers) hearsOtherScheduler(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range p.heard {
		if h.message.Region == p.entry.settings.Region && h.message.Scheduler && now.Sub(h.at) < 2*peerInterval {
			return true
		}
	}
	return false
}

// learn takes over a roster that is newer than the remembered one.
func (p *peers) learn(roster *registrar.Roster) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.roster == nil || roster.Sequence > p.roster.Sequence {
		p.roster = roster
	}
}

// members returns the remembered roster.
func (p *peers) members() []registrar.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.roster == nil {
		return nil
	}
	return slices.Clone(p.roster.Members)
}

// regionOf returns the region of the entry at an address. An entry that was
// heard may be missing in the remembered roster for one renewal.
func (p *peers) regionOf(address string) (descriptor.RegionID, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range p.heard {
		if h.message.Address == address {
			return h.message.Region, true
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
