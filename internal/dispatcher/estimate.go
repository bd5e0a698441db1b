package dispatcher

import (
	"math"
	"time"

	"persimmontrail/pkg/descriptor"
)

const (
	// estimateGain weighs a new sample as in the round-trip estimate of TCP.
	estimateGain = 1.0 / 8
	// estimateHalfLife lets an estimate that gets no samples decay; otherwise a slow phase would cause all short deadlines to be refused for ever.
	estimateHalfLife = 10 * time.Second
	// assumedTime is used for a service without samples.
	assumedTime = 100 * time.Millisecond
	// maxEstimates bounds the classes of one service that are learned.
	maxEstimates = 1024
)

// estimate is a moving mean and deviation of service times in seconds.
type estimate struct {
	mean, deviation float64
	at              time.Time
}

func (e *estimate) add(sample float64, now time.Time) {
	if e.at.IsZero() {
		e.mean, e.deviation = sample, sample/2
	} else {
		e.deviation += estimateGain * (math.Abs(sample-e.mean) - e.deviation)
		e.mean += estimateGain * (sample - e.mean)
	}
	e.at = now
}

func (e *estimate) decay(now time.Time) float64 {
	idle := now.Sub(e.at)
	if idle <= 0 {
		return 1
	}
	return math.Exp2(-float64(idle) / float64(estimateHalfLife))
}

func (s *service) learnTime(class descriptor.ClassID, elapsed time.Duration, now time.Time) {
	e := s.times[class]
	if e == nil {
		if len(s.times) >= maxEstimates {
			return
		}
		e = &estimate{}
		s.times[class] = e
	}
	e.add(elapsed.Seconds(), now)
}

// expected is the mean service time of a class.
func (s *service) expected(class descriptor.ClassID, now time.Time) time.Duration {
	e := s.times[class]
	if e == nil {
		return 0
	}
	return seconds(e.mean * e.decay(now))
}

// fastest is a service time that most requests of a class exceed, so that no request is refused that still has a fair chance.
func (s *service) fastest(class descriptor.ClassID, now time.Time) time.Duration {
	e := s.times[class]
	if e == nil {
		return 0
	}
	return seconds(max(0, e.mean-2*e.deviation) * e.decay(now))
}

// cost of one request in seconds of a slot.
func (s *service) cost(class descriptor.ClassID, now time.Time) float64 {
	if e := s.times[class]; e != nil {
		return max(e.mean, 0.001)
	}
	return s.meanTime().Seconds()
}

func (s *service) meanTime() time.Duration {
	if len(s.times) == 0 {
		return assumedTime
	}
	sum := 0.0
	for _, e := range s.times {
		sum += e.mean
	}
	return seconds(sum / float64(len(s.times)))
}

// lastStart is the last moment at which a request is worth starting.
func (s *service) lastStart(t Ticket, now time.Time) time.Time {
	return t.Deadline.Add(-s.fastest(t.Class, now))
}

func (s *service) tooLate(t Ticket, now time.Time) bool {
	return !now.Before(s.lastStart(t, now))
}

func seconds(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }
