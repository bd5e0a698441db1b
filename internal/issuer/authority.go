// Package issuer issues certificates for the system's processes and reads them from files that may be replaced at any time.
package issuer

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"

	"persimmontrail/internal/messenger"
)

// RoleOperator is the role of operators' certificates. It is not a role of a process: transport connections refuse it.
const RoleOperator messenger.Role = "operator"

const (
	authorityName = "persimmontrail authority"
	// authorityValidity and defaultValidity bound certificates for tests and small installations.
	authorityValidity = 10 * 365 * 24 * time.Hour
	defaultValidity   = 365 * 24 * time.Hour
	// clockSkew is how far the clocks of two machines may differ.
	clockSkew  = 5 * time.Minute
	serialBits = 127
)

// Authority is a certificate authority with an ECDSA key on P-256.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// NewAuthority creates an authority.
func NewAuthority() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	template, err := newTemplate(pkix.Name{CommonName: authorityName}, now.Add(-clockSkew), now.Add(authorityValidity))
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.MaxPathLenZero = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	certificate, err := x509.ParseCertificate(der)
	return &Authority{certificate: certificate, key: key}, err
}

// Option changes a certificate that is issued.
type Option func(*x509.Certificate)

// WithIPs adds IP addresses to the loopback addresses, which every certificate names.
func WithIPs(ips ...net.IP) Option {
	return func(c *x509.Certificate) { c.IPAddresses = append(c.IPAddresses, ips...) }
}

// WithHosts adds host names to "localhost".
func WithHosts(names ...string) Option {
	return func(c *x509.Certificate) { c.DNSNames = append(c.DNSNames, names...) }
}

// WithValidity sets the time in which the certificate is valid.
func WithValidity(from, until time.Time) Option {
	return func(c *x509.Certificate) { c.NotBefore, c.NotAfter = from, until }
}

// Issue creates a key and a certificate for a role and a name.
func (a *Authority) Issue(role messenger.Role, name string, options ...Option) (tls.Certificate, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return tls.Certificate{}, err
	}
	now := time.Now()
	subject := pkix.Name{CommonName: name, OrganizationalUnit: []string{string(role)}}
	template, err := newTemplate(subject, now.Add(-clockSkew), now.Add(defaultValidity))
	if err != nil {
		return tls.Certificate{}, err
	}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	template.IPAddresses = []net.IP{net.IPv4(127, 0, 0, 1), net.IPv6loopback}
	template.DNSNames = []string{"localhost"}
	for _, o := range options {
		o(template)
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return tls.Certificate{}, err
	}
	leaf, err := x509.ParseCertificate(der)
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key, Leaf: leaf}, err
}

func newTemplate(subject pkix.Name, from, until time.Time) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, err
	}
	return &x509.Certificate{SerialNumber: serial, Subject: subject, NotBefore: from, NotAfter: until}, nil
}

// Pool returns the certificate pool that trusts only this authority.
func (a *Authority) Pool() *x509.CertPool {
	pool := x509.NewCertPool()
	pool.AddCert(a.certificate)
	return pool
}

// Server issues a certificate and returns a TLS configuration for servers that accepts clients of the roles, entry and agent by default.
func (a *Authority) Server(role messenger.Role, name string, accept ...messenger.Role) (*tls.Config, error) {
	k, err := a.keys(role, name)
	if err != nil {
		return nil, err
	}
	return serverTLS(func() (*keys, error) { return k, nil }, accept), nil
}

// Client issues a certificate and returns a TLS configuration for clients that accepts servers of the roles, entry and agent by default.
func (a *Authority) Client(role messenger.Role, name string, accept ...messenger.Role) (*tls.Config, error) {
	k, err := a.keys(role, name)
	if err != nil {
		return nil, err
	}
	return clientTLS(func() (*keys, error) { return k, nil }, accept), nil
}

func (a *Authority) keys(role messenger.Role, name string) (*keys, error) {
	c, err := a.Issue(role, name)
	if err != nil {
		return nil, err
	}
	return &keys{certificate: c, pool: a.Pool()}, nil
}

const (
	authorityFile   = "authority.crt"
	certificateMode = 0o644
	keyMode         = 0o600
)

// Write issues a certificate and writes it and its key to dir as ROLE.crt and ROLE.key, and the authority's certificate as authority.crt.
// Each file is replaced atomically.
func (a *Authority) Write(dir string, role messenger.Role, name string, options ...Option) (Files, error) {
	c, err := a.Issue(role, name, options...)
	if err != nil {
		return Files{}, err
	}
	der, err := x509.MarshalPKCS8PrivateKey(c.PrivateKey)
	if err != nil {
		return Files{}, err
	}
	f := FilesIn(dir, role)
	// The key goes first: a process that reads in between sees a pair that does not match and keeps the previous pair until its next check.
	if err := writePEM(f.Key, "PRIVATE KEY", der, keyMode); err != nil {
		return Files{}, err
	}
	if err := writePEM(f.Certificate, "CERTIFICATE", c.Certificate[0], certificateMode); err != nil {
		return Files{}, err
	}
	return f, writePEM(f.Authority, "CERTIFICATE", a.certificate.Raw, certificateMode)
}

// WriteFiles writes the files of the roles entry, agent and operator to dir.
func (a *Authority) WriteFiles(dir string, options ...Option) error {
	for _, role := range []messenger.Role{messenger.RoleEntry, messenger.RoleAgent, RoleOperator} {
		if _, err := a.Write(dir, role, string(role), options...); err != nil {
			return err
		}
	}
	return nil
}

// FilesIn returns the names that WriteFiles gives to the files of a role.
func FilesIn(dir string, role messenger.Role) Files {
	return Files{
		Authority:   filepath.Join(dir, authorityFile),
		Certificate: filepath.Join(dir, string(role)+".crt"),
		Key:         filepath.Join(dir, string(role)+".key"),
	}
}

func writePEM(name, block string, der []byte, mode os.FileMode) error {
	f, err := os.CreateTemp(filepath.Dir(name), filepath.Base(name)+".*")
	if err != nil {
		return err
	}
	defer os.Remove(f.Name())
	defer f.Close()
	if err := f.Chmod(mode); err != nil {
		return err
	}
	if err := pem.Encode(f, &pem.Block{Type: block, Bytes: der}); err != nil {
		return err
	}
	if err := f.Close(); err != nil {
		return err
	}
	if err := os.Rename(f.Name(), name); err != nil {
		return fmt.Errorf("replace %s: %w", name, err)
	}
	return nil
}
