package process

import (
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"laburnumdock/internal/rpc"
	"laburnumdock/internal/settings"
)

// serverTLS returns the TLS configuration of a listener, or nil if it has no
// certificate.
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
		if config.ClientCAs, err = readCertPool(*l.ClientCAFile); err != nil {
			return nil, err
		}
		config.ClientAuth = tls.RequireAndVerifyClientCert
	}
	return config, nil
}

func readCertPool(path string) (*x509.CertPool, error) {
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

// pingIdleTime is the time without received frames after which an HTTP/2
// connection is pinged, and pingTimeout the longest time for the response.
// Together they bound how long an unresponsive connection is used.
const (
	pingIdleTime = 1 * time.Second
	pingTimeout  = 1 * time.Second
)

// NewClient returns an HTTP client that uses HTTP/2 only.
func NewClient(c settings.ClientTLS) (*http.Client, error) {
	protocols := new(http.Protocols)
	transport := &http.Transport{
		Protocols:              protocols,
		IdleConnTimeout:        time.Minute,
		MaxResponseHeaderBytes: rpc.MaxAnswerHeadBytes,
		HTTP2:                  &http.HTTP2Config{SendPingTimeout: pingIdleTime, PingTimeout: pingTimeout},
	}
	if *c.CAFile == "" {
		protocols.SetUnencryptedHTTP2(true)
		return &http.Client{Transport: transport}, nil
	}
	config, err := ClientTLS(c)
	if err != nil {
		return nil, err
	}
	protocols.SetHTTP2(true)
	transport.TLSClientConfig = config
	return &http.Client{Transport: transport}, nil
}

// ClientTLS returns the TLS configuration of a client, or nil if no CA file is
// configured.
func ClientTLS(c settings.ClientTLS) (*tls.Config, error) {
	if *c.CAFile == "" {
		return nil, nil
	}
	pool, err := readCertPool(*c.CAFile)
	if err != nil {
		return nil, err
	}
	config := &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	if *c.CertFile == "" {
		return config, nil
	}
	cert, err := tls.LoadX509KeyPair(*c.CertFile, *c.KeyFile)
	if err != nil {
		return nil, eris.Wrap(err, "load client certificate")
	}
	config.Certificates = []tls.Certificate{cert}
	return config, nil
}

// BaseURL returns the base URL of another process at address.
func BaseURL(c settings.ClientTLS, address string) string {
	if *c.CAFile == "" {
		return "http://" + address
	}
	return "https://" + address
}
