package answer

import (
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against lists that differ from those of WriteJSON.
func TestListWriterHasFormOfWriteJSON(t *testing.T) {
	type element struct {
		Name string         `json:"name"`
		Map  map[string]int `json:"map,omitempty"`
		Tags []string       `json:"tags"`
	}
	type list struct {
		Version uint64    `json:"version"`
		Items   []element `json:"items"`
	}
	type page struct {
		list
		More bool `json:"more"`
	}
	elements := []element{{Name: "<a&b>"}, {Name: "b", Map: map[string]int{"x": 1}, Tags: []string{"t", "u"}}, {Tags: []string{}}}
	for n := range len(elements) + 1 {
		plain, withMore := httptest.NewRecorder(), httptest.NewRecorder()
		WriteJSON(plain, 200, list{7, elements[:n]})
		WriteJSON(withMore, 200, page{list{7, elements[:n]}, true})
		for i, want := range []*httptest.ResponseRecorder{plain, withMore} {
			got := httptest.NewRecorder()
			l := NewListWriter(got, 7, "items")
			for _, e := range elements[:n] {
				require.True(t, l.Add(e))
			}
			if i == 0 {
				l.Close()
			} else {
				l.CloseWith("more", true)
			}
			require.Equal(t, want.Body.String(), got.Body.String())
			require.Equal(t, want.Header(), got.Header())
		}
	}
}
