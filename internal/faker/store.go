package faker

import (
	"fmt"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"persimmontrail/pkg/descriptor"
)

// Limits of the platform's store.
const (
	// MaxValueBytes is the maximum size of a value.
	MaxValueBytes = 1_000_000
	// DefaultWritesPerSecond and DefaultReadsPerSecond limit the rate of calls unless StoreSwitches sets other limits.
	DefaultWritesPerSecond = 600
	DefaultReadsPerSecond  = 2000
)

// Store is a stand-in for the platform's key-value store. The zero value is an empty store.
type Store struct {
	// LoseWrite, if set, decides whether the answer to a successful write is lost; StoreSwitches.LoseAnswers is then
	// ignored. It is called with the store locked and must not call methods of the store.
	LoseWrite func() bool

	mu       sync.Mutex
	switches StoreSwitches
	// version grows with every change of any key, so a key that is deleted and created again gets a higher version.
	version     int64
	lastLeaseID int64
	keys        map[string]storeValue
	leases      map[string]*storeLease
	// changes is notified when a key or the switches change.
	changes     broadcast
	stats       StoreStats
	lossSampler sampler
	writeTokens tokenBucket
	readTokens  tokenBucket
}

// StoreSwitches are the faults and rate limits of a Store. Writes are Put, Delete and the calls for leases; other calls
// are reads. Calls under /admin/ are exempt from both.
type StoreSwitches struct {
	// Down makes the store answer 503 to all calls, without effect.
	Down bool
	// Slow is the delay of every call that is not refused, one half before it takes effect and one half after. A write
	// takes effect even if its caller has given up.
	Slow descriptor.Duration
	// LoseAnswers is the share of successful writes, from 0 to 1, that get no answer.
	LoseAnswers float64
	// WritesPerSecond and ReadsPerSecond are rate limits. 0 means the default, a negative value no limit.
	WritesPerSecond float64
	ReadsPerSecond  float64
}

// StoreStats are the counters of a Store since its creation. It is also the answer to GET /admin/stats.
type StoreStats struct {
	// Calls counts calls by kind, including refused ones: Get, Watch, Put, Delete, List, GrantLease, RenewLease,
	// RevokeLease. A Watch is a read of a key that waits for a change; it is counted when it starts.
	Calls map[string]int64
	// Refused counts calls over the rate limit by kind. DownAnswers counts calls that were refused because the store was
	// down when they arrived.
	Refused     map[string]int64
	DownAnswers int64
	// Conflicts counts writes that were refused because the key did not have the expected version.
	Conflicts int64
	// LostAnswers counts writes that took effect without an answer.
	LostAnswers int64
	// Keys and Leases are the current numbers of keys and leases.
	Keys   int
	Leases int
	// LargestValue is the size in bytes of the largest value written so far.
	LargestValue int
}

// storeValue is the value of a key. If leaseID is not empty, the key is removed with that lease.
type storeValue struct {
	Data    []byte
	Version int64
	leaseID string
}

// storeLease is a lease that expires unless it is renewed within its ttl.
type storeLease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// tokenBucket is a rate limiter that allows bursts of up to the calls of one second. The zero value is a full bucket.
type tokenBucket struct {
	tokens       float64
	lastRefillAt time.Time
}

// take takes a token from the bucket, which is refilled with rate tokens per second, and reports whether there was one.
// With a negative rate there always is.
func (b *tokenBucket) take(rate float64, now time.Time) bool {
	if rate < 0 {
		return true
	}
	if b.lastRefillAt.IsZero() {
		b.tokens = rate
	} else {
		b.tokens = min(rate, b.tokens+rate*now.Sub(b.lastRefillAt).Seconds())
	}
	b.lastRefillAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// UpdateSwitches applies change to the faults and rate limits. change must not call methods of s, because s is locked.
func (s *Store) UpdateSwitches(change func(*StoreSwitches)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.switches)
	s.changes.notify()
}

// Stats removes expired leases with their keys and returns a copy of the counters.
func (s *Store) Stats() StoreStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	st := s.stats
	st.Calls = maps.Clone(st.Calls)
	st.Refused = maps.Clone(st.Refused)
	st.Keys = len(s.keys)
	st.Leases = len(s.leases)
	return st
}

// ServeHTTP implements the HTTP interface of the store, and the paths under /admin/ that control the stand-in.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path := r.URL.Path
	key, isKey := strings.CutPrefix(path, "/v1/keys/")
	leasePath, isLease := strings.CutPrefix(path, "/v1/leases/")
	switch {
	case path == "/admin/stats" && r.Method == http.MethodGet:
		writeJSON(w, http.StatusOK, s.Stats())
	case path == "/admin/switches" && r.Method == http.MethodPut:
		s.putSwitches(w, r)
	case isKey && key != "" && r.Method == http.MethodGet:
		s.get(w, r, key)
	case isKey && key != "" && r.Method == http.MethodPut:
		s.put(w, r, key)
	case isKey && key != "" && r.Method == http.MethodDelete:
		s.remove(w, r, key)
	case path == "/v1/list" && r.Method == http.MethodGet:
		s.listKeys(w, r)
	case path == "/v1/leases" && r.Method == http.MethodPost:
		s.grantLease(w, r)
	case isLease && strings.HasSuffix(leasePath, "/renew") && r.Method == http.MethodPost:
		s.renewLease(w, strings.TrimSuffix(leasePath, "/renew"))
	case isLease && r.Method == http.MethodDelete:
		s.revokeLease(w, leasePath)
	default:
		writeError(w, http.StatusNotFound, "no such path: %s %s", r.Method, path)
	}
}

// putSwitches changes the faults and rate limits that are set in the request body and leaves the others as they are.
func (s *Store) putSwitches(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	switches := s.switches
	s.mu.Unlock()
	if err := decodeJSON(r.Body, &switches); err != nil {
		writeError(w, http.StatusBadRequest, "%v", err)
		return
	}
	s.UpdateSwitches(func(sw *StoreSwitches) { *sw = switches })
	writeJSON(w, http.StatusOK, switches)
}

// admit counts a call, refuses it if the store is down or the call is over the rate limit, and otherwise waits for the
// first half of the delay. It reports whether the call may proceed. If not, admit has sent the answer.
func (s *Store) admit(w http.ResponseWriter, kind string, isWrite bool) bool {
	s.mu.Lock()
	if s.stats.Calls == nil {
		s.stats.Calls, s.stats.Refused = map[string]int64{}, map[string]int64{}
	}
	s.stats.Calls[kind]++
	delay, down := s.switches.Slow.TimeDuration(), s.switches.Down
	allowed := down || s.takeToken(isWrite, time.Now())
	if !allowed {
		s.stats.Refused[kind]++
	}
	if down {
		s.stats.DownAnswers++
	}
	s.mu.Unlock()
	if down {
		writeError(w, http.StatusServiceUnavailable, "the store is down")
		return false
	}
	if !allowed {
		writeError(w, http.StatusTooManyRequests, "over the rate")
		return false
	}
	time.Sleep(delay / 2)
	return true
}

// takeToken takes a token for a write or a read and reports whether there was one. The caller holds mu.
func (s *Store) takeToken(isWrite bool, now time.Time) bool {
	if isWrite {
		return s.writeTokens.take(orDefault(s.switches.WritesPerSecond, DefaultWritesPerSecond), now)
	}
	return s.readTokens.take(orDefault(s.switches.ReadsPerSecond, DefaultReadsPerSecond), now)
}

func orDefault(v, fallback float64) float64 {
	if v == 0 {
		return fallback
	}
	return v
}

// answerWrite answers a write after the second half of the delay, or aborts the connection if the answer is to be lost.
func (s *Store) answerWrite(w http.ResponseWriter, status int, v any) {
	s.mu.Lock()
	delay := s.switches.Slow.TimeDuration()
	answerIsLost := false
	if status < 300 {
		if s.LoseWrite != nil {
			answerIsLost = s.LoseWrite()
		} else {
			answerIsLost = s.lossSampler.selectNext(s.switches.LoseAnswers)
		}
	}
	if answerIsLost {
		s.stats.LostAnswers++
	}
	if status == http.StatusConflict {
		s.stats.Conflicts++
	}
	s.mu.Unlock()
	time.Sleep(delay / 2)
	if answerIsLost {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, status, v)
}

// expire removes expired leases with their keys. The caller holds mu.
func (s *Store) expire(now time.Time) {
	for id, l := range s.leases {
		if !now.Before(l.expiresAt) {
			s.removeLease(id)
		}
	}
}

// removeLease removes a lease with its keys. The caller holds mu.
func (s *Store) removeLease(id string) {
	delete(s.leases, id)
	for k, v := range s.keys {
		if v.leaseID == id {
			delete(s.keys, k)
			s.version++
		}
	}
	s.changes.notify()
}

// get answers with the value of a key. With the parameters known and wait it waits up to that long for a version other
// than the known one.
func (s *Store) get(w http.ResponseWriter, r *http.Request, key string) {
	q := r.URL.Query()
	knownVersion, wait := int64(0), time.Duration(0)
	hasKnown := q.Has("known")
	var err error
	if hasKnown {
		if knownVersion, err = strconv.ParseInt(q.Get("known"), 10, 64); err != nil {
			writeError(w, http.StatusBadRequest, "known: %v", err)
			return
		}
	}
	if q.Has("wait") {
		if wait, err = time.ParseDuration(q.Get("wait")); err != nil {
			writeError(w, http.StatusBadRequest, "wait: %v", err)
			return
		}
	}
	kind := "Get"
	if wait > 0 {
		kind = "Watch"
	}
	if !s.admit(w, kind, false) {
		return
	}
	v, status := s.awaitChange(r, key, hasKnown, knownVersion, wait)
	s.mu.Lock()
	delay := s.switches.Slow.TimeDuration()
	s.mu.Unlock()
	sleep(delay/2, r.Context().Done())
	switch status {
	case http.StatusOK:
		writeJSON(w, status, v)
	case http.StatusNotModified:
		w.WriteHeader(status)
	default:
		writeError(w, status, "key %s", key)
	}
}

// awaitChange waits until the version of key differs from knownVersion and returns the value with status 200. If hasKnown is
// false, it does not wait. It returns status 404 if the key is missing or has been removed, 304 when wait has passed or
// the caller has disconnected, and 503 if the store is down. A missing key has version 0: if knownVersion is 0,
// awaitChange waits until the key is created.
func (s *Store) awaitChange(r *http.Request, key string, hasKnown bool, knownVersion int64, wait time.Duration) (storeValue, int) {
	deadline := time.Now().Add(wait)
	for {
		now := time.Now()
		s.mu.Lock()
		s.expire(now)
		v, ok := s.keys[key]
		changed, wakeAt := s.changes.subscribe(), s.nextWakeTime(deadline)
		down := s.switches.Down
		s.mu.Unlock()
		switch {
		case down:
			return storeValue{}, http.StatusServiceUnavailable
		case !hasKnown && !ok, hasKnown && !ok && knownVersion != 0:
			return storeValue{}, http.StatusNotFound
		case !hasKnown || v.Version != knownVersion:
			return v, http.StatusOK
		case !now.Before(deadline):
			return storeValue{}, http.StatusNotModified
		}
		timer := time.NewTimer(wakeAt.Sub(now))
		select {
		case <-changed:
		case <-timer.C:
		case <-r.Context().Done():
			timer.Stop()
			return storeValue{}, http.StatusNotModified
		}
		timer.Stop()
	}
}

// nextWakeTime returns the earlier of deadline and the first expiry of a lease. The caller holds mu.
func (s *Store) nextWakeTime(deadline time.Time) time.Time {
	for _, l := range s.leases {
		if l.expiresAt.Before(deadline) {
			deadline = l.expiresAt
		}
	}
	return deadline
}

// put writes a key if its version is the expected one; a missing key has version 0.
func (s *Store) put(w http.ResponseWriter, r *http.Request, key string) {
	if !s.admit(w, "Put", true) {
		return
	}
	var body struct {
		Data   []byte
		Expect int64
		Lease  string
	}
	if err := decodeJSON(r.Body, &body); err != nil {
		writeError(w, http.StatusBadRequest, "%v", err)
		return
	}
	version, status := s.applyPut(key, body.Data, body.Expect, body.Lease)
	s.answerWrite(w, status, struct{ Version int64 }{version})
}

// applyPut performs a put and returns the version of the key and the HTTP status. With status 409 it is the version
// that the key has, with status 413 (value too large) and 410 (unknown or expired lease) it is 0.
func (s *Store) applyPut(key string, data []byte, expectedVersion int64, leaseID string) (int64, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	if len(data) > MaxValueBytes {
		return 0, http.StatusRequestEntityTooLarge
	}
	if leaseID != "" && s.leases[leaseID] == nil {
		return 0, http.StatusGone
	}
	if s.keys[key].Version != expectedVersion {
		return s.keys[key].Version, http.StatusConflict
	}
	if s.keys == nil {
		s.keys = map[string]storeValue{}
	}
	s.version++
	s.keys[key] = storeValue{Data: data, Version: s.version, leaseID: leaseID}
	s.stats.LargestValue = max(s.stats.LargestValue, len(data))
	s.changes.notify()
	return s.version, http.StatusOK
}

// remove deletes a key if its version is the expected one.
func (s *Store) remove(w http.ResponseWriter, r *http.Request, key string) {
	if !s.admit(w, "Delete", true) {
		return
	}
	expectedVersion, err := strconv.ParseInt(r.URL.Query().Get("expect"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, "expect: %v", err)
		return
	}
	s.answerWrite(w, s.applyRemove(key, expectedVersion), struct{}{})
}

// applyRemove performs a deletion and returns the HTTP status, which is 404 for a missing key and 409 for another
// version.
func (s *Store) applyRemove(key string, expectedVersion int64) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	v, ok := s.keys[key]
	if !ok {
		return http.StatusNotFound
	}
	if v.Version != expectedVersion {
		return http.StatusConflict
	}
	delete(s.keys, key)
	s.version++
	s.changes.notify()
	return http.StatusOK
}

// listKeys answers with all keys that have the prefix of the query, and their values.
func (s *Store) listKeys(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, "List", false) {
		return
	}
	prefix := r.URL.Query().Get("prefix")
	items := map[string]storeValue{}
	s.mu.Lock()
	s.expire(time.Now())
	for k, v := range s.keys {
		if strings.HasPrefix(k, prefix) {
			items[k] = v
		}
	}
	delay := s.switches.Slow.TimeDuration()
	s.mu.Unlock()
	time.Sleep(delay / 2)
	writeJSON(w, http.StatusOK, struct{ Items map[string]storeValue }{items})
}

// grantLease creates a lease that expires after the TTL in the request body, and answers with its id.
func (s *Store) grantLease(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, "GrantLease", true) {
		return
	}
	var body struct{ TTL descriptor.Duration }
	if err := decodeJSON(r.Body, &body); err != nil || body.TTL <= 0 {
		writeError(w, http.StatusBadRequest, "TTL must be above 0: %v", err)
		return
	}
	s.mu.Lock()
	s.lastLeaseID++
	id := fmt.Sprintf("L%d", s.lastLeaseID)
	if s.leases == nil {
		s.leases = map[string]*storeLease{}
	}
	s.leases[id] = &storeLease{ttl: body.TTL.TimeDuration(), expiresAt: time.Now().Add(body.TTL.TimeDuration())}
	s.mu.Unlock()
	s.answerWrite(w, http.StatusOK, struct{ Lease string }{id})
}

// renewLease makes a lease expire its ttl from now. It answers 404 for a lease that is unknown or has expired.
func (s *Store) renewLease(w http.ResponseWriter, id string) {
	if !s.admit(w, "RenewLease", true) {
		return
	}
	status := http.StatusNotFound
	s.mu.Lock()
	now := time.Now()
	s.expire(now)
	if l := s.leases[id]; l != nil {
		l.expiresAt = now.Add(l.ttl)
		status = http.StatusOK
	}
	s.mu.Unlock()
	s.answerWrite(w, status, struct{}{})
}

// revokeLease ends a lease and removes its keys. It answers 200 for an unknown lease too.
func (s *Store) revokeLease(w http.ResponseWriter, id string) {
	if !s.admit(w, "RevokeLease", true) {
		return
	}
	s.mu.Lock()
	s.removeLease(id)
	s.mu.Unlock()
	s.answerWrite(w, http.StatusOK, struct{}{})
}
