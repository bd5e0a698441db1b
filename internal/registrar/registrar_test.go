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

// TestCanAccept guards against a change that is never accepted because of a dead entry that cannot vote, and against
// one that is accepted while entries that are cut off from the store are a majority.
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
			for _, r := range tc.acked {
				acked[descriptor.EntryID(r)] = true
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
	left         bool
}

// TestAcceptanceExcludesMajorityWithoutStore guards against two disjoint groups of entries of which one accepts a
// change while the other keeps issuing permits for the old revision. It fails if CanAccept checks only the whole
// roster and not the rosters that older members may have cached.
func TestAcceptanceExcludesMajorityWithoutStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var store Roster
		var fakes []*fakeEntry
		now := time.Unix(1_000_000, 0)
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Second)
			switch rapid.SampledFrom([]string{"join", "renew", "renew", "lost answer", "leave"}).Draw(t, "op") {
			case "join":
				p := &fakeEntry{id: descriptor.EntryID(fmt.Sprintf("e%d", step))}
				p.renew(&store, now, rapid.Bool().Draw(t, "answered"))
				fakes = append(fakes, p)
			case "renew":
				if p := drawEntry(t, fakes); p != nil {
					p.renew(&store, now, true)
				}
			case "lost answer":
				if p := drawEntry(t, fakes); p != nil {
					p.renew(&store, now, false)
				}
			case "leave":
				if p := drawEntry(t, fakes); p != nil {
					_, err := Leave(p.id)(&store)
					assert.NilError(t, err)
					p.left = true
				}
			}
		}
		acked := map[descriptor.EntryID]bool{}
		votes := map[descriptor.EntryID]bool{}
		for _, p := range fakes {
			if rapid.Bool().Draw(t, "acknowledges") {
				acked[p.id] = true
			} else if !p.left {
				votes[p.id] = true
			}
		}
		if !CanAccept(&store, acked) {
			return
		}
		for _, p := range fakes {
			if votes[p.id] && p.cachedRoster != nil && p.hasMajority(votes) {
				t.Fatalf("change accepted with %v while %s has a majority of %v with %v", acked, p.id, p.cachedRoster.Members, votes)
			}
		}
	})
}

func (p *fakeEntry) renew(store *Roster, now time.Time, answered bool) {
	if p.left {
		return
	}
	var seen int64
	if p.cachedRoster != nil {
		seen = p.cachedRoster.Sequence
	}
	_, _ = Renew(Member{Entry: p.id}, seen, now)(store)
	if answered {
		p.cachedRoster = &Roster{Sequence: store.Sequence, Members: append([]Member(nil), store.Members...)}
	}
}

func (p *fakeEntry) hasMajority(votes map[descriptor.EntryID]bool) bool {
	count := 0
	for _, m := range p.cachedRoster.Members {
		if votes[m.Entry] {
			count++
		}
	}
	return IsMajority(p.cachedRoster, count)
}

func drawEntry(t *rapid.T, fakes []*fakeEntry) *fakeEntry {
	if len(fakes) == 0 {
		return nil
	}
	return rapid.SampledFrom(fakes).Draw(t, "process")
}

// TestDeadEntriesAreDroppedAfterRetention guards against a dead entry that is never dropped from the roster, and
// against one that is dropped while it may still vote.
func TestDeadEntriesAreDroppedAfterRetention(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	var r Roster
	_, _ = Renew(Member{Entry: "dead"}, 0, start)(&r)
	_, _ = Renew(Member{Entry: "live"}, 0, start.Add(MaxVoteAge+10*time.Minute))(&r)
	assert.Assert(t, r.Contains("dead"))
	_, _ = Renew(Member{Entry: "live"}, 2, start.Add(MemberRetention+time.Second))(&r)
	assert.Assert(t, !r.Contains("dead"))
	assert.Equal(t, r.Sequence, int64(3))
}
