package supervisor

import (
	"context"
	"net"
	"net/url"
	"time"

	"persimmontrail/internal/enforcer"
)

// probeTimeout bounds the time to connect to an endpoint when the agent checks whether it is up.
const probeTimeout = 500 * time.Millisecond

// sendRequest sends a request to the endpoint and counts its result.
func (a *agent) sendRequest(ctx context.Context, call enforcer.ServeCall) ([]byte, error) {
	start := time.Now()
	body, err := a.endpoint.serve(ctx, call)
	a.countRequest(call.Request, err, time.Since(start))
	return body, err
}

// probeEndpoint announces the endpoint from the settings to the enforcer if it accepts connections.
func (a *agent) probeEndpoint(ctx context.Context) {
	s := a.settings
	u, err := url.Parse(s.EndpointURL)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", u.Host)
	if err != nil {
		return
	}
	c.Close()
	a.enforcer.Announce(enforcer.EndpointAnnouncement{
		ID:          s.EndpointID,
		Service:     s.Service,
		URL:         s.EndpointURL,
		Slots:       s.Slots,
		Connections: s.Connections,
	})
}
