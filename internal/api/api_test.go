package api_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"laburnumdock/internal/answer"
	"laburnumdock/internal/api"
	"laburnumdock/internal/api/apitest"
	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/model"
	"laburnumdock/internal/core/state"
)

// server is an API server with an in-memory backend.
type server struct {
	*apitest.Backend
	url string
	t   testing.TB
}

func newServer(t testing.TB, change ...func(*api.Config)) *server {
	backend := apitest.New()
	cfg := api.Config{Backend: backend, MaxBodyBytes: 4096, Loopback: true}
	for _, c := range change {
		c(&cfg)
	}
	s := httptest.NewServer(api.Handler(cfg))
	t.Cleanup(s.Close)
	return &server{Backend: backend, url: s.URL, t: t}
}

// reply is a response of the API.
type reply struct {
	status int
	header http.Header
	body   []byte
}

func (s *server) do(method, path, body string, headers ...string) reply {
	req, err := http.NewRequest(method, s.url+path, strings.NewReader(body))
	require.NoError(s.t, err)
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	res, err := http.DefaultClient.Do(req)
	require.NoError(s.t, err)
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	require.NoError(s.t, err)
	return reply{res.StatusCode, res.Header, data}
}

func (s *server) mustDo(method, path, body string, headers ...string) reply {
	r := s.do(method, path, body, headers...)
	require.Equal(s.t, http.StatusOK, r.status, string(r.body))
	return r
}

func (r reply) decodeFault(t testing.TB) *fault.Error {
	var body answer.ErrorBody
	require.NoError(t, json.Unmarshal(r.body, &body), string(r.body))
	require.NotNil(t, body.Error, string(r.body))
	require.Equal(t, string(body.Error.Kind), r.header.Get(answer.KindHeader))
	return body.Error
}

// changeReply is the response to a change as a client decodes it.
type changeReply struct {
	Version  uint64          `json:"version"`
	Replayed bool            `json:"replayed"`
	DryRun   bool            `json:"dryRun"`
	Object   json.RawMessage `json:"object"`
}

func (r reply) decodeChange(t testing.TB) changeReply {
	var c changeReply
	require.NoError(t, json.Unmarshal(r.body, &c))
	return c
}

// putFleet creates a pool of two hosts with a budget, a job and a wave, and an
// empty spare pool.
func (s *server) putFleet() {
	s.mustDo("PUT", "/v1/pools/quotes", `{"spec":{"maxHosts":4}}`)
	s.mustDo("PUT", "/v1/pools/dispatch", `{"spec":{"spare":true}}`)
	for _, name := range []string{"h1", "h2"} {
		s.mustDo("PUT", "/v1/hosts/"+name, `{"spec":{"pool":"quotes","zone":"a","rack":"r1","cores":32,"memoryMB":65536}}`)
	}
	s.mustDo("PUT", "/v1/budgets/quotes", `{"spec":{"pool":"quotes","minHealthy":1}}`)
	s.mustDo("PUT", "/v1/jobs/night", `{"spec":{"pool":"quotes","tasks":2}}`)
	s.mustDo("PUT", "/v1/waves/evening", `{"spec":{"pools":["quotes"]}}`)
}

func changeIDHeaders(id string) []string {
	return []string{api.ChangeIDHeader, id, api.IssuedAtHeader, time.Now().UTC().Format(time.RFC3339Nano)}
}

// Guards against invalid bodies and queries that are accepted in part. Each is
// rejected with its error kind and field, and changes nothing.
func TestInvalidRequestsAreRejected(t *testing.T) {
	long := strings.Repeat("n", 254)
	cases := []struct {
		name, method, path, body string
		kind                     fault.Kind
		field                    string
	}{
		{"unknown field", "PUT", "/v1/pools/p", `{"spec":{"minHost":1}}`, fault.Invalid, "minHost"},
		{"wrong type", "PUT", "/v1/pools/p", `{"spec":{"minHosts":"1"}}`, fault.Invalid, "spec.minHosts"},
		{"negative count", "PUT", "/v1/pools/p", `{"spec":{"minHosts":-1}}`, fault.Invalid, "spec.minHosts"},
		{"count over range", "PUT", "/v1/pools/p", `{"spec":{"minHosts":1000001}}`, fault.Invalid, "spec.minHosts"},
		{"long name", "PUT", "/v1/pools/" + long, `{}`, fault.Invalid, "metadata.name"},
		{"invalid name", "PUT", "/v1/pools/Quotes", `{}`, fault.Invalid, "metadata.name"},
		{"name differs from path", "PUT", "/v1/pools/p", `{"metadata":{"name":"q"}}`, fault.Invalid, "metadata"},
		{"kind differs from path", "PUT", "/v1/pools/p", `{"metadata":{"kind":"teams"}}`, fault.Invalid, "metadata"},
		{"large body", "PUT", "/v1/configs/c", `{"spec":{"values":{"a":"` + strings.Repeat("x", 5000) + `"}}}`, fault.TooLarge, "body"},
		{"truncated object", "PUT", "/v1/pools/p", `{"spec":{"minHosts":1}`, fault.Invalid, "body"},
		{"two objects", "PUT", "/v1/pools/p", `{}{}`, fault.Invalid, "body"},
		{"null", "PUT", "/v1/pools/p", `null`, fault.Invalid, "body"},
		{"empty", "PUT", "/v1/pools/p", ``, fault.Invalid, "body"},
		{"not JSON", "PUT", "/v1/pools/p", `spec: {}`, fault.Invalid, "body"},
		{"wrong version", "PUT", "/v1/pools/quotes", `{"metadata":{"version":99}}`, fault.Conflict, ""},
		{"create of existing resource", "PUT", "/v1/pools/quotes", `{}`, fault.Conflict, ""},
		{"reserved version", "PUT", "/v1/pools/quotes", `{"metadata":{"version":18446744073709551615}}`, fault.Invalid, "metadata.version"},
		{"unknown kind", "PUT", "/v1/racks/r", `{}`, fault.NotFound, ""},
		{"invalid force flag", "PUT", "/v1/pools/quotes?force=yes", `{}`, fault.Invalid, "force"},
		{"invalid dry run flag", "PUT", "/v1/pools/p?dryRun=1", `{}`, fault.Invalid, "dryRun"},
		{"delete without version", "DELETE", "/v1/jobs/night", ``, fault.Invalid, "version"},
		{"delete of wrong version", "DELETE", "/v1/jobs/night?version=1", ``, fault.Conflict, ""},
		{"delete of pool in use", "DELETE", "/v1/pools/quotes?force=true", ``, fault.Conflict, ""},
		{"delete of missing resource", "DELETE", "/v1/jobs/none?version=1", ``, fault.NotFound, ""},
		{"get of missing resource", "GET", "/v1/jobs/none", ``, fault.NotFound, ""},
		{"list of unknown kind", "GET", "/v1/racks", ``, fault.NotFound, ""},
		{"verb for missing resource", "POST", "/v1/waves/none/start", ``, fault.NotFound, ""},
		{"unknown verb", "POST", "/v1/waves/evening/stop", ``, fault.NotFound, ""},
		{"verb with unknown field", "POST", "/v1/waves/evening/start", `{"pools":1}`, fault.Invalid, "pools"},
		{"move without target", "POST", "/v1/hosts/h1/move", `{}`, fault.Invalid, "pool"},
		{"move to missing pool", "POST", "/v1/hosts/h1/move", `{"pool":"none"}`, fault.Invalid, "pool"},
		{"drain with target", "POST", "/v1/hosts/h1/drain", `{"pool":"dispatch"}`, fault.Invalid, "pool"},
		{"verb for wrong version", "POST", "/v1/waves/evening/start", `{"version":1}`, fault.Conflict, ""},
		{"audit of unknown kind", "GET", "/v1/audit?kind=racks", ``, fault.Invalid, "kind"},
		{"audit limit of zero", "GET", "/v1/audit?limit=0", ``, fault.Invalid, "limit"},
		{"audit limit too high", "GET", "/v1/audit?limit=10001", ``, fault.Invalid, "limit"},
		{"watch without start version", "GET", "/v1/watch", ``, fault.Invalid, "from"},
		{"watch from future version", "GET", "/v1/watch?from=1000", ``, fault.Invalid, "from"},
		{"watch of unknown kind", "GET", "/v1/watch?from=1&kinds=racks", ``, fault.Invalid, "kinds"},
		{"describe of missing resource", "GET", "/v1/describe/hosts/none", ``, fault.NotFound, ""},
		{"unknown route", "PATCH", "/v1/pools/quotes", `{}`, fault.NotFound, ""},
	}
	s := newServer(t)
	s.putFleet()
	before := s.Snapshot()
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := s.do(c.method, c.path, c.body).decodeFault(t)
			require.Equal(t, c.kind, got.Kind, got.Error())
			require.Equal(t, c.field, got.Field, got.Error())
			if c.kind == fault.Invalid || c.kind == fault.TooLarge {
				require.NotEmpty(t, got.Limit)
			}
			after := s.Snapshot()
			for _, kind := range model.Kinds() {
				require.Equal(t, before.List(kind), after.List(kind))
			}
		})
	}
}

// Guards against a change ID without a valid issue time and against one that is
// used for two requests.
func TestInvalidChangeIDsAreRejected(t *testing.T) {
	s := newServer(t)
	require.Equal(t, api.IssuedAtHeader, s.do("PUT", "/v1/pools/p", `{}`, api.ChangeIDHeader, "a").decodeFault(t).Field)
	id := changeIDHeaders("a")
	s.mustDo("PUT", "/v1/pools/p", `{}`, id...)
	require.Equal(t, fault.ChangeIDReused, s.do("PUT", "/v1/pools/p", `{"spec":{"minHosts":1}}`, id...).decodeFault(t).Kind)
	require.Equal(t, fault.ChangeIDReused, s.do("PUT", "/v1/pools/q", `{}`, id...).decodeFault(t).Kind)
	require.Equal(t, "issuedAt", s.do("PUT", "/v1/pools/q", `{}`, api.ChangeIDHeader, "b", api.IssuedAtHeader, "2200-01-01T00:00:00Z").decodeFault(t).Field)
}

// Guards against a truncated body that is accepted because its JSON is complete.
func TestTruncatedBodyIsRejected(t *testing.T) {
	s := newServer(t)
	conn, err := net.Dial("tcp", strings.TrimPrefix(s.url, "http://"))
	require.NoError(t, err)
	defer conn.Close()
	require.NoError(t, conn.SetDeadline(time.Now().Add(streamTimeout)))
	body := `{"spec":{"minHosts":1}}`
	_, err = fmt.Fprintf(conn, "PUT /v1/pools/p HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body)+10, body)
	require.NoError(t, err)
	require.NoError(t, conn.(*net.TCPConn).CloseWrite())
	response, err := io.ReadAll(conn)
	require.NoError(t, err)
	require.Contains(t, string(response), "400 Bad Request")
	require.Nil(t, s.Snapshot().Get(model.Key{Kind: model.KindPool, Name: "p"}))
}

// Guards against clients that keep requests open by sending bodies slowly, and
// against a read deadline that ends a request after its body was received.
func TestSlowBodyIsRejected(t *testing.T) {
	s := newServer(t, func(c *api.Config) { c.BodyTimeout = 100 * time.Millisecond })
	conn, err := net.Dial("tcp", strings.TrimPrefix(s.url, "http://"))
	require.NoError(t, err)
	defer conn.Close()
	require.NoError(t, conn.SetDeadline(time.Now().Add(streamTimeout)))
	_, err = fmt.Fprint(conn, "PUT /v1/pools/p HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\n{")
	require.NoError(t, err)
	response, err := io.ReadAll(conn)
	require.NoError(t, err)
	require.Contains(t, string(response), "400 Bad Request")
	slow := &slowBackend{Backend: s.Backend, delay: 1500 * time.Millisecond}
	s = newServer(t, func(c *api.Config) { c.Backend, c.BodyTimeout = slow, time.Second })
	s.mustDo("PUT", "/v1/pools/p", `{}`)
}

// slowBackend delays each proposal and cancels it when the request ends.
type slowBackend struct {
	*apitest.Backend
	delay time.Duration
}

func (b *slowBackend) Propose(ctx context.Context, cmd state.Command) (state.Result, error) {
	select {
	case <-ctx.Done():
		return state.Result{}, fault.New(fault.OutcomeUnknown, "request ended")
	case <-time.After(b.delay):
		return b.Backend.Propose(ctx, cmd)
	}
}

// Guards against a retried change that is applied twice or gets another result.
func TestRetriedChangesApplyOnce(t *testing.T) {
	s := newServer(t)
	s.putFleet()
	cases := []struct{ method, path, body string }{
		{"PUT", "/v1/teams/cutting", `{"spec":{"quotaCores":8}}`},
		{"POST", "/v1/waves/evening/start", ``},
		{"POST", "/v1/jobs/night/cancel", ``},
		{"DELETE", "/v1/budgets/quotes?force=true", ``},
	}
	for i, c := range cases {
		id := changeIDHeaders(fmt.Sprint("change-", i))
		first := s.mustDo(c.method, c.path, c.body, id...).decodeChange(t)
		require.False(t, first.Replayed)
		again := s.mustDo(c.method, c.path, c.body, id...)
		require.Equal(t, "true", again.header.Get(api.ReplayedHeader))
		require.True(t, again.decodeChange(t).Replayed)
		require.Equal(t, first.Version, again.decodeChange(t).Version)
	}
}

// Guards against a dry run that changes the state, the audit trail or the change
// IDs, or that validates differently from a real change.
func TestDryRunChangesNothing(t *testing.T) {
	s := newServer(t)
	s.putFleet()
	before := s.Snapshot()
	require.True(t, s.mustDo("PUT", "/v1/teams/t?dryRun=true", `{"spec":{"quotaCores":1}}`, changeIDHeaders("x")...).decodeChange(t).DryRun)
	s.mustDo("POST", "/v1/waves/evening/start?dryRun=true", ``)
	s.mustDo("DELETE", "/v1/budgets/quotes?dryRun=true&force=true", ``)
	require.Equal(t, "spec.minHealthy", s.do("PUT", "/v1/budgets/quotes?dryRun=true&force=true", `{"spec":{"pool":"quotes","minHealthy":9}}`).decodeFault(t).Field)
	after := s.Snapshot()
	require.Equal(t, before.Version, after.Version)
	require.Equal(t, before.Audit(), after.Audit())
	s.mustDo("PUT", "/v1/teams/t", `{"spec":{"quotaCores":1}}`, changeIDHeaders("x")...)
}

// conflictingBackend changes the wave before each of the next conflictsLeft
// proposals, as the planner does.
type conflictingBackend struct {
	*apitest.Backend
	conflictsLeft int
}

func (b *conflictingBackend) Propose(ctx context.Context, cmd state.Command) (state.Result, error) {
	if b.conflictsLeft > 0 {
		b.conflictsLeft--
		wave := b.Snapshot().Get(model.Key{Kind: model.KindWave, Name: "evening"}).Clone().(*model.Wave)
		wave.Spec.MaxParallel++
		_, _ = b.Backend.Propose(ctx, state.Put{Object: wave, Expected: wave.Version})
	}
	return b.Backend.Propose(ctx, cmd)
}

// Guards against a verb that fails on a concurrent change by the planner, that
// reverts that change, or that is applied again when it is retried.
func TestVerbRetriesAfterConflict(t *testing.T) {
	backend := &conflictingBackend{Backend: apitest.New()}
	s := newServer(t, func(c *api.Config) { c.Backend = backend })
	s.putFleet()
	backend.conflictsLeft = 2
	id := changeIDHeaders("start")
	first := s.mustDo("POST", "/v1/waves/evening/start", ``, id...).decodeChange(t)
	wave := backend.Snapshot().Get(model.Key{Kind: model.KindWave, Name: "evening"}).(*model.Wave)
	require.True(t, wave.Spec.Started)
	require.Equal(t, 3, wave.Spec.MaxParallel)
	again := s.mustDo("POST", "/v1/waves/evening/start", ``, id...).decodeChange(t)
	require.Equal(t, first.Version, again.Version)
	require.True(t, again.Replayed)
	backend.conflictsLeft = 100
	require.Equal(t, fault.Conflict, s.do("POST", "/v1/waves/evening/pause", ``, changeIDHeaders("pause")...).decodeFault(t).Kind, "attempts are bounded")
}

// Guards against an error response that hides whether a change took effect.
func TestBackendErrorsKeepTheirKind(t *testing.T) {
	s := newServer(t)
	for _, kind := range []fault.Kind{fault.NotLeader, fault.Unavailable, fault.Overloaded, fault.OutcomeUnknown, fault.StorageFailed} {
		s.FailProposals(fault.New(kind, "x"))
		r := s.do("PUT", "/v1/teams/t", `{}`)
		require.Equal(t, kind, r.decodeFault(t).Kind)
		require.Equal(t, string(answer.For(kind).Ran), r.header.Get(answer.RanHeader))
	}
}

// Guards against lists and pages of the audit trail from which a client cannot
// continue.
func TestListAuditAndDescribe(t *testing.T) {
	s := newServer(t)
	s.putFleet()
	list := s.mustDo("GET", "/v1/hosts", "")
	require.Equal(t, fmt.Sprint(s.Snapshot().Version), list.header.Get(api.VersionHeader))
	var hosts struct {
		Version uint64
		Items   []model.Host
	}
	require.NoError(t, json.Unmarshal(list.body, &hosts))
	require.Len(t, hosts.Items, 2)
	require.Equal(t, s.Snapshot().Version, hosts.Version)
	s.do("PUT", "/v1/pools/quotes", `{}`, api.ActorHeader, "ana")
	var page api.AuditPage
	seen, since := 0, uint64(0)
	for more := true; more; more = page.More {
		page = api.AuditPage{}
		require.NoError(t, json.Unmarshal(s.mustDo("GET", fmt.Sprintf("/v1/audit?limit=3&since=%d", since), "").body, &page))
		seen += len(page.Entries)
		since = page.Entries[len(page.Entries)-1].Version
	}
	require.Equal(t, len(s.Snapshot().Audit()), seen)
	last := page.Entries[len(page.Entries)-1]
	require.Equal(t, "ana", last.Actor)
	require.Equal(t, string(fault.Conflict), last.Outcome)
	require.NoError(t, json.Unmarshal(s.mustDo("GET", "/v1/audit?kind=hosts&name=h1", "").body, &page))
	require.Len(t, page.Entries, 1)
	described := s.mustDo("GET", "/v1/describe/hosts/h1", "")
	require.Contains(t, string(described.body), string(model.ReasonHealthUnknown))
}

const tokenFile = `
[dan]
sha256 = 8c0ac68ada3d0a9d7a1bd5a0d4f8d0b8d2d9a5c4f8b2e4a8c6a4d4f1c9b1a0e0
role = viewer
`

// Guards against a token that exceeds its role, an actor in the audit trail that
// the client chose, and an API without tokens that is reachable from other
// machines.
func TestAuthentication(t *testing.T) {
	tokens, err := api.LoadTokens([]byte(tokenSections(map[string]string{"view": "viewer", "oper": "operator", "root": "admin"})))
	require.NoError(t, err)
	s := newServer(t, func(c *api.Config) { c.Tokens = tokens })
	const ok = fault.Kind("")
	cases := []struct {
		token, method, path, body string
		want                      fault.Kind
	}{
		{"", "GET", "/v1/pools", "", fault.Unauthenticated},
		{"wrong", "GET", "/v1/pools", "", fault.Unauthenticated},
		{"view", "GET", "/v1/pools", "", ok},
		{"view", "PUT", "/v1/pools/p", "{}", fault.Forbidden},
		{"view", "POST", "/v1/waves/w/start", "", fault.Forbidden},
		{"view", "DELETE", "/v1/pools/p?version=1", "", fault.Forbidden},
		{"oper", "PUT", "/v1/pools/p", "{}", ok},
		{"oper", "PUT", "/v1/teams/t", "{}", fault.Forbidden},
		{"oper", "PUT", "/v1/pools/p?force=true", "{}", fault.Forbidden},
		{"root", "PUT", "/v1/teams/t", "{}", ok},
		{"root", "PUT", "/v1/pools/p?force=true", `{"spec":{"minHosts":1}}`, ok},
	}
	for _, c := range cases {
		r := s.do(c.method, c.path, c.body, "Authorization", "Bearer "+c.token, api.ActorHeader, "somebody")
		if c.want == ok {
			require.Equal(t, http.StatusOK, r.status, string(r.body))
			continue
		}
		require.Equal(t, c.want, r.decodeFault(t).Kind, c)
	}
	for _, e := range s.Snapshot().Audit() {
		require.NotEqual(t, "somebody", e.Actor)
	}
	open := newServer(t, func(c *api.Config) { c.Loopback = false })
	require.Equal(t, fault.Unauthenticated, open.do("GET", "/v1/pools", "").decodeFault(t).Kind)
}

// Guards against invalid token files that grant access.
func TestLoadTokensRejectsInvalidFiles(t *testing.T) {
	for _, text := range []string{"", "[a]\nrole = admin\n", tokenFile + "other = 1\n", strings.Replace(tokenFile, "viewer", "root", 1), strings.Replace(tokenFile, "8c", "zz", 1)} {
		_, err := api.LoadTokens([]byte(text))
		require.Error(t, err, text)
	}
	_, err := api.LoadTokens([]byte(tokenFile))
	require.NoError(t, err)
}

// Guards against a public listen address that is mistaken for loopback, which
// would expose the API without tokens.
func TestIsLoopback(t *testing.T) {
	for address, want := range map[string]bool{"127.0.0.1:80": true, "[::1]:80": true, "0.0.0.0:80": false, ":80": false, "10.0.0.1:80": false, "127.0.0.1": false} {
		require.Equal(t, want, api.IsLoopback(address), address)
	}
}

// Guards against bodies that crash the API or that are stored although the
// response reports an error.
func FuzzPutBody(f *testing.F) {
	for _, seed := range []string{
		`{"spec":{"minHosts":1,"maxHosts":2}}`, `{"metadata":{"kind":"pools","name":"p","version":1}}`, `{"spec":null}`,
		`{"spec":{"rolloutWeight":1e308}}`, `{"spec":{"surgeFactor":-0}}`, `[{}]`, `{"spec":{"minHosts":1}`, "\xff", `{"status":{"hosts":9}}`,
	} {
		f.Add("pools", []byte(seed))
	}
	f.Add("waves", []byte(`{"spec":{"pools":["p","p"],"action":"drain"}}`))
	f.Add("configs", []byte(`{"spec":{"values":{"":"x"}}}`))
	f.Add("jobs", []byte(`{"spec":{"pool":"p","tasks":-1}}`))
	f.Fuzz(func(t *testing.T, kind string, body []byte) {
		backend := apitest.New()
		handler := api.Handler(api.Config{Backend: backend, Loopback: true})
		before := backend.Snapshot()
		rec := httptest.NewRecorder()
		req := httptest.NewRequest("PUT", "/v1/pools/p", bytes.NewReader(body))
		req.URL.Path = "/v1/" + kind + "/p"
		handler.ServeHTTP(rec, req)
		changed := len(backend.Snapshot().List(model.Kind(kind))) != len(before.List(model.Kind(kind)))
		require.Equal(t, rec.Code == http.StatusOK, changed, rec.Body.String())
	})
}

// Guards against a change whose texts the messages between replicas cannot carry.
func TestTextsThatAreNotUTF8AreRefused(t *testing.T) {
	s := newServer(t)
	for _, r := range []reply{
		s.do("DELETE", "/v1/pools/p%ff?force=true", ""),
		s.do("DELETE", "/v1/pools/p?force=true", "", api.ChangeIDHeader, "c\xff", api.IssuedAtHeader, time.Now().Format(time.RFC3339)),
		s.do("DELETE", "/v1/pools/p?force=true", "", api.ActorHeader, "a\xff"),
	} {
		require.Equal(t, http.StatusBadRequest, r.status, string(r.body))
		require.Equal(t, fault.Invalid, r.decodeFault(t).Kind)
	}
}
