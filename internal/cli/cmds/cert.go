package cmds

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"time"

	"github.com/yuccalb/yuccalb/internal/adapt/peers"
)

// CertCmd groups the certificate commands.
type CertCmd struct {
	CA   CertCACmd   `cmd:"" name:"ca" help:"Create the certificate authority of a fleet."`
	Host CertHostCmd `cmd:"" help:"Create the certificate of a host."`
}

// day is the unit of the --days flags.
const day = 24 * time.Hour

// File names of a certificate authority.
const (
	caCert = "ca.pem"
	caKey  = "ca-key.pem"
)

// CertCACmd creates a certificate authority for a fleet.
type CertCACmd struct {
	Dir  string `arg:"" help:"Folder for ca.pem and ca-key.pem; the key stays with the operators." type:"existingdir"`
	Days int    `help:"Lifetime in days." default:"3650"`
}

// Run executes the command.
func (c *CertCACmd) Run(e *env) error {
	ca, err := peers.NewCA("yuccalb fleet", time.Now(), time.Duration(c.Days)*day)
	if err != nil {
		return fmt.Errorf("create certificate authority: %w", err)
	}
	cert, key, err := ca.PEM()
	if err != nil {
		return fmt.Errorf("encode certificate authority: %w", err)
	}
	return writePair(e, filepath.Join(c.Dir, caCert), cert, filepath.Join(c.Dir, caKey), key)
}

// CertHostCmd creates a host's certificate.
type CertHostCmd struct {
	Dir  string       `arg:"" help:"Folder with ca.pem and ca-key.pem; gets NAME.pem and NAME-key.pem." type:"existingdir"`
	Name string       `arg:"" help:"Name of the host."`
	IPs  []netip.Addr `arg:"" name:"ip" help:"IP addresses of the host."`
	Days int          `help:"Lifetime in days." default:"365"`
}

// Run executes the command.
func (c *CertHostCmd) Run(e *env) error {
	cert, err := os.ReadFile(filepath.Join(c.Dir, caCert))
	if err != nil {
		return withExitCode(ExitInput, fmt.Errorf("read certificate authority: %w", err))
	}
	key, err := os.ReadFile(filepath.Join(c.Dir, caKey))
	if err != nil {
		return withExitCode(ExitInput, fmt.Errorf("read private key of the certificate authority: %w", err))
	}
	ca, err := peers.ParseCA(cert, key)
	if err != nil {
		return withExitCode(ExitInput, fmt.Errorf("certificate authority in %s: %w", c.Dir, err))
	}
	hostCert, hostKey, err := ca.IssueHost(c.Name, c.IPs, time.Now(), time.Duration(c.Days)*day)
	if err != nil {
		return withExitCode(ExitInput, fmt.Errorf("create certificate of %s: %w", c.Name, err))
	}
	return writePair(e, filepath.Join(c.Dir, c.Name+".pem"), hostCert, filepath.Join(c.Dir, c.Name+"-key.pem"), hostKey)
}

// writePair writes a certificate and its private key. It overwrites neither.
func writePair(e *env, certPath string, cert []byte, keyPath string, key []byte) error {
	for _, f := range []struct {
		path string
		data []byte
		mode os.FileMode
	}{{keyPath, key, 0o600}, {certPath, cert, 0o644}} {
		out, err := os.OpenFile(f.path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, f.mode)
		if err != nil {
			return withExitCode(ExitInput, fmt.Errorf("create file: %w", err))
		}
		_, err = out.Write(f.data)
		if err = errors.Join(err, out.Close()); err != nil {
			return fmt.Errorf("write %s: %w", f.path, err)
		}
		e.Printf("wrote %s\n", f.path)
	}
	return nil
}
