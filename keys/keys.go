// Package keys creates and loads the certificates that boxes use for mutual
// TLS: a certificate authority, and one certificate per box signed by it.
package keys

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
	"os"
	"path/filepath"
	"time"
)

const (
	authorityValidityYears = 10
	boxValidityDays        = 90
	serialBits             = 120
	fileMode               = 0o600
	dirMode                = 0o700
)

// Files that EnsureAuthority writes.
const (
	AuthorityCertFile = "authority.pem"
	AuthorityKeyFile  = "authority-key.pem"
)

// FileError reports a certificate or key file that could not be read or written.
type FileError struct {
	File  string
	Cause error
}

func (e *FileError) Error() string { return fmt.Sprintf("%s: %v", e.File, e.Cause) }

func (e *FileError) Unwrap() error { return e.Cause }

// NoCertificateError reports a file without a PEM-encoded certificate.
type NoCertificateError struct{ File string }

func (e *NoCertificateError) Error() string {
	return e.File + ": no valid PEM-encoded certificate found"
}

// EnsureAuthority writes the certificate and key of a new certificate authority to
// dir. It does nothing if dir already has an authority certificate.
func EnsureAuthority(dir string) error {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return &FileError{dir, err}
	}
	if _, err := os.Stat(filepath.Join(dir, AuthorityCertFile)); err == nil {
		return nil
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return &FileError{dir, err}
	}
	template := certificateTemplate("chutereach authority", time.Now().AddDate(authorityValidityYears, 0, 0))
	template.IsCA, template.BasicConstraintsValid = true, true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return &FileError{dir, err}
	}
	return writePair(dir, AuthorityCertFile, AuthorityKeyFile, der, key)
}

// NewBoxCertificate issues a certificate for the named box, signed by the authority in dir.
// It writes NAME.pem and NAME-key.pem to dir.
func NewBoxCertificate(dir, name string) error {
	ca, err := tls.LoadX509KeyPair(filepath.Join(dir, AuthorityCertFile), filepath.Join(dir, AuthorityKeyFile))
	if err != nil {
		return &FileError{filepath.Join(dir, AuthorityCertFile), err}
	}
	parent, err := x509.ParseCertificate(ca.Certificate[0])
	if err != nil {
		return &FileError{filepath.Join(dir, AuthorityCertFile), err}
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return &FileError{dir, err}
	}
	template := certificateTemplate(name, time.Now().AddDate(0, 0, boxValidityDays))
	template.DNSNames = []string{ServerName}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, ca.PrivateKey)
	if err != nil {
		return &FileError{dir, err}
	}
	return writePair(dir, name+".pem", name+"-key.pem", der, key)
}

// ServerName is the DNS name in the certificate of every box. Clients verify it
// in place of the box's IP address, which may change. The name of the box itself
// is the common name of the certificate's subject.
const ServerName = "box.chutereach.internal"

func certificateTemplate(name string, notAfter time.Time) *x509.Certificate {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		panic(err) // unreachable: crypto/rand.Reader never returns an error
	}
	return &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: notAfter,
	}
}

func writePair(dir, certFile, keyFile string, der []byte, key *ecdsa.PrivateKey) error {
	privateKey, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return &FileError{dir, err}
	}
	if err := writePEM(filepath.Join(dir, keyFile), "PRIVATE KEY", privateKey); err != nil {
		return err
	}
	return writePEM(filepath.Join(dir, certFile), "CERTIFICATE", der)
}

func writePEM(file, blockType string, der []byte) error {
	data := pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der})
	if err := os.WriteFile(file, data, fileMode); err != nil {
		return &FileError{file, err}
	}
	return nil
}

// EphemeralConfig returns the TLS configuration of a box that runs without peers. Its
// authority and certificate are generated in a temporary directory, which is
// removed before EphemeralConfig returns.
func EphemeralConfig(name string) (*tls.Config, error) {
	dir, err := os.MkdirTemp("", "chutereach-keys-")
	if err != nil {
		return nil, &FileError{"temporary key directory", err}
	}
	defer os.RemoveAll(dir)
	if err := EnsureAuthority(dir); err != nil {
		return nil, err
	}
	if err := NewBoxCertificate(dir, name); err != nil {
		return nil, err
	}
	return Config(Files{filepath.Join(dir, AuthorityCertFile), filepath.Join(dir, name+".pem"), filepath.Join(dir, name+"-key.pem")})
}

// Files holds the paths of a box's certificate files.
type Files struct {
	Authority, Cert, Key string
}

// Config returns the TLS configuration of a box, for servers and clients. It
// requires TLS 1.3 and a peer certificate signed by the authority.
func Config(f Files) (*tls.Config, error) {
	cert, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return nil, &FileError{f.Cert, err}
	}
	authorityPEM, err := os.ReadFile(f.Authority)
	if err != nil {
		return nil, &FileError{f.Authority, err}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authorityPEM) {
		return nil, &NoCertificateError{f.Authority}
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{cert}, ServerName: ServerName,
		RootCAs: pool, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert,
	}, nil
}
