package messenger

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
)

// Role is the function of a process in the system. In certificates, it is the organizational unit of the subject.
type Role string

const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// Identity is the role and name in the certificate of a process. The name is the common name of the subject.
type Identity struct {
	Role Role
	Name string
}

// CertificateIdentity returns the identity in a certificate, or an error unless the subject has exactly one
// organizational unit. It does not verify the certificate and accepts any role.
func CertificateIdentity(c *x509.Certificate) (Identity, error) {
	if len(c.Subject.OrganizationalUnit) != 1 {
		return Identity{}, fmt.Errorf("certificate of %q has %d organizational units, want one that names the role", c.Subject.CommonName, len(c.Subject.OrganizationalUnit))
	}
	return Identity{Role: Role(c.Subject.OrganizationalUnit[0]), Name: c.Subject.CommonName}, nil
}

// peerIdentity returns the identity of the remote process, whose certificate the TLS configuration has already
// accepted. It returns an error for a role other than RoleEntry and RoleAgent.
func peerIdentity(state tls.ConnectionState) (Identity, error) {
	if len(state.PeerCertificates) == 0 {
		return Identity{}, errors.New("peer has no certificate")
	}
	id, err := CertificateIdentity(state.PeerCertificates[0])
	if err != nil {
		return Identity{}, err
	}
	if id.Role != RoleEntry && id.Role != RoleAgent {
		return Identity{}, fmt.Errorf("peer %q has role %q, want %q or %q", id.Name, id.Role, RoleEntry, RoleAgent)
	}
	return id, nil
}

// protocolTLS returns a copy of c that requires TLS 1.3, protocolName and a client certificate.
// The same applies to configurations that GetConfigForClient of c returns.
func protocolTLS(c *tls.Config) *tls.Config {
	c = c.Clone()
	c.MinVersion = tls.VersionTLS13
	c.NextProtos = []string{protocolName}
	if c.ClientAuth < tls.RequireAnyClientCert {
		c.ClientAuth = tls.RequireAndVerifyClientCert
	}
	if getConfig := c.GetConfigForClient; getConfig != nil {
		c.GetConfigForClient = func(h *tls.ClientHelloInfo) (*tls.Config, error) {
			selected, err := getConfig(h)
			if err != nil || selected == nil {
				return nil, err
			}
			return protocolTLS(selected), nil
		}
	}
	return c
}
