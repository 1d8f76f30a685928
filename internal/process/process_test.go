package process

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumdock/internal/settings"
)

// authority signs certificates for 127.0.0.1.
type authority struct {
	t    *testing.T
	dir  string
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T, name string) *authority {
	t.Helper()
	a := &authority{t: t, dir: t.TempDir()}
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

func (a *authority) template(name string, serial int64) *x509.Certificate {
	return &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: name}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
}

func (a *authority) write(name, kind string, der []byte) string {
	path := filepath.Join(a.dir, name)
	require.NoError(a.t, os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
	return path
}

func (a *authority) issue(name string) (certFile, keyFile string) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(a.t, err)
	der, err := x509.CreateCertificate(rand.Reader, a.template(name, 2), a.cert, &key.PublicKey, a.key)
	require.NoError(a.t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	require.NoError(a.t, err)
	return a.write(name+".pem", "CERTIFICATE", der), a.write(name+".key", "EC PRIVATE KEY", keyDER)
}

func (a *authority) ca() string { return filepath.Join(a.dir, "ca.pem") }

// serveTLS runs a server that asks clients for a certificate of clients.
func serveTLS(t *testing.T, servers, clients *authority) string {
	t.Helper()
	cert, key := servers.issue("server")
	address, ca := "127.0.0.1:0", clients.ca()
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.Proto) })
	server, err := Listen(settings.Listener{Address: &address, CertFile: &cert, KeyFile: &key, ClientCAFile: &ca}, handler)
	require.NoError(t, err)
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- server.Run(ctx) }()
	t.Cleanup(func() {
		stop()
		require.NoError(t, <-done)
	})
	return server.Address()
}

func get(t *testing.T, c settings.ClientTLS, address string) (string, error) {
	t.Helper()
	client, err := NewClient(c)
	require.NoError(t, err)
	defer client.CloseIdleConnections()
	res, err := client.Get(BaseURL(c, address))
	if err != nil {
		return "", err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	return string(body), err
}

// Guards against a listener that talks to a client without a certificate, or
// with one of another authority, and against a client that trusts any server.
func TestTLSChecksBothSides(t *testing.T) {
	servers, clients, other := newAuthority(t, "servers"), newAuthority(t, "clients"), newAuthority(t, "other")
	address := serveTLS(t, servers, clients)
	none := ""
	cert, key := clients.issue("replica")
	foreignCert, foreignKey := other.issue("replica")
	serverCA, otherCA := servers.ca(), other.ca()
	proto, err := get(t, settings.ClientTLS{CAFile: &serverCA, CertFile: &cert, KeyFile: &key}, address)
	require.NoError(t, err)
	require.Equal(t, "HTTP/2.0", proto)
	for name, c := range map[string]settings.ClientTLS{
		"no certificate":                {CAFile: &serverCA, CertFile: &none, KeyFile: &none},
		"certificate of another issuer": {CAFile: &serverCA, CertFile: &foreignCert, KeyFile: &foreignKey},
		"server of another issuer":      {CAFile: &otherCA, CertFile: &cert, KeyFile: &key},
		"no TLS":                        {CAFile: &none, CertFile: &none, KeyFile: &none},
	} {
		_, err := get(t, c, address)
		require.Error(t, err, name)
	}
}

// Guards against a process that starts with wrong settings, and against a check
// that starts it.
func TestCheckConfig(t *testing.T) {
	path := filepath.Join(t.TempDir(), "x.ini")
	started := 0
	run := func(text string, args ...string) (string, error) {
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		var out bytes.Buffer
		cmd := Command("dock-x", "", func(set *settings.Set) func(context.Context) error {
			set.Int("limits", "queue-length", 10, 1, 100, "events", "length")
			return func(context.Context) error {
				started++
				return nil
			}
		})
		cmd.Writer = &out
		err := cmd.Run(t.Context(), append([]string{"dock-x", "--config", path}, args...))
		return out.String(), err
	}
	out, err := run("[limits]\nqueue-length = 20\n", "--check-config")
	require.NoError(t, err)
	require.Contains(t, out, "settings are correct")
	_, err = run("[limits]\nqueue-length = 200\nlength = 3\n", "--check-config")
	require.ErrorContains(t, err, "2 settings are wrong")
	_, err = run("[limits]\nqueue-length = 200\n")
	require.Error(t, err)
	require.Zero(t, started)
	out, err = run("", "--print-keys")
	require.NoError(t, err)
	require.Contains(t, out, "1 to 100 events")
	require.Zero(t, started)
	_, err = run("[limits]\nqueue-length = 20\n")
	require.NoError(t, err)
	require.Equal(t, 1, started)
}
