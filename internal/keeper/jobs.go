package keeper

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"reflect"
	"sync"
	"time"

	"persimmontrail/pkg/descriptor"
)

const (
	// jobBucketCount is the number of documents over which the jobs of a region are hashed.
	jobBucketCount = 16
	// endedRetention is how long ended jobs and resolved claims are kept for callers that repeat a call.
	endedRetention = 24 * time.Hour
	// maxConcurrentReads bounds the documents that All reads at the same time, to limit the load on a slow link.
	maxConcurrentReads = 4
)

// ErrJobExists means that a different job was already accepted under the same id.
var ErrJobExists = errors.New("another job has this id")

// JobState is the stored state of a job.
type JobState string

// States of a job.
const (
	JobQueued  JobState = "Queued"
	JobRunning JobState = "Running"
	// JobCancelling means that the caller has cancelled the job, which may still be running.
	JobCancelling JobState = "Cancelling"
	JobEnded      JobState = "Ended"
)

// JobRecord is the stored record of an accepted job.
type JobRecord struct {
	// Job has no Payload once the job has ended.
	Job      descriptor.Job
	Accepted time.Time
	State    JobState
	// Attempt and Epoch belong to the latest recorded start.
	Attempt descriptor.Attempt
	Epoch   descriptor.Epoch
	// ClaimedAt is when a non-idempotent job was claimed for its attempt, by the scheduler's clock.
	ClaimedAt time.Time         `json:",omitzero"`
	Result    descriptor.Result `json:",omitempty"`
	Reason    string            `json:",omitempty"`
	// EndedAt is set when State is JobEnded. The record is deleted 24 h later.
	EndedAt time.Time
}

// Jobs stores the accepted jobs of a region.
type Jobs struct {
	Store  *Store
	Region descriptor.RegionID
}

type jobBucket struct {
	Marks
	// Jobs is keyed by JobKey.String.
	Jobs map[string]JobRecord
}

func (b *jobBucket) deleteExpired(now time.Time) {
	for k, r := range b.Jobs {
		if r.State == JobEnded && now.Sub(r.EndedAt) > endedRetention {
			delete(b.Jobs, k)
		}
	}
}

func bucketIndex(name string, buckets uint32) uint32 {
	h := fnv.New32a()
	h.Write([]byte(name))
	return h.Sum32() % buckets
}

func (j Jobs) documentKey(bucket uint32) string {
	return fmt.Sprintf("jobs/%s/%02d", j.Region, bucket)
}

func (j Jobs) documentKeyFor(key descriptor.JobKey) string {
	return j.documentKey(bucketIndex(key.String(), jobBucketCount))
}

// Accept records a job and returns its record. Repeating it returns the existing record. Accepted and State default to
// the current time and JobQueued.
func (j Jobs) Accept(ctx context.Context, r JobRecord) (JobRecord, error) {
	if r.Accepted.IsZero() {
		r.Accepted = time.Now().UTC()
	}
	if r.State == "" {
		r.State = JobQueued
	}
	key := r.Job.Key()
	var result JobRecord
	_, err := update(ctx, j.Store, j.documentKeyFor(key), "", growthLimitBytes, func(b *jobBucket) (bool, error) {
		b.deleteExpired(time.Now())
		old, ok := b.Jobs[key.String()]
		if ok && !sameJob(old, r.Job) {
			return false, fmt.Errorf("%w: %s", ErrJobExists, key)
		}
		if ok {
			result = old
			return false, nil
		}
		if b.Jobs == nil {
			b.Jobs = map[string]JobRecord{}
		}
		b.Jobs[key.String()] = r
		result = r
		return true, nil
	})
	if err != nil {
		return JobRecord{}, err
	}
	return result, nil
}

// sameJob reports whether next is the same job as the one in r. The payload of an ended job is not compared, as it is
// no longer stored. Nil and empty payloads are equal.
func sameJob(r JobRecord, next descriptor.Job) bool {
	if r.State == JobEnded || (len(next.Payload) == 0 && len(r.Job.Payload) == 0) {
		next.Payload = r.Job.Payload
	}
	return reflect.DeepEqual(r.Job, next)
}

// Change applies change to the record of a job and returns the result, or ErrNotFound. The change takes effect
// at most once even when responses are lost, although the function change may be called several times. If it returns an
// error, the record is not modified.
func (j Jobs) Change(ctx context.Context, key descriptor.JobKey, change func(*JobRecord) error) (JobRecord, error) {
	var result JobRecord
	_, err := update(ctx, j.Store, j.documentKeyFor(key), "", MaxDocumentBytes, func(b *jobBucket) (bool, error) {
		old, ok := b.Jobs[key.String()]
		if !ok {
			return false, fmt.Errorf("%w: job %s", ErrNotFound, key)
		}
		result = old
		if err := change(&result); err != nil {
			return false, err
		}
		if result.State == JobEnded {
			// An ended job never runs again, and its payload would take up space in the document until the record is deleted.
			result.Job.Payload = nil
			if result.EndedAt.IsZero() {
				result.EndedAt = time.Now().UTC()
			}
		}
		if reflect.DeepEqual(old, result) {
			return false, nil
		}
		b.Jobs[key.String()] = result
		b.deleteExpired(time.Now())
		return true, nil
	})
	if err != nil {
		return JobRecord{}, err
	}
	return result, nil
}

// Get returns the record of a job, or ErrNotFound.
func (j Jobs) Get(ctx context.Context, key descriptor.JobKey) (JobRecord, error) {
	b, err := j.read(ctx, j.documentKeyFor(key))
	if err != nil {
		return JobRecord{}, err
	}
	r, ok := b.Jobs[key.String()]
	if !ok {
		return JobRecord{}, fmt.Errorf("%w: job %s", ErrNotFound, key)
	}
	return r, nil
}

func (j Jobs) read(ctx context.Context, documentKey string) (jobBucket, error) {
	data, _, err := j.Store.Get(ctx, documentKey)
	if errors.Is(err, ErrNotFound) {
		return jobBucket{}, nil
	}
	if err != nil {
		return jobBucket{}, err
	}
	return decodeJobs(documentKey, data)
}

func decodeJobs(documentKey string, data []byte) (jobBucket, error) {
	var b jobBucket
	if err := json.Unmarshal(data, &b); err != nil {
		return jobBucket{}, fmt.Errorf("document %s: %w", documentKey, err)
	}
	return b, nil
}

// All returns the records of the region in no particular order. It fails unless every document could be read.
func (j Jobs) All(ctx context.Context) ([]JobRecord, error) {
	r := JobReader{Jobs: j}
	return r.All(ctx)
}

// JobReader reads all jobs of a region repeatedly. It caches the documents, so that each is transferred and decoded
// only after a change. It is not safe for concurrent use and must not be copied.
type JobReader struct {
	Jobs    Jobs
	buckets [jobBucketCount]cachedBucket
}

type cachedBucket struct {
	bucket  jobBucket
	version Version
}

// All returns the records of the region in no particular order. It fails unless every document could be read or is
// unchanged.
func (r *JobReader) All(ctx context.Context) ([]JobRecord, error) {
	var errs [jobBucketCount]error
	var wg sync.WaitGroup
	for offset := range uint32(maxConcurrentReads) {
		wg.Go(func() {
			for i := offset; i < jobBucketCount; i += maxConcurrentReads {
				errs[i] = r.buckets[i].refresh(ctx, r.Jobs.Store, r.Jobs.documentKey(i))
			}
		})
	}
	wg.Wait()
	if err := errors.Join(errs[:]...); err != nil {
		return nil, err
	}
	var all []JobRecord
	for i := range r.buckets {
		for _, record := range r.buckets[i].bucket.Jobs {
			all = append(all, record)
		}
	}
	return all, nil
}

// refresh updates the cached bucket from the store.
func (c *cachedBucket) refresh(ctx context.Context, s *Store, documentKey string) error {
	data, v, err := s.getChanged(ctx, documentKey, c.version)
	if errors.Is(err, ErrUnchanged) {
		return nil
	}
	if errors.Is(err, ErrNotFound) {
		*c = cachedBucket{}
		return nil
	}
	if err != nil {
		return err
	}
	b, err := decodeJobs(documentKey, data)
	if err != nil {
		return err
	}
	*c = cachedBucket{bucket: b, version: v}
	return nil
}
