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

// Role is what a token may do. Each role may do what the ones before it may.
type Role int

// The roles.
const (
	RoleViewer Role = iota + 1
	RoleOperator
	RoleAdmin
)

var roles = map[string]Role{"viewer": RoleViewer, "operator": RoleOperator, "admin": RoleAdmin}

// String returns the name of the role in a token file.
func (r Role) String() string {
	for name, role := range roles {
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

// Tokens are the operators' tokens. They do not change after they were read.
type Tokens struct{ list []token }

// LoadTokens reads a token file: one INI section for each token, whose name is
// the actor in the audit trail, with the keys sha256 (the hash of the token in
// hexadecimal) and role. The file holds no secret that can be presented.
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
	if tok.role = roles[section.Key("role").String()]; tok.role == 0 {
		return tok, eris.Errorf("token %s: role is not viewer, operator or admin", tok.name)
	}
	return tok, nil
}

// find compares with every token, so that the time tells nothing about which
// hash came close.
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

// IsLoopback tells whether a listen address, host and port, is reachable from
// this machine alone.
func IsLoopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return ip != nil && ip.IsLoopback()
}

type actorKey struct{}

// actorOf returns the actor of a request that allow let through.
func actorOf(r *http.Request) string {
	name, _ := r.Context().Value(actorKey{}).(string)
	return name
}

func fixedRole(role Role) func(*http.Request) Role { return func(*http.Request) Role { return role } }

// changeRole is the role that a put or delete needs. Quotas bind the operators
// themselves, and a forced change may overwrite another operator's.
func changeRole(r *http.Request) Role {
	if model.Kind(r.PathValue("kind")) == model.KindTeam || r.URL.Query().Get("force") == "true" {
		return RoleAdmin
	}
	return RoleOperator
}

// allow calls next if the request has the role that it needs.
func (a *api) allow(need func(*http.Request) Role, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		who, err := a.authenticate(r)
		if err == nil && who.role < need(r) {
			err = fault.New(fault.Forbidden, "token %s has the role %s, this needs %s", who.name, who.role, need(r))
		}
		if err != nil {
			answer.WriteError(w, err)
			return
		}
		next(w, r.WithContext(context.WithValue(r.Context(), actorKey{}, who.name)))
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
		return token{}, fault.New(fault.Unauthenticated, "the header Authorization has no bearer token")
	}
	if who, ok := a.Tokens.find(presented); ok {
		return who, nil
	}
	return token{}, fault.New(fault.Unauthenticated, "the bearer token is not known")
}
