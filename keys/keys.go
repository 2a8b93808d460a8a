// Package keys makes the certificates by which boxes know each other: an
// authority, and one certificate a box signed by it.
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
	authorityYears = 10
	boxDays        = 90
	serialBits     = 120
	secretMode     = 0o600
	dirMode        = 0o700
)

// Names of the files that the functions of this package write.
const (
	AuthorityCert = "authority.pem"
	AuthorityKey  = "authority-key.pem"
)

// FileError says which file of keys could not be used, and why.
type FileError struct {
	File  string
	Cause error
}

func (e *FileError) Error() string { return fmt.Sprintf("%s: %v", e.File, e.Cause) }

func (e *FileError) Unwrap() error { return e.Cause }

// NoPEMError says that a file holds no key or certificate.
type NoPEMError struct{ File string }

func (e *NoPEMError) Error() string { return e.File + ": holds no PEM block" }

// NewAuthority writes a new authority into dir. An authority that stands there
// already is left alone.
func NewAuthority(dir string) error {
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return &FileError{dir, err}
	}
	if _, err := os.Stat(filepath.Join(dir, AuthorityCert)); err == nil {
		return nil
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return &FileError{dir, err}
	}
	t := certificate("chutereach authority", time.Now().AddDate(authorityYears, 0, 0))
	t.IsCA, t.BasicConstraintsValid = true, true
	t.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, t, t, &key.PublicKey, key)
	if err != nil {
		return &FileError{dir, err}
	}
	return writePair(dir, AuthorityCert, AuthorityKey, der, key)
}

// NewBox writes a certificate and key for the box called name into dir, signed
// by the authority there. They are NAME.pem and NAME-key.pem.
func NewBox(dir, name string) error {
	ca, err := tls.LoadX509KeyPair(filepath.Join(dir, AuthorityCert), filepath.Join(dir, AuthorityKey))
	if err != nil {
		return &FileError{filepath.Join(dir, AuthorityCert), err}
	}
	parent, err := x509.ParseCertificate(ca.Certificate[0])
	if err != nil {
		return &FileError{filepath.Join(dir, AuthorityCert), err}
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return &FileError{dir, err}
	}
	t := certificate(name, time.Now().AddDate(0, 0, boxDays))
	t.DNSNames = []string{ServerName}
	t.KeyUsage = x509.KeyUsageDigitalSignature
	t.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, t, parent, &key.PublicKey, ca.PrivateKey)
	if err != nil {
		return &FileError{dir, err}
	}
	return writePair(dir, name+".pem", name+"-key.pem", der, key)
}

// ServerName is the name that every box's certificate carries: boxes are told
// apart by the subject, and reached by IP numbers that may change.
const ServerName = "box.chutereach.internal"

func certificate(name string, until time.Time) *x509.Certificate {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		panic(err) // crypto/rand does not fail
	}
	return &x509.Certificate{
		SerialNumber: serial, Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: until,
	}
}

func writePair(dir, certFile, keyFile string, der []byte, key *ecdsa.PrivateKey) error {
	secret, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return &FileError{dir, err}
	}
	if err := writePEM(filepath.Join(dir, keyFile), "PRIVATE KEY", secret); err != nil {
		return err
	}
	return writePEM(filepath.Join(dir, certFile), "CERTIFICATE", der)
}

func writePEM(file, kind string, der []byte) error {
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	if err := os.WriteFile(file, data, secretMode); err != nil {
		return &FileError{file, err}
	}
	return nil
}

// Ephemeral returns the TLS configuration of a box that knows no other: keys of
// its own that are never written down.
func Ephemeral(name string) (*tls.Config, error) {
	dir, err := os.MkdirTemp("", "chutereach-keys-")
	if err != nil {
		return nil, &FileError{"temporary keys", err}
	}
	defer os.RemoveAll(dir)
	if err := NewAuthority(dir); err != nil {
		return nil, err
	}
	if err := NewBox(dir, name); err != nil {
		return nil, err
	}
	return Config(Files{filepath.Join(dir, AuthorityCert), filepath.Join(dir, name+".pem"), filepath.Join(dir, name+"-key.pem")})
}

// Files names the files of a box's keys.
type Files struct {
	Authority, Cert, Key string
}

// Config returns the TLS configuration of a box, both as server and as client:
// TLS 1.3, and only with boxes that the authority knows.
func Config(f Files) (*tls.Config, error) {
	cert, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return nil, &FileError{f.Cert, err}
	}
	data, err := os.ReadFile(f.Authority)
	if err != nil {
		return nil, &FileError{f.Authority, err}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, &NoPEMError{f.Authority}
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{cert}, ServerName: ServerName,
		RootCAs: pool, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert,
	}, nil
}
