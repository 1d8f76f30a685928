package process

import (
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"laburnumdock/internal/settings"
)

// serverTLS returns the TLS configuration of a listener, or nil without one.
func serverTLS(l settings.Listener) (*tls.Config, error) {
	if *l.CertFile == "" {
		return nil, nil
	}
	cert, err := tls.LoadX509KeyPair(*l.CertFile, *l.KeyFile)
	if err != nil {
		return nil, eris.Wrap(err, "load certificate")
	}
	config := &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS12, NextProtos: []string{"h2", "http/1.1"}}
	if *l.ClientCAFile != "" {
		if config.ClientCAs, err = readPool(*l.ClientCAFile); err != nil {
			return nil, err
		}
		config.ClientAuth = tls.RequireAndVerifyClientCert
	}
	return config, nil
}

func readPool(path string) (*x509.CertPool, error) {
	pem, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "read certificates")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, eris.Errorf("%s has no PEM certificate", path)
	}
	return pool, nil
}

// Client is how a process calls others of the system.
type Client struct {
	HTTP *http.Client
	// Scheme is "http" or "https".
	Scheme string
}

// pingAfter is the silence on an HTTP/2 connection after which it is pinged,
// and pingTimeout how long the answer may take. Together they bound how long
// a silent connection is used.
const (
	pingAfter   = 1 * time.Second
	pingTimeout = 1 * time.Second
)

// NewClient returns a client that speaks HTTP/2 only.
func NewClient(c settings.ClientTLS) (*Client, error) {
	protocols := new(http.Protocols)
	transport := &http.Transport{
		Protocols:       protocols,
		IdleConnTimeout: time.Minute,
		HTTP2:           &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
	}
	if *c.CAFile == "" {
		protocols.SetUnencryptedHTTP2(true)
		return &Client{HTTP: &http.Client{Transport: transport}, Scheme: "http"}, nil
	}
	pool, err := readPool(*c.CAFile)
	if err != nil {
		return nil, err
	}
	protocols.SetHTTP2(true)
	transport.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	if *c.CertFile != "" {
		cert, err := tls.LoadX509KeyPair(*c.CertFile, *c.KeyFile)
		if err != nil {
			return nil, eris.Wrap(err, "load client certificate")
		}
		transport.TLSClientConfig.Certificates = []tls.Certificate{cert}
	}
	return &Client{HTTP: &http.Client{Transport: transport}, Scheme: "https"}, nil
}
