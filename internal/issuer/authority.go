// Package issuer issues certificates for the system's processes and operators. It also loads certificates from files,
// and reloads them when the files change.
//
// A certificate contains a role and a name. The roles of processes are entry, for those that accept jobs and requests,
// and agent, for those that run them. Credentials are a certificate, its key and the trusted authorities.
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

// RoleOperator is the role in the certificates of operators. It is not the role of a process, so TLS configurations
// refuse it by default.
const RoleOperator messenger.Role = "operator"

const (
	authorityName = "persimmontrail authority"
	// authorityValidity is the validity period of the authority's own certificate. Like defaultValidity, it is meant for
	// tests and small installations.
	authorityValidity = 10 * 365 * 24 * time.Hour
	// defaultValidity is the validity period of certificates issued without the option WithValidity.
	defaultValidity = 365 * 24 * time.Hour
	// clockSkew is the difference between the clocks of two VMs that is tolerated. Certificates are valid from this
	// long before they are issued.
	clockSkew = 5 * time.Minute
	// serialBits is the maximum length of random serial numbers, in bits.
	serialBits = 127
)

// Authority is a certificate authority with an ECDSA key on P-256.
type Authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

// NewAuthority creates an authority with a new key and a self-signed certificate.
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

// Option changes the template of a certificate before it is issued.
type Option func(*x509.Certificate)

// WithIPs adds IP addresses to the loopback addresses, which every certificate contains.
func WithIPs(ips ...net.IP) Option {
	return func(c *x509.Certificate) { c.IPAddresses = append(c.IPAddresses, ips...) }
}

// WithDNSNames adds host names to "localhost", which every certificate contains.
func WithDNSNames(names ...string) Option {
	return func(c *x509.Certificate) { c.DNSNames = append(c.DNSNames, names...) }
}

// WithValidity sets the period in which the certificate is valid. By default it begins clockSkew ago and ends after
// defaultValidity.
func WithValidity(from, until time.Time) Option {
	return func(c *x509.Certificate) { c.NotBefore, c.NotAfter = from, until }
}

// Issue creates an ECDSA key on P-256, and a certificate for it that contains a role and a name. The certificate is
// valid for clients and servers.
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

// Pool returns a certificate pool that contains only this authority.
func (a *Authority) Pool() *x509.CertPool {
	pool := x509.NewCertPool()
	pool.AddCert(a.certificate)
	return pool
}

// Server issues a certificate and returns a TLS configuration for servers with it. The configuration accepts clients
// with one of acceptedRoles, by default entry and agent.
func (a *Authority) Server(role messenger.Role, name string, acceptedRoles ...messenger.Role) (*tls.Config, error) {
	creds, err := a.issueCredentials(role, name)
	if err != nil {
		return nil, err
	}
	return serverTLS(func() (*credentials, error) { return creds, nil }, acceptedRoles), nil
}

// Client issues a certificate and returns a TLS configuration for clients with it. The configuration accepts servers
// with one of acceptedRoles, by default entry and agent.
func (a *Authority) Client(role messenger.Role, name string, acceptedRoles ...messenger.Role) (*tls.Config, error) {
	creds, err := a.issueCredentials(role, name)
	if err != nil {
		return nil, err
	}
	return clientTLS(func() (*credentials, error) { return creds, nil }, acceptedRoles), nil
}

func (a *Authority) issueCredentials(role messenger.Role, name string) (*credentials, error) {
	cert, err := a.Issue(role, name)
	if err != nil {
		return nil, err
	}
	return &credentials{certificate: cert, trustedCAs: a.Pool()}, nil
}

const (
	authorityFile   = "authority.crt"
	certificateMode = 0o644
	keyMode         = 0o600
)

// WriteCredentials issues a certificate and writes it and its key to dir as ROLE.crt and ROLE.key, and the authority's
// certificate as authority.crt. Each file is replaced atomically.
func (a *Authority) WriteCredentials(dir string, role messenger.Role, name string, options ...Option) (Files, error) {
	certificate, err := a.Issue(role, name, options...)
	if err != nil {
		return Files{}, err
	}
	der, err := x509.MarshalPKCS8PrivateKey(certificate.PrivateKey)
	if err != nil {
		return Files{}, err
	}
	files := FilesIn(dir, role)
	// The key is written first. A running process that reads the files before the certificate is written finds that they
	// do not match, and uses the previous ones until its next check.
	if err := writePEM(files.Key, "PRIVATE KEY", der, keyMode); err != nil {
		return Files{}, err
	}
	if err := writePEM(files.Certificate, "CERTIFICATE", certificate.Certificate[0], certificateMode); err != nil {
		return Files{}, err
	}
	return files, writePEM(files.Authority, "CERTIFICATE", a.certificate.Raw, certificateMode)
}

// WriteFiles issues certificates for the roles entry, agent and operator, each with the role as its name, and writes
// their files to dir.
func (a *Authority) WriteFiles(dir string, options ...Option) error {
	for _, role := range []messenger.Role{messenger.RoleEntry, messenger.RoleAgent, RoleOperator} {
		if _, err := a.WriteCredentials(dir, role, string(role), options...); err != nil {
			return err
		}
	}
	return nil
}

// FilesIn returns the names of the files that WriteCredentials creates in dir for a role.
func FilesIn(dir string, role messenger.Role) Files {
	return Files{
		Authority:   filepath.Join(dir, authorityFile),
		Certificate: filepath.Join(dir, string(role)+".crt"),
		Key:         filepath.Join(dir, string(role)+".key"),
	}
}

func writePEM(name, blockType string, der []byte, mode os.FileMode) error {
	file, err := os.CreateTemp(filepath.Dir(name), filepath.Base(name)+".*")
	if err != nil {
		return err
	}
	defer os.Remove(file.Name())
	defer file.Close()
	if err := file.Chmod(mode); err != nil {
		return err
	}
	if err := pem.Encode(file, &pem.Block{Type: blockType, Bytes: der}); err != nil {
		return err
	}
	if err := file.Close(); err != nil {
		return err
	}
	if err := os.Rename(file.Name(), name); err != nil {
		return fmt.Errorf("replace %s: %w", name, err)
	}
	return nil
}
