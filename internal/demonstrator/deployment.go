package demonstrator

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"persimmontrail/internal/coordinator"
	"persimmontrail/internal/faker"
	"persimmontrail/internal/issuer"
	"persimmontrail/internal/messenger"
	"persimmontrail/internal/supervisor"
	"persimmontrail/pkg/descriptor"
)

const (
	loopback = "127.0.0.1:0"
	// workersPerDomain and acceleratorsPerWorker give each of the three failure domains 16
	// accelerators.
	workersPerDomain      = 2
	acceleratorsPerWorker = 8
	// readyTimeout bounds the start of an entry or agent and each wait for the deployment to be ready.
	readyTimeout = 10 * time.Second
)

// machine holds the stand-ins of one VM of the platform: a worker and an endpoint, which share an
// agent.
type machine struct {
	worker   *faker.Worker
	endpoint *faker.Endpoint
}

// Deployment is a complete system in one process: stand-ins for the platform, entries and agents,
// connected over loopback.
type Deployment struct {
	Store    *faker.Store
	Ledger   faker.Ledger
	machines []machine
	// entries are the base URLs of the entries, one per region.
	entries   []string
	authority *issuer.Authority
	log       *log.Logger
	// group contains all goroutines of the deployment.
	group    sync.WaitGroup
	stop     context.CancelFunc
	failures chan error
}

// startDeployment starts the stand-ins, one entry per region, and the machines of each failure domain.
func startDeployment(ctx context.Context, cfg *descriptor.Configuration, logger *log.Logger) (*Deployment, error) {
	authority, err := issuer.NewAuthority()
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(ctx)
	d := &Deployment{Store: &faker.Store{}, authority: authority, log: logger, stop: stop, failures: make(chan error, 32)}
	storeURL, err := d.serveHTTP(ctx, d.Store)
	if err != nil {
		stop()
		return nil, err
	}
	addresses := map[descriptor.RegionID]string{}
	for _, domain := range cfg.FailureDomains {
		if addresses[domain.Region] != "" {
			continue
		}
		if addresses[domain.Region], err = d.startEntry(ctx, domain, storeURL); err != nil {
			stop()
			return nil, err
		}
	}
	for _, domain := range cfg.FailureDomains {
		for i := range workersPerDomain {
			if err := d.startMachine(ctx, domain, i, addresses[domain.Region]); err != nil {
				stop()
				return nil, err
			}
		}
	}
	return d, nil
}

// Close shuts everything down gracefully and waits for it.
func (d *Deployment) Close() {
	d.stop()
	d.group.Wait()
}

// serveHTTP serves h on loopback and returns the base URL.
func (d *Deployment) serveHTTP(ctx context.Context, h http.Handler) (string, error) {
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	d.group.Go(func() { _ = server.Serve(listener) })
	// Keep the stand-ins available while entries and agents shut down.
	context.AfterFunc(ctx, func() {
		time.AfterFunc(5*time.Second, func() { _ = server.Close() })
	})
	return "http://" + listener.Addr().String(), nil
}

// startEntry starts an entry in the failure domain and returns its address for messages.
func (d *Deployment) startEntry(ctx context.Context, domain descriptor.FailureDomain, storeURL string) (string, error) {
	name := "entry-" + string(domain.Region)
	serverTLS, err := d.authority.Server(messenger.RoleEntry, name)
	if err != nil {
		return "", err
	}
	clientTLS, err := d.authority.Client(messenger.RoleEntry, name)
	if err != nil {
		return "", err
	}
	ready := make(chan [2]string, 1)
	s := coordinator.Settings{
		Name:          descriptor.EntryID(name),
		Region:        domain.Region,
		FailureDomain: domain.Name,
		Listen:        loopback,
		HTTPListen:    loopback,
		StoreURL:      storeURL,
		ServerTLS:     serverTLS,
		ClientTLS:     clientTLS,
		Log:           d.log.WithPrefix("entry"),
		Ready:         func(httpAddress, address string) { ready <- [2]string{httpAddress, address} },
	}
	d.runInBackground(func() error { return coordinator.Run(ctx, s) })
	addresses, err := d.awaitAddresses(ready)
	d.entries = append(d.entries, "http://"+addresses[0])
	return addresses[1], err
}

// runInBackground runs f in a goroutine and reports its error to awaitAddresses.
func (d *Deployment) runInBackground(f func() error) {
	d.group.Go(func() {
		if err := f(); err != nil {
			d.failures <- err
		}
	})
}

// awaitAddresses returns the HTTP address and the message address of a process once it is ready.
func (d *Deployment) awaitAddresses(ready chan [2]string) ([2]string, error) {
	select {
	case addresses := <-ready:
		return addresses, nil
	case err := <-d.failures:
		return [2]string{}, err
	case <-time.After(readyTimeout):
		return [2]string{}, fmt.Errorf("a process was not ready within %v", readyTimeout)
	}
}

// startMachine starts the stand-ins of a machine and their agent.
func (d *Deployment) startMachine(ctx context.Context, domain descriptor.FailureDomain, index int, entry string) error {
	name := fmt.Sprintf("%s-%d", domain.Name, index)
	m := machine{
		worker: &faker.Worker{Description: descriptor.Worker{
			ID:            descriptor.WorkerID(name),
			Rack:          descriptor.RackID(string(domain.Name) + "-rack"),
			FailureDomain: domain.Name,
			Region:        domain.Region,
			Cores:         64,
			Memory:        128_000,
			Accelerators:  acceleratorsPerWorker,
			Guard:         true,
		}},
		endpoint: &faker.Endpoint{ID: descriptor.EndpointID(name), Service: service, ServiceTime: 20 * time.Millisecond},
	}
	workerURL, err := d.serveHTTP(ctx, m.worker)
	if err != nil {
		return err
	}
	if m.endpoint.URL, err = d.serveHTTP(ctx, m.endpoint); err != nil {
		return err
	}
	if err := d.startAgent(ctx, domain, name, workerURL, entry, m.endpoint); err != nil {
		return err
	}
	d.Ledger.Add(m.worker)
	d.machines = append(d.machines, m)
	return nil
}

// startAgent starts an agent and lets the endpoint announce itself to it.
func (d *Deployment) startAgent(ctx context.Context, domain descriptor.FailureDomain, name, workerURL, entry string, endpoint *faker.Endpoint) error {
	serverTLS, err := d.authority.Server(messenger.RoleAgent, name)
	if err != nil {
		return err
	}
	clientTLS, err := d.authority.Client(messenger.RoleAgent, name)
	if err != nil {
		return err
	}
	ready := make(chan [2]string, 1)
	s := supervisor.Settings{
		Name:          name,
		Listen:        loopback,
		HTTPListen:    loopback,
		Entries:       []string{entry},
		FailureDomain: domain.Name,
		Region:        domain.Region,
		WorkerURL:     workerURL,
		Logger:        d.log.WithPrefix("agent"),
		Ready:         func(address, httpAddress string) { ready <- [2]string{httpAddress, address} },
	}
	client := s.SetTransport(serverTLS, clientTLS)
	d.runInBackground(func() error {
		defer client.Close()
		return supervisor.Run(ctx, s)
	})
	addresses, err := d.awaitAddresses(ready)
	if err != nil {
		return err
	}
	d.group.Go(func() { endpoint.Announce(ctx, "http://"+addresses[0], http.DefaultClient) })
	return nil
}
