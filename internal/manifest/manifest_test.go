package manifest

import (
	"testing"

	"github.com/stretchr/testify/require"

	"laburnumdock/internal/core/model"
)

// Guards against invalid manifests that are accepted in part.
func TestReadRejectsInvalidManifests(t *testing.T) {
	for _, text := range []string{
		"metadata: {kind: racks, name: r}", "metadata: {kind: pools}", "metadata: {kind: pools, name: p}\nspec: {minHost: 1}",
		"metadata: {kind: pools, name: p}\nspec: {minHosts: x}", "metadata: {kind: pools, name: p, name: q}", "- 1", "a: [", "1: 2",
		"metadata: {kind: pools, name: p}\n---\nmetadata: {kind: pools, name: P}",
	} {
		_, err := Read("m", []byte(text))
		require.Error(t, err, text)
	}
	list, err := Read("m", []byte("---\n---\nmetadata: {kind: pools, name: p}\n"))
	require.NoError(t, err)
	require.Len(t, list, 1)
	require.InDelta(t, model.DefaultRolloutWeight, list[0].(*model.Pool).Spec.RolloutWeight, 0)
}

// Guards against input that crashes the manifest decoder.
func FuzzReadManifest(f *testing.F) {
	f.Add([]byte("metadata: {kind: pools, name: p}\nspec: {minHosts: 1}\n---\n"))
	f.Add([]byte(`{"metadata":{"kind":"waves","name":"w"},"spec":{"pools":["p"]}}`))
	f.Add([]byte("a: &a [*a]"))
	f.Fuzz(func(_ *testing.T, data []byte) {
		list, err := Read("m", data)
		if err != nil {
			return
		}
		Sort(list)
	})
}
