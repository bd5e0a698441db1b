package registrar

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"persimmontrail/pkg/descriptor"
)

func member(id string, joined, seen int64) Member {
	return Member{Entry: descriptor.EntryID(id), Joined: joined, Seen: seen}
}

// Guards against a change that stays unconfirmed although a dead entry cannot
// vote, and against one that is accepted while cut-off entries are a majority.
func TestAcceptable(t *testing.T) {
	cases := []struct {
		name    string
		members []Member
		acked   string
		want    bool
	}{
		{"all acknowledge", []Member{member("a", 1, 2), member("b", 2, 2)}, "ab", true},
		{"one of two is dead", []Member{member("a", 1, 2), member("b", 2, 2)}, "a", true},
		{"one of two is dead and may not know the other", []Member{member("a", 1, 2), member("b", 2, 0)}, "a", true},
		{"first entry may remember itself alone", []Member{member("a", 1, 1), member("b", 2, 2)}, "b", false},
		{"two of three are missing", []Member{member("a", 1, 3), member("b", 2, 3), member("c", 3, 3)}, "a", false},
		{"joiners outvote a cut-off pair", []Member{member("a", 1, 2), member("b", 2, 2), member("d", 4, 4), member("e", 5, 5)}, "de", false},
		{"joiners are known to the cut-off pair", []Member{member("a", 1, 5), member("b", 2, 5), member("d", 4, 5), member("e", 5, 5)}, "de", true},
		{"nobody acknowledges", []Member{member("a", 1, 1)}, "", false},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			acked := map[descriptor.EntryID]bool{}
			for _, r := range tc.acked {
				acked[descriptor.EntryID(r)] = true
			}
			assert.Equal(t, Acceptable(&Roster{Members: tc.members}, acked), tc.want)
		})
	}
}

// process is the model of an entry for the property below.
type process struct {
	id descriptor.EntryID
	// remembered is nil until a renewal's answer arrived.
	remembered *Roster
	left       bool
}

// Guards against two disjoint groups, one that accepts a change while the other
// goes on to issue permits on the old revision. Counting only half of the
// roster in Acceptable, without the prefixes, makes it fail.
func TestAcceptanceExcludesMajorityWithoutStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var store Roster
		var processes []*process
		now := time.Unix(1_000_000, 0)
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Second)
			switch rapid.SampledFrom([]string{"join", "renew", "renew", "lost answer", "leave"}).Draw(t, "op") {
			case "join":
				p := &process{id: descriptor.EntryID(fmt.Sprintf("e%d", step))}
				p.renew(&store, now, rapid.Bool().Draw(t, "answered"))
				processes = append(processes, p)
			case "renew":
				if p := pick(t, processes); p != nil {
					p.renew(&store, now, true)
				}
			case "lost answer":
				if p := pick(t, processes); p != nil {
					p.renew(&store, now, false)
				}
			case "leave":
				if p := pick(t, processes); p != nil {
					_, err := Leave(p.id)(&store)
					assert.NilError(t, err)
					p.left = true
				}
			}
		}
		acked := map[descriptor.EntryID]bool{}
		votes := map[descriptor.EntryID]bool{}
		for _, p := range processes {
			if rapid.Bool().Draw(t, "acknowledges") {
				acked[p.id] = true
			} else if !p.left {
				votes[p.id] = true
			}
		}
		if !Acceptable(&store, acked) {
			return
		}
		for _, p := range processes {
			if votes[p.id] && p.remembered != nil && p.hasMajority(votes) {
				t.Fatalf("change accepted with %v while %s has a majority of %v with %v", acked, p.id, p.remembered.Members, votes)
			}
		}
	})
}

func (p *process) renew(store *Roster, now time.Time, answered bool) {
	if p.left {
		return
	}
	var seen int64
	if p.remembered != nil {
		seen = p.remembered.Sequence
	}
	_, _ = Renew(Member{Entry: p.id}, seen, now)(store)
	if answered {
		p.remembered = &Roster{Sequence: store.Sequence, Members: append([]Member(nil), store.Members...)}
	}
}

func (p *process) hasMajority(votes map[descriptor.EntryID]bool) bool {
	count := 0
	for _, m := range p.remembered.Members {
		if votes[m.Entry] {
			count++
		}
	}
	return IsMajority(p.remembered, count)
}

func pick(t *rapid.T, processes []*process) *process {
	if len(processes) == 0 {
		return nil
	}
	return rapid.SampledFrom(processes).Draw(t, "process")
}

// Guards against a dead entry that stays in the roster for ever and against one that is dropped while it may vote.
func TestRetention(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	var r Roster
	_, _ = Renew(Member{Entry: "dead"}, 0, start)(&r)
	_, _ = Renew(Member{Entry: "live"}, 0, start.Add(VoteLimit+10*time.Minute))(&r)
	assert.Assert(t, r.Contains("dead"))
	_, _ = Renew(Member{Entry: "live"}, 2, start.Add(Retention+time.Second))(&r)
	assert.Assert(t, !r.Contains("dead"))
	assert.Equal(t, r.Sequence, int64(3))
}
