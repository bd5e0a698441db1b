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
	// loopbackAddress lets the operating system choose a free port on the loopback interface.
	loopbackAddress = "127.0.0.1:0"
	// workersPerDomain and acceleratorsPerWorker give each of the three failure domains 16
	// accelerators.
	workersPerDomain      = 2
	acceleratorsPerWorker = 8
	// readyTimeout bounds the start of each entry and agent, the wait until the deployment is ready, and the
	// tries of a call that must succeed.
	readyTimeout = 10 * time.Second
)

// vm holds the stand-ins on one VM of the platform: a worker and an endpoint, which share an agent.
type vm struct {
	worker   *faker.Worker
	endpoint *faker.Endpoint
}

// Deployment is a complete system in one process: stand-ins for the platform, entries and agents, which
// communicate over loopback.
type Deployment struct {
	Store *faker.Store
	// Ledger collects the task runs of all workers.
	Ledger faker.Ledger
	vms    []vm
	// entries are the base URLs of the entries, one per region.
	entries []string
	// authority issues the certificates of entries and agents.
	authority *issuer.Authority
	log       *log.Logger
	// group waits for all goroutines of the deployment.
	group sync.WaitGroup
	// stop starts the shutdown of all entries, agents and stand-ins.
	stop context.CancelFunc
	// failures receives the errors of entries and agents.
	failures chan error
}

// startDeployment starts the stand-ins, one entry per region, and the VMs of each failure domain. The
// entry is in the first failure domain of its region. After an error, what has been started stops without
// being waited for.
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
	entryAddresses := map[descriptor.RegionID]string{}
	for _, domain := range cfg.FailureDomains {
		if entryAddresses[domain.Region] != "" {
			continue
		}
		if entryAddresses[domain.Region], err = d.startEntry(ctx, domain, storeURL); err != nil {
			stop()
			return nil, err
		}
	}
	for _, domain := range cfg.FailureDomains {
		for i := range workersPerDomain {
			if err := d.startVM(ctx, domain, i, entryAddresses[domain.Region]); err != nil {
				stop()
				return nil, err
			}
		}
	}
	return d, nil
}

// Close shuts the entries and agents down gracefully and waits until they and the stand-ins have stopped. It
// takes at least 5 s, see serveHTTP.
func (d *Deployment) Close() {
	d.stop()
	d.group.Wait()
}

// serveHTTP serves h on loopback until 5 s after ctx ends, and returns the base URL.
func (d *Deployment) serveHTTP(ctx context.Context, h http.Handler) (string, error) {
	listener, err := net.Listen("tcp", loopbackAddress)
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	d.group.Go(func() { _ = server.Serve(listener) })
	// Entries and agents need the stand-ins while they shut down.
	context.AfterFunc(ctx, func() {
		time.AfterFunc(5*time.Second, func() { _ = server.Close() })
	})
	return "http://" + listener.Addr().String(), nil
}

// startEntry starts an entry in the failure domain, for the region of the domain, and returns its message
// address.
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
	readyAddresses := make(chan [2]string, 1)
	s := coordinator.Settings{
		Name:          descriptor.EntryID(name),
		Region:        domain.Region,
		FailureDomain: domain.Name,
		Listen:        loopbackAddress,
		HTTPListen:    loopbackAddress,
		StoreURL:      storeURL,
		ServerTLS:     serverTLS,
		ClientTLS:     clientTLS,
		Log:           d.log.WithPrefix("entry"),
		Ready:         func(httpAddress, address string) { readyAddresses <- [2]string{httpAddress, address} },
	}
	d.runInBackground(func() error { return coordinator.Run(ctx, s) })
	addresses, err := d.awaitAddresses(readyAddresses)
	d.entries = append(d.entries, "http://"+addresses[0])
	return addresses[1], err
}

// runInBackground runs f in a goroutine and sends its error to failures.
func (d *Deployment) runInBackground(f func() error) {
	d.group.Go(func() {
		if err := f(); err != nil {
			d.failures <- err
		}
	})
}

// awaitAddresses returns the HTTP address and the message address of an entry or agent once it is ready. It
// returns an error if any entry or agent fails before, or after readyTimeout.
func (d *Deployment) awaitAddresses(readyAddresses chan [2]string) ([2]string, error) {
	select {
	case addresses := <-readyAddresses:
		return addresses, nil
	case err := <-d.failures:
		return [2]string{}, err
	case <-time.After(readyTimeout):
		return [2]string{}, fmt.Errorf("a process was not ready within %v", readyTimeout)
	}
}

// startVM starts the stand-ins of a VM and their agent, which reports to the entry.
func (d *Deployment) startVM(ctx context.Context, domain descriptor.FailureDomain, index int, entryAddress string) error {
	name := fmt.Sprintf("%s-%d", domain.Name, index)
	v := vm{
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
	workerURL, err := d.serveHTTP(ctx, v.worker)
	if err != nil {
		return err
	}
	if v.endpoint.URL, err = d.serveHTTP(ctx, v.endpoint); err != nil {
		return err
	}
	if err := d.startAgent(ctx, domain, name, workerURL, entryAddress, v.endpoint); err != nil {
		return err
	}
	d.Ledger.Add(v.worker)
	d.vms = append(d.vms, v)
	return nil
}

// startAgent starts an agent and lets the endpoint announce itself to it.
func (d *Deployment) startAgent(ctx context.Context, domain descriptor.FailureDomain, name, workerURL, entryAddress string, endpoint *faker.Endpoint) error {
	serverTLS, err := d.authority.Server(messenger.RoleAgent, name)
	if err != nil {
		return err
	}
	clientTLS, err := d.authority.Client(messenger.RoleAgent, name)
	if err != nil {
		return err
	}
	readyAddresses := make(chan [2]string, 1)
	s := supervisor.Settings{
		Name:          name,
		Listen:        loopbackAddress,
		HTTPListen:    loopbackAddress,
		Entries:       []string{entryAddress},
		FailureDomain: domain.Name,
		Region:        domain.Region,
		WorkerURL:     workerURL,
		Log:           d.log.WithPrefix("agent"),
		Ready:         func(address, httpAddress string) { readyAddresses <- [2]string{httpAddress, address} },
	}
	client := s.SetTransport(serverTLS, clientTLS)
	d.runInBackground(func() error {
		defer client.Close()
		return supervisor.Run(ctx, s)
	})
	addresses, err := d.awaitAddresses(readyAddresses)
	if err != nil {
		return err
	}
	d.group.Go(func() { endpoint.Announce(ctx, "http://"+addresses[0], http.DefaultClient) })
	return nil
}
