package corecheck

import (
	"io/fs"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a decision package that starts goroutines or shares state.
func TestCoreHasNoConcurrency(t *testing.T) {
	files := 0
	err := filepath.WalkDir("../core", func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		files++
		found, err := FindForbidden(path, nil)
		require.Empty(t, found)
		return err
	})
	require.NoError(t, err)
	require.Greater(t, files, 10)
}

// Guards against a check that finds nothing.
func TestSourceFindsForbiddenConstructs(t *testing.T) {
	src := `package p
import "sync"
var m sync.Mutex
func f(c chan int) { go f(c); c <- 1; select {} }`
	found, err := FindForbidden("p.go", src)
	require.NoError(t, err)
	require.Len(t, found, 5)
}
