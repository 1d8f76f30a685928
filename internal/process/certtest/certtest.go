// Package certtest makes certificates for tests.
package certtest

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Authority signs certificates for 127.0.0.1, which it writes to files.
type Authority struct {
	t    *testing.T
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// New returns an authority with a folder of its own.
func New(t *testing.T, name string) *Authority {
	t.Helper()
	a := &Authority{t: t, dir: t.TempDir()}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	a.key = key
	template := a.template(name, 1)
	template.IsCA, template.BasicConstraintsValid, template.KeyUsage = true, true, x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	require.NoError(t, err)
	a.cert, err = x509.ParseCertificate(der)
	require.NoError(t, err)
	a.write("ca.pem", "CERTIFICATE", der)
	return a
}

func (a *Authority) template(name string, serial int64) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: name}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
}

func (a *Authority) write(name, kind string, der []byte) string {
	path := filepath.Join(a.dir, name)
	require.NoError(a.t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
	return path
}

// Issue writes a certificate for servers and clients, and its key.
func (a *Authority) Issue(name string) (certFile, keyFile string) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(a.t, err)
	der, err := x509.CreateCertificate(rand.Reader, a.template(name, 2), a.cert, &key.PublicKey, a.key)
	require.NoError(a.t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	require.NoError(a.t, err)
	return a.write(name+".pem", "CERTIFICATE", der), a.write(name+".key", "EC PRIVATE KEY", keyDER)
}

// CA returns the file of the authority's own certificate.
func (a *Authority) CAFile() string { return filepath.Join(a.dir, "ca.pem") }
