package dispatcher

import (
	"math"
	"time"

	"persimmontrail/pkg/descriptor"
)

const (
	// estimateGain is the weight of a new sample in the mean and in the deviation. TCP uses the same weight for the
	// mean of the round-trip time.
	estimateGain = 1.0 / 8
	// estimateHalfLife is the half-life of an estimate that gets no samples. Without decay, a slow phase would cause
	// all requests with short deadlines to be refused forever.
	estimateHalfLife = 10 * time.Second
	// defaultServiceTime is the meanServiceTime of a service without samples, for slotTime and expectedWait. Deadlines
	// are checked as if a request of a class without samples took no time.
	defaultServiceTime = 100 * time.Millisecond
	// maxEstimatedClasses limits the number of classes per service that have an estimate.
	maxEstimatedClasses = 1024
)

// estimate is a moving average of service times and of their deviation, in seconds.
type estimate struct {
	mean, deviation float64
	updatedAt       time.Time
}

func (e *estimate) add(sample float64, now time.Time) {
	if e.updatedAt.IsZero() {
		e.mean, e.deviation = sample, sample/2
	} else {
		e.deviation += estimateGain * (math.Abs(sample-e.mean) - e.deviation)
		e.mean += estimateGain * (sample - e.mean)
	}
	e.updatedAt = now
}

// decayFactor returns what is left of the estimate now: 1 at its last sample, and half as much after each
// estimateHalfLife.
func (e *estimate) decayFactor(now time.Time) float64 {
	idle := now.Sub(e.updatedAt)
	if idle <= 0 {
		return 1
	}
	return math.Exp2(-float64(idle) / float64(estimateHalfLife))
}

// addServiceTime adds a sample to the estimate of a class. At maxEstimatedClasses, samples of further classes are
// dropped.
func (s *service) addServiceTime(class descriptor.ClassID, elapsed time.Duration, now time.Time) {
	e := s.estimates[class]
	if e == nil {
		if len(s.estimates) >= maxEstimatedClasses {
			return
		}
		e = &estimate{}
		s.estimates[class] = e
	}
	e.add(elapsed.Seconds(), now)
}

// expectedServiceTime returns the decayed mean service time of a class, or 0 if there is no estimate.
func (s *service) expectedServiceTime(class descriptor.ClassID, now time.Time) time.Duration {
	e := s.estimates[class]
	if e == nil {
		return 0
	}
	return secondsToDuration(e.mean * e.decayFactor(now))
}

// optimisticServiceTime returns a service time that most requests of a class exceed, or 0 if there is no estimate. It
// is used to refuse only requests that have hardly any chance to meet their deadlines.
func (s *service) optimisticServiceTime(class descriptor.ClassID, now time.Time) time.Duration {
	e := s.estimates[class]
	if e == nil {
		return 0
	}
	return secondsToDuration(max(0, e.mean-2*e.deviation) * e.decayFactor(now))
}

// slotTime returns how long a request of a class is expected to occupy a slot, in seconds: the mean of the class, not
// decayed and at least 1 ms, or meanServiceTime if the class has no estimate. Since nothing is decayed, now is not used;
// the parameters are the same as those of expectedServiceTime and optimisticServiceTime.
func (s *service) slotTime(class descriptor.ClassID, now time.Time) float64 {
	if e := s.estimates[class]; e != nil {
		return max(e.mean, 0.001)
	}
	return s.meanServiceTime().Seconds()
}

// meanServiceTime returns the mean of the estimates of all classes, or defaultServiceTime if there are none. Each class
// has the same weight, however many requests it has, and the estimates are not decayed.
func (s *service) meanServiceTime() time.Duration {
	if len(s.estimates) == 0 {
		return defaultServiceTime
	}
	sum := 0.0
	for _, e := range s.estimates {
		sum += e.mean
	}
	return secondsToDuration(sum / float64(len(s.estimates)))
}

// latestStart returns the latest time at which a request must start to meet its deadline if it takes
// optimisticServiceTime.
func (s *service) latestStart(request RouteRequest, now time.Time) time.Time {
	return request.Deadline.Add(-s.optimisticServiceTime(request.Class, now))
}

func (s *service) pastLatestStart(request RouteRequest, now time.Time) bool {
	return !now.Before(s.latestStart(request, now))
}

func secondsToDuration(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second))
}
