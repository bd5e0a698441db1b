package commander

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"os"
	"sync/atomic"

	"github.com/peterbourgon/ff/v3/ffcli"

	"persimmontrail/internal/issuer"
	"persimmontrail/pkg/validator"
)

func (p *Program) keysCommand() *ffcli.Command {
	f := newFlags("keys")
	dir := f.String("dir", "keys", "directory for the files; it is created if missing")
	ips := f.String("ips", "", "IP addresses besides loopback that the certificates name, separated by commas")
	return &ffcli.Command{
		Name:       "keys",
		ShortUsage: "persimmontrail keys [flags]",
		ShortHelp:  "Make a local authority with certificates for a trial.",
		LongHelp: `The files are authority.crt and, for entry, agent and operator, ROLE.crt and ROLE.key. Keep the keys of a
real deployment with your own authority; the role stands in the subject's organizational unit.`,
		FlagSet: f,
		Exec: func(context.Context, []string) error {
			var addresses []net.IP
			for _, text := range splitList(*ips) {
				ip := net.ParseIP(text)
				if ip == nil {
					return validator.Errors{{Field: "ips", Reason: fmt.Sprintf("%q is no IP address", text)}}
				}
				addresses = append(addresses, ip)
			}
			if err := os.MkdirAll(*dir, 0o700); err != nil {
				return validator.Errors{{Field: "dir", Reason: err.Error()}}
			}
			authority, err := issuer.NewAuthority()
			if err != nil {
				return err
			}
			if err := authority.WriteFiles(*dir, issuer.WithIPs(addresses...)); err != nil {
				return err
			}
			_, err = fmt.Fprintf(p.Stdout, "wrote authority.crt and the keys of entry, agent and operator to %s\n", *dir)
			return err
		},
	}
}

// loadHTTPKeys returns the TLS settings for callers, or nil when no keys are
// set. The files are read at each handshake, so that they can be replaced; when
// that fails, the last good certificate is used.
func loadHTTPKeys(files issuer.Files) (*tls.Config, error) {
	if files.Certificate == "" && files.Key == "" {
		return nil, nil
	}
	first, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	if err != nil {
		return nil, validator.Errors{{Field: "http-tls-certificate", Reason: err.Error()}}
	}
	var last atomic.Pointer[tls.Certificate]
	last.Store(&first)
	get := func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
		if c, err := tls.LoadX509KeyPair(files.Certificate, files.Key); err == nil {
			last.Store(&c)
		}
		return last.Load(), nil
	}
	return &tls.Config{MinVersion: tls.VersionTLS13, GetCertificate: get}, nil
}
