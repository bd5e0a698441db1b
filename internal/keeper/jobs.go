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
	// jobBuckets is the number of job documents of a region.
	jobBuckets = 16
	// retention is how long ended jobs and claims are kept for callers that ask again.
	retention = 24 * time.Hour
	// concurrentReads bounds the documents that All reads at the same time, to spare a slow link.
	concurrentReads = 4
)

// ErrJobDiffers means that another job was accepted under the same id.
var ErrJobDiffers = errors.New("another job has this id")

// JobState is the durable state of a job.
type JobState string

// States of a job.
const (
	JobQueued  JobState = "Queued"
	JobRunning JobState = "Running"
	// JobCancelling means that the caller has cancelled a job that may still run.
	JobCancelling JobState = "Cancelling"
	JobEnded      JobState = "Ended"
)

// JobRecord is what the store keeps of an accepted job.
type JobRecord struct {
	// Job loses its Payload when it has ended.
	Job      descriptor.Job
	Accepted time.Time
	State    JobState
	// Attempt and Epoch are those of the latest start that was recorded.
	Attempt descriptor.Attempt
	Epoch   descriptor.Epoch
	// ClaimedAt is when a job that runs at most once was claimed for its attempt, by the clock of the scheduler.
	ClaimedAt time.Time         `json:",omitzero"`
	Result    descriptor.Result `json:",omitempty"`
	Reason    string            `json:",omitempty"`
	// EndedAt is set when State is JobEnded; the record is deleted 24 h later.
	EndedAt time.Time
}

// Jobs keeps the accepted jobs of a region.
type Jobs struct {
	Store  *Store
	Region descriptor.RegionID
}

type jobBucket struct {
	Marks
	// Jobs by JobKey.String.
	Jobs map[string]JobRecord
}

func (b *jobBucket) deleteOld(now time.Time) {
	for k, r := range b.Jobs {
		if r.State == JobEnded && now.Sub(r.EndedAt) > retention {
			delete(b.Jobs, k)
		}
	}
}

func bucketOf(name string, buckets uint32) uint32 {
	h := fnv.New32a()
	h.Write([]byte(name))
	return h.Sum32() % buckets
}

func (j Jobs) document(bucket uint32) string {
	return fmt.Sprintf("jobs/%s/%02d", j.Region, bucket)
}

func (j Jobs) documentOf(key descriptor.JobKey) string {
	return j.document(bucketOf(key.String(), jobBuckets))
}

// Accept records a job. Repeating it returns the record that exists. The zero values of Accepted and State are set.
func (j Jobs) Accept(ctx context.Context, r JobRecord) (JobRecord, error) {
	if r.Accepted.IsZero() {
		r.Accepted = time.Now().UTC()
	}
	if r.State == "" {
		r.State = JobQueued
	}
	key := r.Job.Key()
	var result JobRecord
	_, err := update(ctx, j.Store, j.documentOf(key), "", growthLimit, func(b *jobBucket) (bool, error) {
		b.deleteOld(time.Now())
		old, ok := b.Jobs[key.String()]
		if ok && !sameJob(old, r.Job) {
			return false, fmt.Errorf("%w: %s", ErrJobDiffers, key)
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

// sameJob reports whether next repeats the job of r. An ended record has no payload to compare.
func sameJob(r JobRecord, next descriptor.Job) bool {
	if r.State == JobEnded || (len(next.Payload) == 0 && len(r.Job.Payload) == 0) {
		next.Payload = r.Job.Payload
	}
	return reflect.DeepEqual(r.Job, next)
}

// Change applies change to the record of a job and returns the result, or ErrNotFound. change is applied once to the
// stored record, also when answers are lost, but may be called more often; with an error the record stays as it is.
func (j Jobs) Change(ctx context.Context, key descriptor.JobKey, change func(*JobRecord) error) (JobRecord, error) {
	var result JobRecord
	_, err := update(ctx, j.Store, j.documentOf(key), "", MaxDocument, func(b *jobBucket) (bool, error) {
		old, ok := b.Jobs[key.String()]
		if !ok {
			return false, fmt.Errorf("%w: job %s", ErrNotFound, key)
		}
		result = old
		if err := change(&result); err != nil {
			return false, err
		}
		if result.State == JobEnded {
			// An ended job never runs again. Its payload would fill the document for the time of the retention.
			result.Job.Payload = nil
			if result.EndedAt.IsZero() {
				result.EndedAt = time.Now().UTC()
			}
		}
		if reflect.DeepEqual(old, result) {
			return false, nil
		}
		b.Jobs[key.String()] = result
		b.deleteOld(time.Now())
		return true, nil
	})
	if err != nil {
		return JobRecord{}, err
	}
	return result, nil
}

// Get returns the record of a job, or ErrNotFound.
func (j Jobs) Get(ctx context.Context, key descriptor.JobKey) (JobRecord, error) {
	b, err := j.read(ctx, j.documentOf(key))
	if err != nil {
		return JobRecord{}, err
	}
	r, ok := b.Jobs[key.String()]
	if !ok {
		return JobRecord{}, fmt.Errorf("%w: job %s", ErrNotFound, key)
	}
	return r, nil
}

func (j Jobs) read(ctx context.Context, document string) (jobBucket, error) {
	data, _, err := j.Store.Get(ctx, document)
	if errors.Is(err, ErrNotFound) {
		return jobBucket{}, nil
	}
	if err != nil {
		return jobBucket{}, err
	}
	return decodeJobs(document, data)
}

func decodeJobs(document string, data []byte) (jobBucket, error) {
	var b jobBucket
	if err := json.Unmarshal(data, &b); err != nil {
		return jobBucket{}, fmt.Errorf("document %s: %w", document, err)
	}
	return b, nil
}

// All returns the records of the region in no order. It fails unless every document was read.
func (j Jobs) All(ctx context.Context) ([]JobRecord, error) {
	r := JobReader{Jobs: j}
	return r.All(ctx)
}

// JobReader reads all jobs of a region again and again. It keeps the documents, so that each is transferred and decoded
// only after a change. A reader is used by pointer and by one goroutine.
type JobReader struct {
	Jobs Jobs
	held [jobBuckets]heldBucket
}

type heldBucket struct {
	bucket  jobBucket
	version Version
}

// All returns the records of the region in no order. It fails unless every document was read or is unchanged.
func (r *JobReader) All(ctx context.Context) ([]JobRecord, error) {
	var errs [jobBuckets]error
	var wg sync.WaitGroup
	for first := range uint32(concurrentReads) {
		wg.Go(func() {
			for i := first; i < jobBuckets; i += concurrentReads {
				errs[i] = r.held[i].read(ctx, r.Jobs.Store, r.Jobs.document(i))
			}
		})
	}
	wg.Wait()
	if err := errors.Join(errs[:]...); err != nil {
		return nil, err
	}
	var all []JobRecord
	for i := range r.held {
		for _, record := range r.held[i].bucket.Jobs {
			all = append(all, record)
		}
	}
	return all, nil
}

// read brings the bucket up to date.
func (h *heldBucket) read(ctx context.Context, s *Store, document string) error {
	data, v, err := s.getChanged(ctx, document, h.version)
	if errors.Is(err, ErrUnchanged) {
		return nil
	}
	if errors.Is(err, ErrNotFound) {
		*h = heldBucket{}
		return nil
	}
	if err != nil {
		return err
	}
	b, err := decodeJobs(document, data)
	if err != nil {
		return err
	}
	*h = heldBucket{bucket: b, version: v}
	return nil
}
