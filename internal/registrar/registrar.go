// Package registrar keeps the roster of entries, a single document in the store. Entries are the processes that accept
// configuration changes and issue permits to agents. An agent without a permit starts no work. This package decides
// from the roster when a configuration change is accepted, and whether an entry that cannot reach the store may still
// issue permits.
//
// A change is accepted only if the entries that have not acknowledged it cannot be a strict majority of any roster that
// one of them may have cached. An entry that cannot reach the store issues permits only with the votes of a strict
// majority of the roster that it has cached. While they cannot reach the store, the entries that have not acknowledged
// an accepted change can therefore not issue permits by their own votes alone.
package registrar

import (
	"slices"
	"time"

	"persimmontrail/pkg/descriptor"
)

// StoreKey is the key of the document in the store that holds the Roster. Entries change it by compare-and-swap, with
// RenewChange and LeaveChange.
const StoreKey = "roster"

const (
	// MemberRetention is how long an entry stays in the roster after its last renewal; the next renewal of another entry
	// then drops it. A shorter time would drop entries that are cut off from the store but still issue permits with a
	// majority.
	MemberRetention = time.Hour
	// MaxVoteAge is how long after its last renewal an entry may vote. The difference from MemberRetention allows for a
	// clock skew of up to 10 minutes between entries.
	MaxVoteAge = 50 * time.Minute
	// RenewInterval is the time between two renewals of an entry.
	RenewInterval = 2 * time.Second
	// LivenessTimeout is how long after its last renewal an entry counts as alive for operators. Neither votes nor permits
	// depend on it.
	LivenessTimeout = 3 * RenewInterval
)

// Roster lists the entries of the deployment.
type Roster struct {
	// Sequence increases with each change of membership, but not with renewals.
	Sequence int64
	// Members lists the entries, which have distinct ids.
	Members []Member
}

// Member is one entry process. A restarted process is a new member.
type Member struct {
	Entry         descriptor.EntryID
	Address       string
	HTTPAddress   string
	Region        descriptor.RegionID
	FailureDomain descriptor.FailureDomainID
	// Joined is the sequence of the roster when the member joined.
	Joined int64
	// Seen is a lower bound for the sequence of the roster that the member has cached.
	Seen int64
	// Renewed is the time of the last renewal by the member's clock.
	Renewed time.Time
}

// RenewChange returns a function for keeper.Update that adds self to the roster or renews its membership, and drops
// members that have not renewed for MemberRetention. cachedSequence is the sequence of the roster that self has cached,
// or 0 if it has none. The change is idempotent.
func RenewChange(self Member, cachedSequence int64, now time.Time) func(*Roster) (bool, error) {
	return func(r *Roster) (bool, error) {
		r.prune(self.Entry, now)
		i := r.index(self.Entry)
		if i < 0 {
			r.Sequence++
			self.Joined = r.Sequence
			self.Seen = cachedSequence
			self.Renewed = now
			r.Members = append(r.Members, self)
			return true, nil
		}
		m := &r.Members[i]
		m.Seen = max(m.Seen, cachedSequence)
		m.Renewed = now
		return true, nil
	}
}

// LeaveChange returns a function for keeper.Update that removes an entry from the roster. It changes nothing if the
// entry is not a member, so it is idempotent.
func LeaveChange(id descriptor.EntryID) func(*Roster) (bool, error) {
	return func(r *Roster) (bool, error) {
		i := r.index(id)
		if i < 0 {
			return false, nil
		}
		r.Sequence++
		r.Members = slices.Delete(r.Members, i, i+1)
		return true, nil
	}
}

// prune drops members other than self that have not renewed for MemberRetention.
func (r *Roster) prune(self descriptor.EntryID, now time.Time) {
	before := len(r.Members)
	r.Members = slices.DeleteFunc(r.Members, func(m Member) bool {
		return m.Entry != self && now.Sub(m.Renewed) > MemberRetention
	})
	if len(r.Members) != before {
		r.Sequence++
	}
}

func (r *Roster) index(id descriptor.EntryID) int {
	return slices.IndexFunc(r.Members, func(m Member) bool { return m.Entry == id })
}

// Contains reports whether the entry id is a member, even if it no longer renews its membership.
func (r *Roster) Contains(id descriptor.EntryID) bool { return r.index(id) >= 0 }

// CanAccept reports whether a change that the given entries have acknowledged can be accepted. A member that has not
// acknowledged the change may have cached any roster whose sequence is at least the member's Seen. Each such roster
// contains all current members that had joined by its sequence, so it suffices that the members that have not
// acknowledged the change are no strict majority of those. CanAccept counts the members in the order in which they
// joined, and checks the majority at each point that corresponds to such a roster.
func CanAccept(r *Roster, acknowledged map[descriptor.EntryID]bool) bool {
	oldestSeen := int64(-1)
	for _, m := range r.Members {
		if !acknowledged[m.Entry] && (oldestSeen < 0 || m.Seen < oldestSeen) {
			oldestSeen = m.Seen
		}
	}
	if oldestSeen < 0 {
		return true
	}
	members := slices.Clone(r.Members)
	slices.SortFunc(members, func(a, b Member) int { return int(a.Joined - b.Joined) })
	unacknowledgedCount := 0
	for i, m := range members {
		if !acknowledged[m.Entry] {
			unacknowledgedCount++
		}
		isPossibleRoster := i == len(members)-1 || members[i+1].Joined > oldestSeen
		if isPossibleRoster && 2*unacknowledgedCount > i+1 {
			return false
		}
	}
	return true
}

// IsMajority reports whether voteCount is more than half the number of members of r. An empty roster has no majority.
func IsMajority(r *Roster, voteCount int) bool {
	return len(r.Members) > 0 && 2*voteCount > len(r.Members)
}
