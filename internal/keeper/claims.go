package keeper

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"persimmontrail/pkg/descriptor"
)

const (
	// claimBuckets is the number of claim documents.
	claimBuckets = 64
	// unresolvedRetention is how long a claim without a known outcome is kept. It bounds the documents;
	// a repeated request within this time still runs at most once.
	unresolvedRetention = 30 * 24 * time.Hour
)

// ClaimRecord limits a non-idempotent request to at most one run.
type ClaimRecord struct {
	Workspace descriptor.WorkspaceID
	ID        descriptor.RequestID
	// Owner is unique for each try of an entry to run the request; the same Owner may repeat a claim.
	Owner     string
	ClaimedAt time.Time
	// Agent and Address name the run of an agent that alone may run the request.
	Agent   string
	Address string
	// Result is empty until the outcome was recorded.
	Result     descriptor.Result `json:",omitempty"`
	Reason     string            `json:",omitempty"`
	FinishedAt time.Time
}

// Resolved reports whether the outcome is known for good.
func (r ClaimRecord) Resolved() bool {
	return r.Result != "" && r.Result != descriptor.ResultUnknown
}

// Claims keeps the claims of non-idempotent requests.
type Claims struct{ Store *Store }

type claimBucket struct {
	Marks
	// Claims by claimName.
	Claims map[string]ClaimRecord
}

func (b *claimBucket) deleteOld(now time.Time) {
	for k, r := range b.Claims {
		if r.Resolved() && now.Sub(r.FinishedAt) > retention || now.Sub(r.ClaimedAt) > unresolvedRetention {
			delete(b.Claims, k)
		}
	}
}

func claimName(ws descriptor.WorkspaceID, id descriptor.RequestID) string {
	return string(ws) + "/" + string(id)
}

func claimDocument(name string) string {
	return fmt.Sprintf("claims/%02d", bucketOf(name, claimBuckets))
}

// Claim records that r.Owner runs the request. A claim that ended as NotRun gives way to a new one. mine reports whether the claim is r.Owner's; existing is the claim that
// holds. After an error that is not ErrOutcomeUnknown no claim was made.
func (c Claims) Claim(ctx context.Context, r ClaimRecord) (existing ClaimRecord, mine bool, err error) {
	if r.Owner == "" {
		return ClaimRecord{}, false, errors.New("claim: Owner is empty")
	}
	if r.ClaimedAt.IsZero() {
		r.ClaimedAt = time.Now().UTC()
	}
	name := claimName(r.Workspace, r.ID)
	_, err = update(ctx, c.Store, claimDocument(name), "", growthLimit, func(b *claimBucket) (bool, error) {
		b.deleteOld(time.Now())
		if old, ok := b.Claims[name]; ok && (old.Result != descriptor.ResultNotRun || old.Owner == r.Owner) {
			existing = old
			return false, nil
		}
		if b.Claims == nil {
			b.Claims = map[string]ClaimRecord{}
		}
		b.Claims[name] = r
		existing = r
		return true, nil
	})
	if err != nil {
		return ClaimRecord{}, false, err
	}
	return existing, existing.Owner == r.Owner, nil
}

// Finish records the outcome of a request that owner claimed. The first known outcome stays; ResultUnknown may be
// replaced. The outcome of an earlier claim must not end a later one, so it is dropped when owner holds no claim.
func (c Claims) Finish(ctx context.Context, ws descriptor.WorkspaceID, id descriptor.RequestID, owner string, result descriptor.Result, reason string) error {
	name := claimName(ws, id)
	_, err := update(ctx, c.Store, claimDocument(name), "", MaxDocument, func(b *claimBucket) (bool, error) {
		r, ok := b.Claims[name]
		if !ok {
			return false, fmt.Errorf("%w: claim %s", ErrNotFound, name)
		}
		if r.Owner != owner || r.Resolved() || r.Result == result {
			return false, nil
		}
		r.Result, r.Reason, r.FinishedAt = result, reason, time.Now().UTC()
		b.Claims[name] = r
		b.deleteOld(time.Now())
		return true, nil
	})
	return err
}

// Lookup returns the claim of a request, or ErrNotFound.
func (c Claims) Lookup(ctx context.Context, ws descriptor.WorkspaceID, id descriptor.RequestID) (ClaimRecord, error) {
	name := claimName(ws, id)
	data, _, err := c.Store.Get(ctx, claimDocument(name))
	if err != nil {
		return ClaimRecord{}, err
	}
	b, err := decodeClaims(data)
	if err != nil {
		return ClaimRecord{}, err
	}
	r, ok := b.Claims[name]
	if !ok {
		return ClaimRecord{}, fmt.Errorf("%w: claim %s", ErrNotFound, name)
	}
	return r, nil
}

func decodeClaims(data []byte) (claimBucket, error) {
	var b claimBucket
	if err := json.Unmarshal(data, &b); err != nil {
		return claimBucket{}, fmt.Errorf("document of claims: %w", err)
	}
	return b, nil
}
