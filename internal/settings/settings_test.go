package settings

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const goodEntry = `
[process]
name = entry-1
zone = a
[callers]
listen = 127.0.0.1:7201
[peer]
listen = 127.0.0.1:7301
[entry]
control = 127.0.0.1:7111, 127.0.0.1:7112
default-deadline = 5s
`

func load(t *testing.T, text string, src Source) (*Entry, []Problem) {
	t.Helper()
	var s Set
	e := NewEntry(&s)
	src.Path, src.Data = "entry.ini", []byte(text)
	return e, s.Load(src)
}

// Guards against a file whose values are not taken.
func TestLoadTakesValuesAndDefaults(t *testing.T) {
	e, problems := load(t, goodEntry, Source{})
	require.Empty(t, problems)
	require.Equal(t, "entry-1", *e.Name)
	require.Equal(t, []string{"127.0.0.1:7111", "127.0.0.1:7112"}, *e.Control)
	require.Equal(t, 5*time.Second, *e.DefaultDeadline)
	require.Equal(t, 4096, *e.QueueLength)
}

// Guards against an override that loses to the file or the environment.
func TestOverridesWinOverEnvironmentOverFile(t *testing.T) {
	env := func(name string) (string, bool) {
		values := map[string]string{"DOCK_ENTRY_DEFAULT_DEADLINE": "6s", "DOCK_PROCESS_NAME": "from-env"}
		v, ok := values[name]
		return v, ok
	}
	e, problems := load(t, goodEntry, Source{LookupEnv: env, Overrides: []string{"entry.default-deadline=7s"}})
	require.Empty(t, problems)
	require.Equal(t, 7*time.Second, *e.DefaultDeadline)
	require.Equal(t, "from-env", *e.Name)
}

// Guards against a check that stops at the first wrong key or hides where it is.
func TestLoadNamesEveryWrongKey(t *testing.T) {
	text := goodEntry + "balancer-delay = 3\nmax-deadline = 20m\ncolour = blue\n[limits]\nqueue-length = 1\n"
	_, problems := load(t, text, Source{Overrides: []string{"no.such=1"}})
	var keys []string
	for _, p := range problems {
		keys = append(keys, p.Section+"."+p.Key)
		require.NotEmpty(t, p.File)
		require.NotEmpty(t, p.Message)
	}
	require.ElementsMatch(t, []string{"entry.colour", "no.such", "entry.max-deadline", "entry.balancer-delay", "limits.queue-length"}, keys)
	require.Contains(t, problems[len(problems)-1].String(), "64 to 262144 events")
}

// Guards against a missing required key that is taken for empty.
func TestLoadNamesMissingKeys(t *testing.T) {
	_, problems := load(t, "", Source{})
	require.Len(t, problems, 5)
}

// Guards against a file that cannot be parsed and is taken for empty.
func TestLoadRefusesBrokenFile(t *testing.T) {
	_, problems := load(t, "[entry\nx", Source{})
	require.Contains(t, problems[0].Message, "cannot be read")
}

// Guards against example files that no longer load.
func TestExamplesLoad(t *testing.T) {
	declare := map[string]func(*Set){
		"control": func(s *Set) { NewControl(s) },
		"entry":   func(s *Set) { NewEntry(s) },
		"standin": func(s *Set) { NewStandin(s) },
	}
	for role, keys := range declare {
		files, err := filepath.Glob("../../examples/*/" + role + "*.ini")
		require.NoError(t, err)
		require.NotEmpty(t, files)
		for _, path := range files {
			var s Set
			keys(&s)
			require.Empty(t, s.Load(Source{Path: path}))
			_, err := os.Stat(path)
			require.NoError(t, err)
		}
	}
}

// Guards against a parser that fails on input it should refuse.
func FuzzLoad(f *testing.F) {
	f.Add(goodEntry)
	f.Add("[process]\nname = \"\"\"\n")
	f.Add("a\x00=b\n[[]]\n")
	f.Fuzz(func(_ *testing.T, text string) {
		var s Set
		NewEntry(&s)
		s.Load(Source{Path: "fuzz.ini", Data: []byte(text)})
	})
}
