package issuer

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"fmt"
	"slices"
	"time"

	"persimmontrail/internal/messenger"
)

var processRoles = []messenger.Role{messenger.RoleEntry, messenger.RoleAgent}

// serverTLS verifies clients in a callback instead of by ClientCAs, since the authority may change between handshakes.
func serverTLS(get func() (*keys, error), accept []messenger.Role) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ClientAuth: tls.RequireAnyClientCert,
		// Without tickets every connection is verified against the current authority.
		SessionTicketsDisabled: true,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return certificate(get)
		},
		VerifyConnection: verifier(get, accept),
	}
}

func clientTLS(get func() (*keys, error), accept []messenger.Role) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		// Servers are verified by authority and role in VerifyConnection, not by host name, since processes know each other by IP address.
		InsecureSkipVerify: true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return certificate(get)
		},
		VerifyConnection: verifier(get, accept),
	}
}

func certificate(get func() (*keys, error)) (*tls.Certificate, error) {
	k, err := get()
	if err != nil {
		return nil, err
	}
	return &k.certificate, nil
}

func verifier(get func() (*keys, error), accept []messenger.Role) func(tls.ConnectionState) error {
	if len(accept) == 0 {
		accept = processRoles
	}
	return func(s tls.ConnectionState) error {
		if len(s.PeerCertificates) == 0 {
			return errors.New("peer has no certificate")
		}
		k, err := get()
		if err != nil {
			return err
		}
		leaf := s.PeerCertificates[0]
		if err := verify(leaf, k.pool, time.Now()); err != nil {
			return err
		}
		id, err := messenger.CertificateIdentity(leaf)
		if err != nil {
			return err
		}
		if !slices.Contains(accept, id.Role) {
			return fmt.Errorf("%w: %q of %q, want one of %q", ErrRole, id.Role, id.Name, accept)
		}
		return nil
	}
}

func parseCertificate(data []byte) (*x509.Certificate, error) {
	block, _ := pem.Decode(data)
	if block == nil || block.Type != "CERTIFICATE" {
		return nil, errors.New("no certificate in PEM")
	}
	return x509.ParseCertificate(block.Bytes)
}

func parseKey(data []byte) error {
	block, _ := pem.Decode(data)
	if block == nil {
		return errors.New("no key in PEM")
	}
	_, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	return err
}
