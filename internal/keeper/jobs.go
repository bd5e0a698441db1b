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
	// jobBucketCount is the number of documents among which the jobs of a region are divided by the hash of their key.
	jobBucketCount = 16
	// endedRetention is how long ended jobs and resolved claims are kept, so that a caller who repeats a call gets the
	// recorded outcome.
	endedRetention = 24 * time.Hour
	// maxConcurrentReads bounds the documents that JobReader.All reads at the same time, to limit the load on a slow link.
	maxConcurrentReads = 4
)

// ErrJobExists means that a different job was already accepted under the same id.
var ErrJobExists = errors.New("another job has this id")

// JobState is the state in a job's record. A job in state JobEnded never runs again.
type JobState string

const (
	// JobQueued means that the job waits for an attempt, or that the start of its attempt is not recorded yet.
	JobQueued JobState = "Queued"
	// JobRunning means that an attempt has started or, for a non-idempotent job, that it was claimed and may have started.
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
	// ClaimedAt is the time, by the scheduler's clock, at which a non-idempotent job was claimed for its attempt.
	ClaimedAt time.Time         `json:",omitzero"`
	Result    descriptor.Result `json:",omitempty"`
	Reason    string            `json:",omitempty"`
	// EndedAt is set when State is JobEnded. The record is deleted by the first write to its document after
	// endedRetention (24 h).
	EndedAt time.Time
}

// Jobs stores the accepted jobs of a region.
type Jobs struct {
	Store  *Store
	Region descriptor.RegionID
}

// jobBucket is a document that holds a part of the jobs of a region.
type jobBucket struct {
	Marks
	// Jobs is keyed by "workspace/job", the form that JobKey.String returns.
	Jobs map[string]JobRecord
}

func (b *jobBucket) deleteExpired(now time.Time) {
	for k, r := range b.Jobs {
		if r.State == JobEnded && now.Sub(r.EndedAt) > endedRetention {
			delete(b.Jobs, k)
		}
	}
}

// bucketIndex returns the index, less than bucketCount, of the document that holds the record of key.
func bucketIndex(key string, bucketCount uint32) uint32 {
	h := fnv.New32a()
	h.Write([]byte(key))
	return h.Sum32() % bucketCount
}

func (j Jobs) documentKey(bucket uint32) string {
	return fmt.Sprintf("jobs/%s/%02d", j.Region, bucket)
}

func (j Jobs) documentKeyFor(key descriptor.JobKey) string {
	return j.documentKey(bucketIndex(key.String(), jobBucketCount))
}

// Accept records a job and returns its record. If the same job is already recorded, Accept returns that record
// unchanged. If a different job has the same key, it returns ErrJobExists. r.Accepted and r.State default to the
// current time and JobQueued.
func (j Jobs) Accept(ctx context.Context, r JobRecord) (JobRecord, error) {
	if r.Accepted.IsZero() {
		r.Accepted = time.Now().UTC()
	}
	if r.State == "" {
		r.State = JobQueued
	}
	key := r.Job.Key()
	var stored JobRecord
	_, err := update(ctx, j.Store, j.documentKeyFor(key), "", growthLimitBytes, func(b *jobBucket) (bool, error) {
		b.deleteExpired(time.Now())
		old, ok := b.Jobs[key.String()]
		if ok && !sameJob(old, r.Job) {
			return false, fmt.Errorf("%w: %s", ErrJobExists, key)
		}
		if ok {
			stored = old
			return false, nil
		}
		if b.Jobs == nil {
			b.Jobs = map[string]JobRecord{}
		}
		b.Jobs[key.String()] = r
		stored = r
		return true, nil
	})
	if err != nil {
		return JobRecord{}, err
	}
	return stored, nil
}

// sameJob reports whether job is the same as the one in r. The payload of an ended job is not compared, as it is no
// longer stored. Nil and empty payloads are equal.
func sameJob(r JobRecord, job descriptor.Job) bool {
	if r.State == JobEnded || (len(job.Payload) == 0 && len(r.Job.Payload) == 0) {
		job.Payload = r.Job.Payload
	}
	return reflect.DeepEqual(r.Job, job)
}

// Change applies change to the record of a job and returns the new record, or ErrNotFound. The effect is stored at most
// once even when responses are lost, although change may be called several times. If change returns an error, the
// record is not modified. If change sets State to JobEnded, Change removes the payload and sets EndedAt unless it is
// set.
func (j Jobs) Change(ctx context.Context, key descriptor.JobKey, change func(*JobRecord) error) (JobRecord, error) {
	var updated JobRecord
	_, err := update(ctx, j.Store, j.documentKeyFor(key), "", MaxDocumentBytes, func(b *jobBucket) (bool, error) {
		old, ok := b.Jobs[key.String()]
		if !ok {
			return false, fmt.Errorf("%w: job %s", ErrNotFound, key)
		}
		updated = old
		if err := change(&updated); err != nil {
			return false, err
		}
		if updated.State == JobEnded {
			// An ended job never runs again, and its payload would take up space in the document until the record is deleted.
			updated.Job.Payload = nil
			if updated.EndedAt.IsZero() {
				updated.EndedAt = time.Now().UTC()
			}
		}
		if reflect.DeepEqual(old, updated) {
			return false, nil
		}
		b.Jobs[key.String()] = updated
		b.deleteExpired(time.Now())
		return true, nil
	})
	if err != nil {
		return JobRecord{}, err
	}
	return updated, nil
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

// All returns the job records of the region in no particular order. It returns an error if any document could not be
// read.
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
	bucket jobBucket
	// version is the version of the document, 0 if it does not exist or was not read yet.
	version Version
}

// All returns the job records of the region in no particular order. It returns an error if any document could neither
// be read nor confirmed to be unchanged.
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
	var records []JobRecord
	for i := range r.buckets {
		for _, record := range r.buckets[i].bucket.Jobs {
			records = append(records, record)
		}
	}
	return records, nil
}

// refresh reads the document if its version differs from the cached one. If the document does not exist, the bucket
// becomes empty. After an error, the bucket is unchanged.
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
