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
	// claimBucketCount is the number of documents among which claims are divided by the hash of their key.
	claimBucketCount = 64
	// unresolvedRetention is how long after ClaimedAt a claim is kept at most, even if its outcome is not known. The limit
	// bounds the size of the documents. A caller that repeats a request after its claim was deleted may cause a second
	// run.
	unresolvedRetention = 30 * 24 * time.Hour
)

// ClaimRecord is the claim on a non-idempotent request. It ensures that the request runs at most once.
type ClaimRecord struct {
	Workspace descriptor.WorkspaceID
	ID        descriptor.RequestID
	// Owner is unique to one try of one entry to run the request. A claim may be repeated with the same Owner.
	Owner     string
	ClaimedAt time.Time
	// Agent is the id of the only agent incarnation that may run the request, Address its network address.
	Agent   string
	Address string
	// Result is empty until an outcome is recorded.
	Result     descriptor.Result `json:",omitempty"`
	Reason     string            `json:",omitempty"`
	FinishedAt time.Time
}

// Resolved reports whether the outcome is known and final.
func (r ClaimRecord) Resolved() bool {
	return r.Result != "" && r.Result != descriptor.ResultUnknown
}

// Claims stores the claims on non-idempotent requests.
type Claims struct{ Store *Store }

// claimBucket is a document that holds a part of the claims.
type claimBucket struct {
	Marks
	// Claims is keyed by "workspace/request", the form that claimKey returns.
	Claims map[string]ClaimRecord
}

func (b *claimBucket) deleteExpired(now time.Time) {
	for k, r := range b.Claims {
		if r.Resolved() && now.Sub(r.FinishedAt) > endedRetention || now.Sub(r.ClaimedAt) > unresolvedRetention {
			delete(b.Claims, k)
		}
	}
}

func claimKey(ws descriptor.WorkspaceID, id descriptor.RequestID) string {
	return string(ws) + "/" + string(id)
}

func claimDocumentKey(key string) string {
	return fmt.Sprintf("claims/%02d", bucketIndex(key, claimBucketCount))
}

// Claim records that r.Owner runs the request. It returns the claim that is now stored, and owned reports whether that
// claim belongs to r.Owner. A claim of another owner that ended as NotRun is replaced by r. r.ClaimedAt defaults to the
// current time. After an error other than ErrOutcomeUnknown, r was not recorded.
func (c Claims) Claim(ctx context.Context, r ClaimRecord) (stored ClaimRecord, owned bool, err error) {
	if r.Owner == "" {
		return ClaimRecord{}, false, errors.New("claim: Owner is empty")
	}
	if r.ClaimedAt.IsZero() {
		r.ClaimedAt = time.Now().UTC()
	}
	key := claimKey(r.Workspace, r.ID)
	_, err = update(ctx, c.Store, claimDocumentKey(key), "", growthLimitBytes, func(b *claimBucket) (bool, error) {
		b.deleteExpired(time.Now())
		if old, ok := b.Claims[key]; ok && (old.Result != descriptor.ResultNotRun || old.Owner == r.Owner) {
			stored = old
			return false, nil
		}
		if b.Claims == nil {
			b.Claims = map[string]ClaimRecord{}
		}
		b.Claims[key] = r
		stored = r
		return true, nil
	})
	if err != nil {
		return ClaimRecord{}, false, err
	}
	return stored, stored.Owner == r.Owner, nil
}

// Finish records the outcome of a request that owner claimed. The first known outcome is final; ResultUnknown may be
// replaced. Finish has no effect when another owner holds the claim, so that the late outcome of an earlier claim does
// not end a later one. It returns ErrNotFound if there is no claim.
func (c Claims) Finish(ctx context.Context, ws descriptor.WorkspaceID, id descriptor.RequestID, owner string, result descriptor.Result, reason string) error {
	key := claimKey(ws, id)
	_, err := update(ctx, c.Store, claimDocumentKey(key), "", MaxDocumentBytes, func(b *claimBucket) (bool, error) {
		r, ok := b.Claims[key]
		if !ok {
			return false, fmt.Errorf("%w: claim %s", ErrNotFound, key)
		}
		if r.Owner != owner || r.Resolved() || r.Result == result {
			return false, nil
		}
		r.Result, r.Reason, r.FinishedAt = result, reason, time.Now().UTC()
		b.Claims[key] = r
		b.deleteExpired(time.Now())
		return true, nil
	})
	return err
}

// Lookup returns the claim on a request, or ErrNotFound.
func (c Claims) Lookup(ctx context.Context, ws descriptor.WorkspaceID, id descriptor.RequestID) (ClaimRecord, error) {
	key := claimKey(ws, id)
	data, _, err := c.Store.Get(ctx, claimDocumentKey(key))
	if err != nil {
		return ClaimRecord{}, err
	}
	b, err := decodeClaims(data)
	if err != nil {
		return ClaimRecord{}, err
	}
	r, ok := b.Claims[key]
	if !ok {
		return ClaimRecord{}, fmt.Errorf("%w: claim %s", ErrNotFound, key)
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
