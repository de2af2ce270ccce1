package peers

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"net"
	"net/netip"
	"time"
)

// clockSkew is how long before its creation a certificate becomes valid, so that
// hosts whose clocks are behind accept it.
const clockSkew = 5 * time.Minute

// CA signs the certificates of a fleet's hosts.
type CA struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// NewCA creates a CA with a self-signed certificate that expires validity after
// now.
func NewCA(name string, now time.Time, validity time.Duration) (*CA, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("create CA key: %w", err)
	}
	tmpl, err := template(name, now, validity)
	if err != nil {
		return nil, err
	}
	tmpl.IsCA, tmpl.BasicConstraintsValid, tmpl.MaxPathLenZero = true, true, true
	tmpl.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, key.Public(), key)
	if err != nil {
		return nil, fmt.Errorf("create CA certificate: %w", err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, fmt.Errorf("parse CA certificate: %w", err)
	}
	return &CA{cert: cert, key: key}, nil
}

// ParseCA decodes a certificate and a key in the form that CA.PEM returns.
func ParseCA(cert, key []byte) (*CA, error) {
	c, _ := pem.Decode(cert)
	k, _ := pem.Decode(key)
	if c == nil || k == nil {
		return nil, errors.New("decode CA: certificate or key is not PEM")
	}
	ca := &CA{}
	var err error
	if ca.cert, err = x509.ParseCertificate(c.Bytes); err != nil {
		return nil, fmt.Errorf("parse CA certificate: %w", err)
	}
	parsed, err := x509.ParsePKCS8PrivateKey(k.Bytes)
	if err != nil {
		return nil, fmt.Errorf("parse CA key: %w", err)
	}
	var ok bool
	if ca.key, ok = parsed.(*ecdsa.PrivateKey); !ok {
		return nil, fmt.Errorf("parse CA key: type %T, want an ECDSA key", parsed)
	}
	return ca, nil
}

// PEM returns the CA's certificate and private key in PEM.
func (c *CA) PEM() (cert, key []byte, err error) { return encode(c.cert.Raw, c.key) }

// IssueHost issues a certificate for a host with the given IP addresses. It returns
// the certificate and its private key in PEM.
func (c *CA) IssueHost(name string, ips []netip.Addr, now time.Time, validity time.Duration) (cert, key []byte, err error) {
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, fmt.Errorf("create host key: %w", err)
	}
	tmpl, err := template(name, now, validity)
	if err != nil {
		return nil, nil, err
	}
	tmpl.KeyUsage = x509.KeyUsageDigitalSignature
	tmpl.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	for _, ip := range ips {
		tmpl.IPAddresses = append(tmpl.IPAddresses, net.IP(ip.Unmap().AsSlice()))
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, c.cert, k.Public(), c.key)
	if err != nil {
		return nil, nil, fmt.Errorf("create host certificate: %w", err)
	}
	return encode(der, k)
}

// template returns the fields that CA and host certificates have in common.
func template(name string, now time.Time, validity time.Duration) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 127))
	if err != nil {
		return nil, fmt.Errorf("create serial number: %w", err)
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(validity),
	}, nil
}

// encode returns a certificate and its key in PEM.
func encode(der []byte, key *ecdsa.PrivateKey) (certPEM, keyPEM []byte, err error) {
	k, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return nil, nil, fmt.Errorf("encode key: %w", err)
	}
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: k}), nil
}
