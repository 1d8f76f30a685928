package api

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumdock/internal/core/fault"
)

// fakeCluster records membership changes and returns err.
type fakeCluster struct {
	changes []MemberChange
	err     error
}

func (m *fakeCluster) ClusterStatus() ClusterStatus { return ClusterStatus{Replica: 1, Leader: 2} }

func (m *fakeCluster) ChangeMember(_ context.Context, c MemberChange) error {
	if m.err == nil {
		m.changes = append(m.changes, c)
	}
	return m.err
}

func postMember(t *testing.T, m *fakeCluster, body string) *httptest.ResponseRecorder {
	t.Helper()
	w := httptest.NewRecorder()
	handler := Handler(Config{Cluster: m, Loopback: true})
	handler.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/cluster/members", strings.NewReader(body)))
	return w
}

// Guards against an invalid membership change that reaches the cluster.
func TestInvalidMemberChangesAreRejected(t *testing.T) {
	for body, field := range map[string]string{
		`{"action":"drop","id":4}`:                   "action",
		`{"action":"add","id":4}`:                    "address",
		`{"action":"remove","id":4,"address":"x"}`:   "address",
		`{"action":"promote"}`:                       "id",
		`{"action":"promote","id":-1}`:               "id",
		`{"action":"promote","id":4,"voter":true}`:   "voter",
		`{"action":"promote","id":4} {"action":"x"}`: "body",
	} {
		m := &fakeCluster{}
		w := postMember(t, m, body)
		require.Equal(t, http.StatusBadRequest, w.Code, body)
		require.Contains(t, w.Body.String(), field, body)
		require.Empty(t, m.changes)
	}
}

// Guards against a membership change that does not reach the cluster, and against
// an error of a follower that is reported as success.
func TestMemberChangeIsForwarded(t *testing.T) {
	m := &fakeCluster{}
	require.Equal(t, http.StatusOK, postMember(t, m, `{"action":"add","id":4,"address":"http://127.0.0.1:1"}`).Code)
	require.Equal(t, []MemberChange{{Action: MemberAdd, ID: 4, Address: "http://127.0.0.1:1"}}, m.changes)
	m.err = fault.New(fault.NotLeader, "replica 2 leads")
	require.Equal(t, http.StatusServiceUnavailable, postMember(t, m, `{"action":"remove","id":4}`).Code)
}
