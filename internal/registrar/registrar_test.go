package registrar

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"persimmontrail/pkg/descriptor"
)

func newMember(id string, joined, seen int64) Member {
	return Member{Entry: descriptor.EntryID(id), Joined: joined, Seen: seen}
}

// TestCanAccept guards against a change that is never accepted because a dead entry cannot acknowledge it, and against
// one that is accepted while entries that have not acknowledged it may be a majority of a roster that they have cached.
func TestCanAccept(t *testing.T) {
	cases := []struct {
		name    string
		members []Member
		acked   string
		want    bool
	}{
		{"all acknowledge", []Member{newMember("a", 1, 2), newMember("b", 2, 2)}, "ab", true},
		{"one of two is dead", []Member{newMember("a", 1, 2), newMember("b", 2, 2)}, "a", true},
		{"one of two is dead and may not know the other", []Member{newMember("a", 1, 2), newMember("b", 2, 0)}, "a", true},
		{"first entry may have cached a roster of itself alone", []Member{newMember("a", 1, 1), newMember("b", 2, 2)}, "b", false},
		{"two of three are missing", []Member{newMember("a", 1, 3), newMember("b", 2, 3), newMember("c", 3, 3)}, "a", false},
		{"two missing entries may not know two later ones", []Member{newMember("a", 1, 2), newMember("b", 2, 2), newMember("d", 4, 4), newMember("e", 5, 5)}, "de", false},
		{"two missing entries know two later ones", []Member{newMember("a", 1, 5), newMember("b", 2, 5), newMember("d", 4, 5), newMember("e", 5, 5)}, "de", true},
		{"nobody acknowledges", []Member{newMember("a", 1, 1)}, "", false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			acked := map[descriptor.EntryID]bool{}
			for _, id := range tc.acked {
				acked[descriptor.EntryID(id)] = true
			}
			assert.Equal(t, CanAccept(&Roster{Members: tc.members}, acked), tc.want)
		})
	}
}

// fakeEntry models an entry process in TestAcceptanceExcludesMajorityWithoutStore.
type fakeEntry struct {
	id descriptor.EntryID
	// cachedRoster is nil until the entry has received an answer to a renewal.
	cachedRoster *Roster
	hasLeft      bool
}

// TestAcceptanceExcludesMajorityWithoutStore guards against two disjoint groups of entries of which one accepts a
// change while the other keeps issuing permits for the old revision. It fails if CanAccept checks only the whole
// roster and not the rosters that older members may have cached.
func TestAcceptanceExcludesMajorityWithoutStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var store Roster
		var entries []*fakeEntry
		now := time.Unix(1_000_000, 0)
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Second)
			switch rapid.SampledFrom([]string{"join", "renew", "renew", "lost answer", "leave"}).Draw(t, "op") {
			case "join":
				e := &fakeEntry{id: descriptor.EntryID(fmt.Sprintf("e%d", step))}
				e.renew(&store, now, rapid.Bool().Draw(t, "answered"))
				entries = append(entries, e)
			case "renew":
				if e := drawEntry(t, entries); e != nil {
					e.renew(&store, now, true)
				}
			case "lost answer":
				if e := drawEntry(t, entries); e != nil {
					e.renew(&store, now, false)
				}
			case "leave":
				if e := drawEntry(t, entries); e != nil {
					_, err := LeaveChange(e.id)(&store)
					assert.NilError(t, err)
					e.hasLeft = true
				}
			}
		}
		acked := map[descriptor.EntryID]bool{}
		votes := map[descriptor.EntryID]bool{}
		for _, e := range entries {
			if rapid.Bool().Draw(t, "acknowledges") {
				acked[e.id] = true
			} else if !e.hasLeft {
				votes[e.id] = true
			}
		}
		if !CanAccept(&store, acked) {
			return
		}
		for _, e := range entries {
			if votes[e.id] && e.cachedRoster != nil && e.hasMajority(votes) {
				t.Fatalf("change accepted with %v while %s has a majority of %v with %v", acked, e.id, e.cachedRoster.Members, votes)
			}
		}
	})
}

// renew renews the membership of e in store. If answered is false, the answer is lost, so e does not cache the roster.
func (e *fakeEntry) renew(store *Roster, now time.Time, answered bool) {
	if e.hasLeft {
		return
	}
	var seen int64
	if e.cachedRoster != nil {
		seen = e.cachedRoster.Sequence
	}
	_, _ = RenewChange(Member{Entry: e.id}, seen, now)(store)
	if answered {
		e.cachedRoster = &Roster{Sequence: store.Sequence, Members: append([]Member(nil), store.Members...)}
	}
}

func (e *fakeEntry) hasMajority(votes map[descriptor.EntryID]bool) bool {
	count := 0
	for _, m := range e.cachedRoster.Members {
		if votes[m.Entry] {
			count++
		}
	}
	return IsMajority(e.cachedRoster, count)
}

func drawEntry(t *rapid.T, entries []*fakeEntry) *fakeEntry {
	if len(entries) == 0 {
		return nil
	}
	return rapid.SampledFrom(entries).Draw(t, "process")
}

// TestDeadEntriesAreDroppedAfterRetention guards against a dead entry that is never dropped from the roster, against
// one that is dropped while it may still vote, and against a drop that does not increase the sequence.
func TestDeadEntriesAreDroppedAfterRetention(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	var r Roster
	_, _ = RenewChange(Member{Entry: "dead"}, 0, start)(&r)
	_, _ = RenewChange(Member{Entry: "live"}, 0, start.Add(MaxVoteAge+10*time.Minute))(&r)
	assert.Assert(t, r.Contains("dead"))
	_, _ = RenewChange(Member{Entry: "live"}, 2, start.Add(MemberRetention+time.Second))(&r)
	assert.Assert(t, !r.Contains("dead"))
	assert.Equal(t, r.Sequence, int64(3))
}
