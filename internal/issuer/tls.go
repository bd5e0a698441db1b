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

// serverTLS returns a TLS configuration that verifies clients in a callback. It does not set ClientCAs, since the
// trusted authority may change between handshakes.
func serverTLS(getCredentials func() (*credentials, error), acceptedRoles []messenger.Role) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		ClientAuth: tls.RequireAnyClientCert,
		// Session tickets are disabled, so that every connection is verified against the current authority.
		SessionTicketsDisabled: true,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return certificateFrom(getCredentials)
		},
		VerifyConnection: connectionVerifier(getCredentials, acceptedRoles),
	}
}

func clientTLS(getCredentials func() (*credentials, error), acceptedRoles []messenger.Role) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		// VerifyConnection verifies servers by authority and role, not by host name, since processes know each other by IP
		// address.
		InsecureSkipVerify: true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			return certificateFrom(getCredentials)
		},
		VerifyConnection: connectionVerifier(getCredentials, acceptedRoles),
	}
}

func certificateFrom(getCredentials func() (*credentials, error)) (*tls.Certificate, error) {
	creds, err := getCredentials()
	if err != nil {
		return nil, err
	}
	return &creds.certificate, nil
}

// connectionVerifier returns a callback that checks the authority and the role of the peer. Without acceptedRoles, it
// accepts processRoles.
func connectionVerifier(getCredentials func() (*credentials, error), acceptedRoles []messenger.Role) func(tls.ConnectionState) error {
	if len(acceptedRoles) == 0 {
		acceptedRoles = processRoles
	}
	return func(state tls.ConnectionState) error {
		if len(state.PeerCertificates) == 0 {
			return errors.New("peer has no certificate")
		}
		creds, err := getCredentials()
		if err != nil {
			return err
		}
		leaf := state.PeerCertificates[0]
		if err := verifyChain(leaf, creds.trustedCAs, time.Now()); err != nil {
			return err
		}
		id, err := messenger.CertificateIdentity(leaf)
		if err != nil {
			return err
		}
		if !slices.Contains(acceptedRoles, id.Role) {
			return fmt.Errorf("%w: %q of %q, want one of %q", ErrRole, id.Role, id.Name, acceptedRoles)
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

// checkKey returns an error unless data contains a private key in PKCS #8 form.
func checkKey(data []byte) error {
	block, _ := pem.Decode(data)
	if block == nil {
		return errors.New("no key in PEM")
	}
	_, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	return err
}
