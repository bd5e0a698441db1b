// Package dispatcher selects the endpoint that serves a request. It performs no
// I/O and is safe for concurrent use. The package is part of the program
// persimmontrail.
//
// An entry, a server that receives requests, uses a Router to choose the
// endpoint of each. An agent manages an endpoint, reports its state to the
// entries and passes requests on to it. An endpoint has a number of slots, each
// of which runs one request at a time. An endpoint that fails repeatedly is
// ejected: it gets no requests except single ones that probe whether it works
// again. A failure domain that is out gets no new requests. An endpoint is in
// service if it gets requests whenever it has capacity and is not ejected. A
// permit allows an agent to start work for a limited time and carries the
// configuration revision under which it was issued.
//
// Requests that find no free capacity wait in a queue per service, ordered by
// slack: the time left until they must start to meet their deadline. The
// weighted use of a workspace, the slot time of its requests divided by its
// weight, limits how far one workspace can get ahead of the others. To shed is
// to refuse a request in favour of others when capacity or the queue is full. A
// retry is a further try of a request; a budget limits the number of retries.
package dispatcher

import (
	"math/rand/v2"
	"sync"
	"time"

	"persimmontrail/pkg/descriptor"
)

const (
	// ReportTimeout is the time after its last report for which an endpoint gets new requests.
	ReportTimeout = 1500 * time.Millisecond
	// DefaultQueueLimit is the default maximum number of queued requests of a service.
	DefaultQueueLimit = 1024
	// DefaultMaxConnections is the maximum number of open connections of an endpoint whose reports state no maximum.
	DefaultMaxConnections = 64
	// DefaultDeadline applies to a request without a deadline whose class has no target.
	DefaultDeadline = 30 * time.Second

	// endpointRetention is the time for which an endpoint without reports is kept at least. An agent has a new name
	// after each restart, so the endpoints of earlier incarnations would accumulate without a limit.
	endpointRetention = time.Minute
)

// EndpointReport is the state of an endpoint as reported by its agent.
type EndpointReport struct {
	// Agent identifies one incarnation of an agent process.
	Agent   string
	Address string
	// Sequence increases with each report of an Agent. A report that is not newer than the last one is ignored, unless
	// its Sequence is 0.
	Sequence      uint64
	Endpoint      descriptor.EndpointID
	Service       descriptor.ServiceID
	FailureDomain descriptor.FailureDomainID
	Region        descriptor.RegionID
	// Slots is the number of requests that can run at the same time, Busy the number of those running, and Queued the
	// number of those waiting at the agent.
	Slots, Busy, Queued int
	// Connections is the maximum number of open connections; 0 means DefaultMaxConnections.
	Connections int
	Healthy     bool
	Leaving     bool
	// Revision is the highest configuration revision that the agent has received in a permit.
	Revision descriptor.Revision
}

// Choice is the selection of an endpoint for a request. Each choice must be passed to Release.
type Choice struct {
	// Number identifies the choice within the router.
	Number    uint64
	Agent     string
	Address   string
	Endpoint  descriptor.EndpointID
	Service   descriptor.ServiceID
	Region    descriptor.RegionID
	Class     descriptor.ClassID
	Workspace descriptor.WorkspaceID
	// Probe is set for the single request that tests an ejected endpoint.
	Probe bool
}

// Router selects endpoints and contains the queues of the services. The zero value is ready for use, but knows no
// classes, weights or failure domains before Configure. The exported fields must not change after the first call.
type Router struct {
	// FailureDomain and Region are the location of the entry that uses the router.
	FailureDomain descriptor.FailureDomainID
	Region        descriptor.RegionID
	// Seed is the seed of the random source that draws the two candidates of chooseLessLoaded.
	Seed uint64
	// QueueLimit is the maximum number of queued requests of a service; 0 means DefaultQueueLimit.
	QueueLimit int
	// Now is the clock of Release and Acquire; nil means time.Now. The other methods get the time as an argument.
	Now func() time.Time
	// LinkCost returns the time added by sending a request of the given size to another region. If it is nil, no
	// request leaves the region.
	LinkCost func(to descriptor.RegionID, bytes int64) time.Duration

	mu     sync.Mutex
	random *rand.Rand
	// endpoints contains the endpoints by agent.
	endpoints  map[string]*endpoint
	services   map[descriptor.ServiceID]*service
	classes    map[descriptor.ClassID]descriptor.Class
	weights    map[descriptor.WorkspaceID]float64
	domainsOut map[descriptor.FailureDomainID]bool
	// returnRevisions contains the configuration revision at which a failure domain was put back into service. Agents
	// in the domain refuse work until they have received a permit of that revision.
	returnRevisions  map[descriptor.FailureDomainID]descriptor.Revision
	budget           retryBudget
	lastChoiceNumber uint64
}

// service is the state that all requests for one service share. It is created at the first mention of the service and
// never removed.
type service struct {
	name      descriptor.ServiceID
	endpoints []*endpoint
	// lastSuccess is the time of the last success of any endpoint. It shows whether failures are limited to one
	// endpoint.
	lastSuccess time.Time
	queue       queue
	estimates   map[descriptor.ClassID]*estimate
}

func (r *Router) now() time.Time {
	if r.Now != nil {
		return r.Now()
	}
	return time.Now()
}

func (r *Router) queueLimit() int {
	if r.QueueLimit > 0 {
		return r.QueueLimit
	}
	return DefaultQueueLimit
}

// Configure sets the classes, the weights of the workspaces and the failure domains that are out, and assigns capacity
// to queued requests.
func (r *Router) Configure(cfg *descriptor.Configuration, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.classes = make(map[descriptor.ClassID]descriptor.Class, len(cfg.Classes))
	for _, c := range cfg.Classes {
		r.classes[c.Name] = c
	}
	r.weights = workspaceWeights(cfg.Workspaces)
	previouslyOut := r.domainsOut
	r.domainsOut = make(map[descriptor.FailureDomainID]bool)
	if r.returnRevisions == nil {
		r.returnRevisions = make(map[descriptor.FailureDomainID]descriptor.Revision)
	}
	for _, d := range cfg.FailureDomains {
		switch {
		case d.Out:
			r.domainsOut[d.Name] = true
		case previouslyOut[d.Name]:
			r.returnRevisions[d.Name] = cfg.Revision
		}
	}
	for _, s := range r.services {
		r.dispatch(s, now)
	}
}

// Update adds the reported endpoint or replaces its last report, and assigns capacity to queued requests. A report from
// a new agent at a known address replaces the endpoint of the earlier agent. A report that is not newer than the last
// one is ignored; see EndpointReport.Sequence.
func (r *Router) Update(report EndpointReport, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e := r.endpoints[report.Agent]
	if e != nil && report.Sequence != 0 && report.Sequence <= e.report.Sequence {
		return
	}
	if e != nil && e.report.Service != report.Service {
		r.removeEndpoint(e)
		e = nil
	}
	s := r.service(report.Service)
	if e == nil {
		r.removeEarlierIncarnation(report)
		e = r.addEndpoint(s, report.Agent, now)
	}
	e.update(report, now)
	r.dispatch(s, now)
}

// removeEarlierIncarnation removes an endpoint reported by an earlier agent process at the same address, as the new
// process would refuse its requests.
func (r *Router) removeEarlierIncarnation(report EndpointReport) {
	for _, e := range r.endpoints {
		if report.Address != "" && e.report.Address == report.Address {
			r.removeEndpoint(e)
		}
	}
}

// Remove removes the endpoint of an agent that is gone. Results of choices that are still in flight there are ignored.
func (r *Router) Remove(agent string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e := r.endpoints[agent]; e != nil {
		r.removeEndpoint(e)
	}
}

// Pick selects an endpoint without queueing, or refuses the request. It refuses with ErrShed if no endpoint that may
// serve the request has capacity, and also while requests are queued, so that they are not overtaken. A zero deadline
// has the same meaning as in RouteRequest.
func (r *Router) Pick(class descriptor.ClassID, workspace descriptor.WorkspaceID, deadline time.Time, tried []string, now time.Time) (Choice, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	request := r.withDeadline(RouteRequest{Class: class, Workspace: workspace, Deadline: deadline, Tried: tried}, now)
	s := r.service(r.classes[class].Service)
	if s.pastLatestStart(request, now) {
		return Choice{}, r.refuse(ErrDeadline, s, request, now)
	}
	if !r.anyUntriedInService(s, request.Tried, now) {
		return Choice{}, r.refuse(ErrNoEndpoint, s, request, now)
	}
	if s.queue.size > 0 {
		return Choice{}, r.refuse(ErrShed, s, request, now)
	}
	e := r.selectEndpoint(s, request, now)
	if e == nil {
		return Choice{}, r.refuse(ErrShed, s, request, now)
	}
	s.queue.charge(request.Workspace, s.slotTime(request.Class, now))
	return r.startRequest(e, request, now), nil
}

// Release ends a choice with the result of the request and assigns the capacity to queued requests. An empty result
// means that the request was abandoned for a reason unrelated to the endpoint. elapsed is the service time of the
// request and is used only with ResultDone. A second call with the same choice releases nothing.
func (r *Router) Release(c Choice, result descriptor.Result, elapsed time.Duration) {
	now := r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.service(c.Service)
	if e := r.endpoints[c.Agent]; e != nil && e.removeInFlight(c.Number) {
		r.recordResult(s, e, c, result, elapsed, now)
	}
	r.dispatch(s, now)
}

// recordResult updates the estimates and the health of e with the result of a request. ResultDone is a success, an
// empty result is neither success nor failure, and any other result is a failure.
func (r *Router) recordResult(s *service, e *endpoint, c Choice, result descriptor.Result, elapsed time.Duration, now time.Time) {
	switch result {
	case "":
	case descriptor.ResultDone:
		s.addServiceTime(c.Class, elapsed, now)
		s.lastSuccess = now
		e.recordSuccess()
	default:
		e.recordFailure(now)
		if e.shouldEject(s) && r.canEject(s, now) {
			e.eject(now)
		}
	}
}

// SpendRetry reports whether the retry budget allows a retry. If it does, the retry is deducted from the budget.
func (r *Router) SpendRetry(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget.spend(now)
}

// startRequest counts a request as in flight at e and returns the choice. A request without Tried agents is not a retry
// and adds to the retry budget.
func (r *Router) startRequest(e *endpoint, request RouteRequest, now time.Time) Choice {
	r.lastChoiceNumber++
	if len(request.Tried) == 0 {
		r.budget.deposit(now)
	}
	probe := e.ejected()
	e.addInFlight(r.lastChoiceNumber)
	return Choice{
		Number: r.lastChoiceNumber, Agent: e.report.Agent, Address: e.report.Address, Endpoint: e.report.Endpoint,
		Service: e.report.Service, Region: e.report.Region, Class: request.Class, Workspace: request.Workspace, Probe: probe,
	}
}

// withDeadline returns the request. If the request has no deadline, it sets the one given by the target of the class or
// DefaultDeadline.
func (r *Router) withDeadline(request RouteRequest, now time.Time) RouteRequest {
	if !request.Deadline.IsZero() {
		return request
	}
	within := r.classes[request.Class].FinishWithin.TimeDuration()
	if within <= 0 {
		within = DefaultDeadline
	}
	request.Deadline = now.Add(within)
	return request
}

// service returns the state of a service, which is created if necessary.
func (r *Router) service(name descriptor.ServiceID) *service {
	if s := r.services[name]; s != nil {
		return s
	}
	if r.services == nil {
		r.services = make(map[descriptor.ServiceID]*service)
	}
	s := &service{name: name, estimates: make(map[descriptor.ClassID]*estimate)}
	r.services[name] = s
	return s
}

// addEndpoint adds an endpoint for agent to s; the caller must set its report. It also removes endpoints of any service
// that have no requests in flight and have not been reported for endpointRetention.
func (r *Router) addEndpoint(s *service, agent string, now time.Time) *endpoint {
	for _, e := range r.endpoints {
		if now.Sub(e.reportedAt) > endpointRetention && len(e.inFlight) == 0 {
			r.removeEndpoint(e)
		}
	}
	if r.endpoints == nil {
		r.endpoints = make(map[string]*endpoint)
	}
	e := &endpoint{inFlight: make(map[uint64]struct{})}
	r.endpoints[agent] = e
	s.endpoints = append(s.endpoints, e)
	return e
}

func (r *Router) removeEndpoint(e *endpoint) {
	delete(r.endpoints, e.report.Agent)
	s := r.service(e.report.Service)
	for i, o := range s.endpoints {
		if o == e {
			s.endpoints = append(s.endpoints[:i], s.endpoints[i+1:]...)
			return
		}
	}
}
