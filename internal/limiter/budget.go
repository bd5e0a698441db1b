package limiter

import (
	"container/list"
	"sync"
	"time"
)

// budget is the memory that clients can take. A draw that finds no room ends the oldest evictable draw that would make
// room for it.
type budget struct {
	size Bytes

	mu   sync.Mutex
	held Bytes
	// accounts holds the sum of all draws of each account that has any.
	accounts map[string]Bytes
	// evictable lists draws that can be ended, the oldest first.
	evictable list.List
}

// account names an account and the most that it may hold.
type account struct {
	name string
	max  Bytes
}

// draw is what one connection or request holds of a budget. Its methods are called by one goroutine.
type draw struct {
	budget   *budget
	accounts []account
	// The following fields are guarded by budget.mu.
	bytes Bytes
	// element is the draw's place in budget.evictable, nil if it cannot be ended.
	element *list.Element
	began   time.Time
	evict   func()
	evicted bool
}

func (b *budget) used() Bytes {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.held
}

// fullAccount returns an account of d that has no room for n more bytes, "" if it is the budget itself, and false if
// there is room.
func (b *budget) fullAccount(d *draw, n Bytes) (string, bool) {
	for _, a := range d.accounts {
		if b.accounts[a.name]+n > a.max {
			return a.name, true
		}
	}
	return "", b.held+n > b.size
}

// add adds n bytes to d.
func (b *budget) add(d *draw, n Bytes) {
	d.bytes += n
	b.held += n
	if b.accounts == nil {
		b.accounts = map[string]Bytes{}
	}
	for _, a := range d.accounts {
		if b.accounts[a.name] += n; b.accounts[a.name] == 0 {
			delete(b.accounts, a.name)
		}
	}
}

// evictOldest ends the oldest draw that holds memory of the account, or of any account if name is "". It reports
// whether there was one older than evictionAge.
func (b *budget) evictOldest(name string, now time.Time) bool {
	for e := b.evictable.Front(); e != nil; e = e.Next() {
		d := e.Value.(*draw)
		if now.Sub(d.began) < evictionAge {
			return false
		}
		if !d.holds(name) {
			continue
		}
		b.evictable.Remove(e)
		d.element, d.evicted = nil, true
		b.add(d, -d.bytes)
		d.evict()
		return true
	}
	return false
}

func (d *draw) holds(name string) bool {
	for _, a := range d.accounts {
		if a.name == name {
			return true
		}
	}
	return name == ""
}

func (d *draw) open(b *budget, accounts []account) { d.budget, d.accounts = b, accounts }

// grow adds n bytes to the draw, or returns ErrNoRoom.
func (d *draw) grow(n Bytes) error {
	_, err := d.reserve(n)
	return err
}

// reserve is grow, but also returns the name of the account that has no room, "" if it is the budget itself.
func (d *draw) reserve(n Bytes) (full string, err error) {
	b := d.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	for !d.evicted {
		name, isFull := b.fullAccount(d, n)
		if !isFull {
			b.add(d, n)
			return "", nil
		}
		if !b.evictOldest(name, time.Now()) {
			return name, ErrNoRoom
		}
	}
	return "", ErrNoRoom
}

// shrink takes n bytes off the draw.
func (d *draw) shrink(n Bytes) {
	d.budget.mu.Lock()
	defer d.budget.mu.Unlock()
	if !d.evicted {
		d.budget.add(d, -n)
	}
}

// join adds an account to the draw unless it has that already, or returns ErrNoRoom if the account has no room for what
// the draw holds.
func (d *draw) join(a account) error {
	b := d.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if d.holds(a.name) {
		return nil
	}
	if d.evicted || b.accounts[a.name]+d.bytes > a.max {
		return ErrNoRoom
	}
	held := d.bytes
	b.add(d, -held)
	d.accounts = append(d.accounts[:len(d.accounts):len(d.accounts)], a)
	b.add(d, held)
	return nil
}

// allowEviction lets others end the draw. evict is called with the budget locked.
func (d *draw) allowEviction(began time.Time, evict func()) {
	d.budget.mu.Lock()
	defer d.budget.mu.Unlock()
	d.began, d.evict = began, evict
	d.element = d.budget.evictable.PushBack(d)
}

// keep ends allowEviction. It reports whether the draw was ended before.
func (d *draw) keep() (evicted bool) {
	d.budget.mu.Lock()
	defer d.budget.mu.Unlock()
	if d.element != nil {
		d.budget.evictable.Remove(d.element)
		d.element = nil
	}
	return d.evicted
}

// close gives everything back.
func (d *draw) close() {
	d.keep()
	d.budget.mu.Lock()
	defer d.budget.mu.Unlock()
	if !d.evicted {
		d.budget.add(d, -d.bytes)
	}
}
