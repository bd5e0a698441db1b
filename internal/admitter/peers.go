package admitter

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"persimmontrail/internal/archiver"
	"persimmontrail/internal/connector"
	"persimmontrail/internal/encoder"
	"persimmontrail/internal/limiter"
)

// Paths of the HTTP interface between entries.
const (
	// CallPath accepts a forwarded Call and returns a Reply.
	CallPath = "/call"
	// PlanPath accepts the highest revision that the sender knows of the store keys that operators write, and returns a
	// PlanUpdate.
	PlanPath = "/plan"
	// DocumentPath accepts a document that the sender has just written to the store.
	DocumentPath = "/note"
)

const (
	// peerCallTimeout bounds a call at another entry. It is long enough for a write to a slow store.
	peerCallTimeout = 900 * time.Millisecond
	// minPeerCallTime is the shortest time left to the deadline with which a call is still forwarded; a call that is cut
	// short has an unknown outcome.
	minPeerCallTime = 250 * time.Millisecond
	// outageTTL is how long an entry forwards no calls after a forwarded call has shown that no other entry can reach
	// the store.
	outageTTL = 300 * time.Millisecond
	// maxPeersAsked bounds the entries that are asked for one call. Asking all of them would take a second in a large
	// deployment, and while the store is away for all, the messages would grow with the square of the entries. If a third
	// of the entries are cut off, one call in a hundred finds no other one and is refused.
	maxPeersAsked = 5
	// unreachableTTL is how long no calls are forwarded to an entry that did not answer. It spares calls to entries that
	// were replaced, whose documents remain in the store.
	unreachableTTL = 5 * time.Second
	// maxMessageBytes bounds the body of a request or response between entries.
	maxMessageBytes = 4 << 20
	// planPollInterval is how often an entry that cannot reach the store polls other entries for the configuration.
	planPollInterval = 400 * time.Millisecond
)

// serveByPeers forwards a call that this entry could not serve to some of the other entries, the leader first. local is this
// entry's reply. The result is the final reply and, for logs, where it came from. Once this or another entry may have
// carried out a submission, the reply is never a refusal.
func (a *Admitter) serveByPeers(ctx context.Context, c Call, local Reply) (Reply, string) {
	c.Forwarded, c.Config = true, a.Plan.NewestKnown()
	unknownReply := Reply{}
	if local.Code == CodeUnknown {
		unknownReply = local
	}
	peers := a.peersToAsk()
	if a.outageRecent() {
		peers = nil
	}
	askedCount := 0
	for _, m := range peers {
		if !hasTime(ctx, minPeerCallTime) {
			break
		}
		askedCount++
		c.Timeout = peerCallTimeout
		r, err := a.callPeer(ctx, m, c)
		if err != nil {
			a.Log.Info("entry did not answer", "node", m.Node, "job", c.Workload.ID, "err", err)
			if errors.Is(err, errPeerBusy) {
				continue
			}
			a.markUnreachable(m)
			if !connector.NotSent(err) && c.Action == ActionSubmit {
				unknownReply = Reply{Code: CodeUnknown, Reason: "entry " + m.Node + " did not answer"}
			}
			continue
		}
		// The peer may have used a newer configuration; from now on this entry must not use its older one.
		a.Plan.NotePeerRevision(r.Config)
		if r.Code == CodeUnknown {
			unknownReply = r
			continue
		}
		if unknownReply.Code != "" && c.Action == ActionSubmit && r.Code != CodeDone {
			// An earlier try may have been accepted under a configuration that the peer has already replaced.
			continue
		}
		if r.Code != CodeLocalFailure && r.Code != CodeRefused {
			a.markServing(m)
			return r, m.Node
		}
	}
	if unknownReply.Code != "" {
		return unknownReply, "elsewhere"
	}
	if askedCount > 0 && askedCount == len(peers) {
		a.recordOutage()
	}
	if c.Action == ActionState {
		if r := a.serveLocally(ctx, c, true); r.Code == CodeDone {
			return r, "here, from stale data"
		}
	}
	return Reply{Code: CodeRefused, Reason: "no entry reaches the store"}, "nowhere"
}

// markUnreachable excludes an entry from forwarding for unreachableTTL.
func (a *Admitter) markUnreachable(m archiver.Member) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.unreachableUntil == nil {
		a.unreachableUntil = map[string]time.Time{}
	}
	a.unreachableUntil[m.Address] = time.Now().Add(unreachableTTL)
}

// recordOutage records that none of the entries asked could reach the store either.
func (a *Admitter) recordOutage() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastOutageAt = time.Now()
}

// outageRecent reports whether an outage was recorded within outageTTL.
func (a *Admitter) outageRecent() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Since(a.lastOutageAt) < outageTTL
}

func (a *Admitter) isUnreachable(m archiver.Member) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Now().Before(a.unreachableUntil[m.Address])
}

// notifyTimeout bounds a notification of the leader. A failure is harmless, as the leader also gets the document from
// its watch.
const notifyTimeout = 300 * time.Millisecond

// notifyLeader sends the leader a document that was just written, since its watch may report it a second later. It does
// not wait for the answer, and sends nothing if this entry leads or the leader is unknown or unreachable.
func (a *Admitter) notifyLeader(i archiver.Item) {
	item, ok := a.Documents.Get(archiver.LeaderKey)
	if !ok {
		return
	}
	leader, err := archiver.DecodeMember(item)
	if err != nil {
		a.Log.Debug("document set aside", "key", item.Key, "revision", item.Revision, "err", err)
		return
	}
	if leader.Node == a.Node || a.isUnreachable(leader) {
		return
	}
	body, err := encoder.Marshal(i)
	if err != nil {
		a.Log.Error("failed to encode document for the leader", "key", i.Key, "err", err)
		return
	}
	go func() {
		_, err := a.postToPeer(context.Background(), leader.Address, DocumentPath, body, notifyTimeout)
		if connector.OnReused(err) {
			_, err = a.postToPeer(context.Background(), leader.Address, DocumentPath, body, notifyTimeout)
		}
		if err != nil {
			a.Log.Info("failed to send document to the leader", "key", i.Key, "leader", leader.Node, "err", err)
		}
	}()
}

// peers returns the other entries that are not marked as unreachable, the leader first.
func (a *Admitter) peers() []archiver.Member {
	var members []archiver.Member
	var leader archiver.Member
	a.Documents.Each(func(i archiver.Item) bool {
		kind, _ := archiver.ParseKey(i.Key)
		if kind != archiver.KindEntry && kind != archiver.KindLeader {
			return true
		}
		m, err := archiver.DecodeMember(i)
		if err != nil {
			// Debug, since this is met at each forwarded call.
			a.Log.Debug("document set aside", "key", i.Key, "revision", i.Revision, "err", err)
			return true
		}
		if kind == archiver.KindLeader {
			leader = m
		} else if m.Node != a.Node && !a.isUnreachable(m) {
			members = append(members, m)
		}
		return true
	})
	for i := range members {
		if members[i].Node == leader.Node {
			members[0], members[i] = members[i], members[0]
		}
	}
	return members
}

// peersToAsk returns at most maxPeersAsked other entries: the leader, then the one that has served a call last, then others
// by chance.
func (a *Admitter) peersToAsk() []archiver.Member {
	members := a.peers()
	if len(members) <= 1 {
		return members
	}
	others := members[1:]
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	a.mu.Lock()
	serving := a.servingAddress
	a.mu.Unlock()
	if i := slices.IndexFunc(others, func(m archiver.Member) bool { return m.Address == serving }); i > 0 {
		others[0], others[i] = others[i], others[0]
	}
	return members[:min(len(members), maxPeersAsked)]
}

// markServing records that an entry has served a forwarded call.
func (a *Admitter) markServing(m archiver.Member) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.servingAddress = m.Address
}

// callPeer forwards a call to another entry and waits for the reply for 200 ms longer than c.Timeout. A call that was lost
// with a connection of earlier calls is forwarded once more, on a new connection, before the entry counts as
// unreachable. The first submission may have been accepted then, so only the acceptance of the second one is known.
func (a *Admitter) callPeer(ctx context.Context, m archiver.Member, c Call) (Reply, error) {
	var r Reply
	body, err := encoder.Marshal(c)
	if err != nil {
		return r, err
	}
	timeout := c.Timeout + 200*time.Millisecond
	data, err := a.postToPeer(ctx, m.Address, CallPath, body, timeout)
	repeated := connector.OnReused(err) && hasTime(ctx, minPeerCallTime)
	if repeated {
		a.Log.Info("call repeated on a new connection", "node", m.Node, "job", c.Workload.ID, "err", err)
		if data, err = a.postToPeer(ctx, m.Address, CallPath, body, timeout); connector.NotSent(err) || errors.Is(err, errPeerBusy) {
			// The first call was sent.
			err = fmt.Errorf("repeated call: %s", err)
		}
	}
	if err != nil {
		return r, err
	}
	if err := encoder.Unmarshal(data, &r); err != nil {
		return r, err
	}
	if repeated && c.Action == ActionSubmit && r.Code != CodeDone {
		r = Reply{Code: CodeUnknown, Reason: "entry " + m.Node + " did not answer at first", Config: r.Config}
	}
	return r, nil
}

// hasTime reports whether ctx has at least d left.
func hasTime(ctx context.Context, d time.Duration) bool {
	deadline, ok := ctx.Deadline()
	return !ok || time.Until(deadline) >= d
}

// errPeerBusy means that another entry had no room for a call and did not look at it.
var errPeerBusy = errors.New("entry has no room for the call")

// postToPeer posts body to another entry and returns the body of its response.
func (a *Admitter) postToPeer(ctx context.Context, address, path string, body []byte, timeout time.Duration) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	response, err := a.Entries.Do(request, maxMessageBytes)
	if err != nil {
		return nil, err
	}
	if response.Status == http.StatusServiceUnavailable {
		return nil, errPeerBusy
	}
	if response.Status != http.StatusOK {
		return nil, fmt.Errorf("entry answered with status %d", response.Status)
	}
	return response.Body, nil
}

// PeerHandler returns the handler of requests from other entries. A forwarded call is served until its own timeout,
// even if the connection of the forwarding entry ends before.
func (a *Admitter) PeerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+CallPath, func(w http.ResponseWriter, r *http.Request) {
		var c Call
		if !receive(w, r, &c, func() int64 { return c.Workload.MemorySize() }) {
			return
		}
		c.Forwarded = true
		a.Plan.NotePeerRevision(c.Config)
		a.writeCBOR(w, a.Serve(context.WithoutCancel(r.Context()), c))
	})
	mux.HandleFunc("POST "+DocumentPath, func(w http.ResponseWriter, r *http.Request) {
		var i archiver.Item
		if !receive(w, r, &i, func() int64 { return int64(len(i.Value)) }) {
			return
		}
		a.Documents.Merge(i)
	})
	mux.HandleFunc("POST "+PlanPath, func(w http.ResponseWriter, r *http.Request) {
		var knownRevision archiver.Revision
		if !receive(w, r, &knownRevision, func() int64 { return 0 }) {
			return
		}
		a.writeCBOR(w, a.planUpdate(knownRevision))
	})
	return mux
}

// receive reads and decodes the body of a request. size returns the memory of the decoded value. After a failure, which
// it answers, receive returns false.
func receive(w http.ResponseWriter, r *http.Request, value any, size func() int64) bool {
	data, err := limiter.ReadBody(w, r, maxMessageBytes)
	if err == nil {
		err = limiter.Decode(w, r, func() (limiter.Bytes, error) {
			err := encoder.UnmarshalMessage(data, value)
			return limiter.Bytes(size()), err
		})
	}
	if err != nil {
		http.Error(w, err.Error(), limiter.Status(err))
	}
	return err == nil
}

// PlanUpdate answers an entry that cannot reach the store and asks for the store keys that operators write.
type PlanUpdate struct {
	// Fresh is true if the answering entry has confirmed its configuration as the newest within maxPlanAge.
	Fresh bool
	// Items are those of the store keys written by operators that changed after the revision known to the asking entry.
	Items []archiver.Item
}

// planUpdate returns the items of this entry's mirror of the store keys that operators write, as far as they changed
// after knownRevision. Removed keys are not among them.
func (a *Admitter) planUpdate(knownRevision archiver.Revision) PlanUpdate {
	update := PlanUpdate{Fresh: a.planConfirmedWithin(maxPlanAge)}
	a.OperatorKeys.Each(func(i archiver.Item) bool {
		if i.Revision > knownRevision {
			update.Items = append(update.Items, i)
		}
		return true
	})
	return update
}

// writeCBOR encodes value as the body of the response.
func (a *Admitter) writeCBOR(w http.ResponseWriter, value any) {
	data, err := encoder.Marshal(value)
	if err != nil {
		a.Log.Error("failed to encode response", "err", err)
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	if _, err := w.Write(data); err != nil {
		a.Log.Debug("failed to send response", "err", err)
	}
}

// PollPeers polls other entries for the store keys that operators write while this entry cannot confirm its
// configuration with the store. It does not poll before the documents, which name the other entries, are loaded. It
// returns when ctx is done.
func (a *Admitter) PollPeers(ctx context.Context) {
	for sleep(ctx, planPollInterval) {
		if a.planConfirmedWithin(maxPlanAge) || a.Documents.Confirmed().IsZero() {
			continue
		}
		for _, m := range a.peersToAsk() {
			if a.pollPeer(ctx, m) {
				a.markServing(m)
				break
			}
		}
	}
}

// pollPeer gets newer items of the store keys that operators write from another entry. It reports whether that entry's
// configuration is fresh.
func (a *Admitter) pollPeer(ctx context.Context, m archiver.Member) bool {
	var knownRevision archiver.Revision
	a.OperatorKeys.Each(func(i archiver.Item) bool {
		knownRevision = max(knownRevision, i.Revision)
		return true
	})
	body, err := encoder.Marshal(knownRevision)
	if err != nil {
		a.Log.Error("failed to encode revision", "err", err)
		return false
	}
	data, err := a.postToPeer(ctx, m.Address, PlanPath, body, storeTimeout)
	var update PlanUpdate
	if err == nil {
		err = encoder.Unmarshal(data, &update)
	}
	if err != nil {
		a.Log.Debug("failed to get configuration from entry", "node", m.Node, "err", err)
		return false
	}
	for _, i := range update.Items {
		a.OperatorKeys.Merge(i)
	}
	return update.Fresh
}
