package peers

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"net/netip"
	"os"
)

// Credentials are a host's certificate and the CA of its fleet. Both sides of a
// connection must present a certificate signed by the CA.
type Credentials struct {
	cert tls.Certificate
	pool *x509.CertPool
}

// LoadCredentials reads the credentials from PEM files.
func LoadCredentials(certFile, keyFile, caFile string) (*Credentials, error) {
	cert, err := os.ReadFile(certFile)
	if err != nil {
		return nil, fmt.Errorf("read certificate: %w", err)
	}
	key, err := os.ReadFile(keyFile)
	if err != nil {
		return nil, fmt.Errorf("read certificate key: %w", err)
	}
	ca, err := os.ReadFile(caFile)
	if err != nil {
		return nil, fmt.Errorf("read CA certificate: %w", err)
	}
	return NewCredentials(cert, key, ca)
}

// NewCredentials decodes credentials from PEM data.
func NewCredentials(cert, key, ca []byte) (*Credentials, error) {
	pair, err := tls.X509KeyPair(cert, key)
	if err != nil {
		return nil, fmt.Errorf("decode host certificate: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(ca) {
		return nil, fmt.Errorf("decode CA certificate: no certificate in %d bytes of PEM", len(ca))
	}
	return &Credentials{cert: pair, pool: pool}, nil
}

// server returns the TLS settings of the accepting side.
func (c *Credentials) server() *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{c.cert},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    c.pool,
	}
}

// client returns the TLS settings of the dialling side, which requires that the
// server's certificate is valid for the dialled IP address.
func (c *Credentials) client(addr netip.AddrPort) *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{c.cert},
		RootCAs:      c.pool,
		ServerName:   addr.Addr().Unmap().String(),
	}
}
