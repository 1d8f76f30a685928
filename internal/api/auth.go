package api

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net"
	"net/http"
	"strings"

	"github.com/rotisserie/eris"
	"gopkg.in/ini.v1"

	"laburnumdock/internal/answer"
	"laburnumdock/internal/core/fault"
	"laburnumdock/internal/core/model"
)

// Role is the set of permissions of a token. Each role includes those of the
// roles before it.
type Role int

// The roles.
const (
	// RoleViewer permits reads, watches and dry runs over several resources.
	RoleViewer Role = iota + 1
	// RoleOperator also permits changes and verbs.
	RoleOperator
	// RoleAdmin also permits changes of teams, forced changes and membership
	// changes.
	RoleAdmin
)

var rolesByName = map[string]Role{"viewer": RoleViewer, "operator": RoleOperator, "admin": RoleAdmin}

// String returns the role's name in a token file.
func (r Role) String() string {
	for name, role := range rolesByName {
		if role == r {
			return name
		}
	}
	return "none"
}

type token struct {
	name string
	hash [sha256.Size]byte
	role Role
}

// Tokens is the list of the operators' tokens. It is immutable once loaded.
type Tokens struct{ list []token }

// LoadTokens reads a token file. It has one INI section for each token, named by
// the actor in the audit trail, with the keys sha256 (the hexadecimal hash of
// the token) and role. The file holds hashes only, which cannot be used as
// tokens.
func LoadTokens(source any) (*Tokens, error) {
	file, err := ini.Load(source)
	if err != nil {
		return nil, eris.Wrap(err, "read token file")
	}
	t := &Tokens{}
	for _, section := range file.Sections() {
		if section.Name() == ini.DefaultSection && len(section.Keys()) == 0 {
			continue
		}
		tok, err := parseToken(section)
		if err != nil {
			return nil, err
		}
		t.list = append(t.list, tok)
	}
	if len(t.list) == 0 {
		return nil, eris.New("token file has no tokens")
	}
	return t, nil
}

func parseToken(section *ini.Section) (token, error) {
	tok := token{name: section.Name()}
	if err := model.ValidateName("token", tok.name); err != nil {
		return tok, eris.Wrapf(err, "token %s", tok.name)
	}
	for _, key := range section.Keys() {
		if key.Name() != "sha256" && key.Name() != "role" {
			return tok, eris.Errorf("token %s: key %s is unknown", tok.name, key.Name())
		}
	}
	hash, err := hex.DecodeString(section.Key("sha256").String())
	if err != nil || len(hash) != sha256.Size {
		return tok, eris.Errorf("token %s: sha256 is not 64 hexadecimal digits", tok.name)
	}
	copy(tok.hash[:], hash)
	if tok.role = rolesByName[section.Key("role").String()]; tok.role == 0 {
		return tok, eris.Errorf("token %s: role is not viewer, operator or admin", tok.name)
	}
	return tok, nil
}

// find returns the token with the presented text. It compares with every token
// in constant time, so that timing reveals nothing about the hashes.
func (t *Tokens) find(presented string) (token, bool) {
	hash := sha256.Sum256([]byte(presented))
	found := -1
	for i := range t.list {
		found = subtle.ConstantTimeSelect(subtle.ConstantTimeCompare(hash[:], t.list[i].hash[:]), i, found)
	}
	if found < 0 {
		return token{}, false
	}
	return t.list[found], true
}

// IsLoopback reports whether a listen address, given as host and port, is
// reachable only from this machine.
func IsLoopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return ip != nil && ip.IsLoopback()
}

type actorKey struct{}

// requestActor returns the actor of a request that requireRole has authorized.
func requestActor(r *http.Request) string {
	name, _ := r.Context().Value(actorKey{}).(string)
	return name
}

func fixedRole(role Role) func(*http.Request) Role { return func(*http.Request) Role { return role } }

// changeRole returns the role that a put or delete requires. Teams require an
// admin because their quotas limit the operators themselves, and forced changes
// because they may overwrite another operator's change.
func changeRole(r *http.Request) Role {
	if model.Kind(r.PathValue("kind")) == model.KindTeam || r.URL.Query().Get("force") == "true" {
		return RoleAdmin
	}
	return RoleOperator
}

// requireRole returns a handler that calls next if the request is authenticated
// with the required role.
func (a *api) requireRole(required func(*http.Request) Role, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		tok, err := a.authenticate(r)
		if err == nil && tok.role < required(r) {
			err = fault.New(fault.Forbidden, "token %s has role %s, but the request requires role %s", tok.name, tok.role, required(r))
		}
		if err != nil {
			answer.WriteError(w, err)
			return
		}
		next(w, r.WithContext(context.WithValue(r.Context(), actorKey{}, tok.name)))
	}
}

func (a *api) authenticate(r *http.Request) (token, *fault.Error) {
	if a.Tokens == nil {
		if !a.Loopback {
			return token{}, fault.New(fault.Unauthenticated, "no tokens are configured, and the API does not listen on loopback")
		}
		name := r.Header.Get(ActorHeader)
		if name == "" {
			name = "loopback"
		}
		return token{name: name, role: RoleAdmin}, nil
	}
	presented, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return token{}, fault.New(fault.Unauthenticated, "the Authorization header has no bearer token")
	}
	if tok, ok := a.Tokens.find(presented); ok {
		return tok, nil
	}
	return token{}, fault.New(fault.Unauthenticated, "the bearer token is not known")
}
