// Package balancer keeps account of how much of the recent work of each class was served in time, and moves classes up
// that are served far less than the larger set they belong to. It decides nothing while all work can be served, since order does not matter
// then.
package balancer

import (
	"maps"
	"math"
	"time"
)

const (
	// decayTime is the time constant with which what was served is forgotten.
	decayTime = 30 * time.Second
	// minEvidence is the decayed number of outcomes from which the share of a class counts.
	minEvidence = 3
	// tolerance is how far the share of a class may lie below that of the larger set without effect; fullEffect is how much
	// further it must lie to be moved up by maxFactor.
	tolerance  = 0.1
	fullEffect = 0.2
	// maxFactor is the largest factor on the value of work for its order.
	maxFactor = 1.5
	// maxClasses bounds the classes that are kept. Beyond it those with the least evidence are dropped.
	maxClasses = 4096
)

// Class is a set of work that should be served like the work of a larger set.
type Class struct {
	Kind string
	Name string
}

// Membership places a piece of work in a class. The class should be served like Within, or like all work if Within is the
// zero Class.
type Membership struct {
	Class  Class
	Within Class
}

// Ledger holds the accounts of all classes. The zero value is ready for use. It is not safe for concurrent use.
type Ledger struct {
	total    account
	accounts map[Class]account
}

// account holds decayed sums of the outcomes of a class.
type account struct {
	// expected counts the outcomes, served sums the served share of each.
	expected float64
	served   float64
	updated  time.Time
}

func (a account) at(now time.Time) account {
	if now.After(a.updated) {
		left := math.Exp(-float64(now.Sub(a.updated)) / float64(decayTime))
		a.expected, a.served, a.updated = a.expected*left, a.served*left, now
	}
	return a
}

func (a account) plus(served float64) account {
	a.expected++
	a.served += served
	return a
}

func (a account) share() float64 { return a.served / a.expected }

// Record adds the outcome of a piece of work to the accounts of its classes and of the sets that these lie in. The served share is 1 for work served in time and 0 for work
// that is of no use any more.
func (l *Ledger) Record(memberships []Membership, served float64, now time.Time) {
	l.total = l.total.at(now).plus(served)
	if l.accounts == nil {
		l.accounts = map[Class]account{}
	}
	add := func(c Class) { l.accounts[c] = l.accounts[c].at(now).plus(served) }
	for _, m := range memberships {
		add(m.Class)
		if m.Within != (Class{}) {
			add(m.Within)
		}
	}
	for least := 0.01; len(l.accounts) > maxClasses; least *= 2 {
		maps.DeleteFunc(l.accounts, func(_ Class, a account) bool { return a.at(now).expected < least })
	}
}

// Factor returns the factor on the value of waiting work for its order, from 1 to maxFactor, by the worst served of its
// classes.
func (l *Ledger) Factor(memberships []Membership, now time.Time) float64 {
	factor := 1.0
	for _, m := range memberships {
		class, within := l.accounts[m.Class].at(now), l.total.at(now)
		if m.Within != (Class{}) {
			within = l.accounts[m.Within].at(now)
		}
		if class.expected < minEvidence {
			continue
		}
		deficit := (within.share() - class.share() - tolerance) / fullEffect
		factor = max(factor, 1+(maxFactor-1)*min(deficit, 1))
	}
	return factor
}
