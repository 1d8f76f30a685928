// Package settings reads INI files. A process declares its keys with their
// ranges and units. Loading reports every invalid key at once.
package settings

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// Key is a declared setting.
type Key struct {
	Section, Name string
	Default       string
	// Allowed is the range or set of values, with the unit.
	Allowed  string
	Help     string
	Required bool
	parse    func(string) error
	// value is the text that Load accepted.
	value string
}

// Value returns the text that Load accepted as the value.
func (k *Key) Value() string { return k.value }

// Problem is an error in one key, or in the file as a whole.
type Problem struct {
	File, Section, Key, Value, Allowed, Message string
}

// String returns the problem as one line of text.
func (p Problem) String() string {
	text := fmt.Sprintf("%s: [%s] %s: %s", p.File, p.Section, p.Key, p.Message)
	if p.Allowed != "" {
		text += ", allowed: " + p.Allowed
	}
	return text
}

// Set is the set of keys that a process declares.
type Set struct{ keys []*Key }

func (s *Set) add(k *Key) { s.keys = append(s.keys, k) }

// Keys returns the declared keys in the order of declaration.
func (s *Set) Keys() []*Key { return s.keys }

// String declares a text of at most 4096 bytes. The returned variable is set by
// Load, as are those of the other declarations.
func (s *Set) String(section, name, def string, required bool, help string) *string {
	v := new(string)
	s.add(&Key{
		Section: section, Name: name, Default: def, Allowed: "text of at most 4096 bytes", Help: help, Required: required,
		parse: func(text string) error {
			if len(text) > 4096 {
				return fmt.Errorf("value has %d bytes", len(text))
			}
			*v = text
			return nil
		},
	})
	return v
}

// List declares a comma-separated list of texts.
func (s *Set) List(section, name, def string, required bool, help string) *[]string {
	v := new([]string)
	s.add(&Key{
		Section: section, Name: name, Default: def, Allowed: "texts separated by commas", Help: help, Required: required,
		parse: func(text string) error {
			*v = splitList(text)
			return nil
		},
	})
	return v
}

func splitList(text string) []string {
	var list []string
	for _, part := range strings.Split(text, ",") {
		if part = strings.TrimSpace(part); part != "" {
			list = append(list, part)
		}
	}
	return list
}

// Int declares an integer from low to high.
func (s *Set) Int(section, name string, def, low, high int, unit, help string) *int {
	v := new(int)
	s.add(&Key{
		Section: section, Name: name, Default: strconv.Itoa(def), Allowed: fmt.Sprintf("%d to %d %s", low, high, unit), Help: help,
		parse: func(text string) error {
			n, err := strconv.Atoi(text)
			if err != nil {
				return fmt.Errorf("%q is not a whole number", text)
			}
			if n < low || n > high {
				return fmt.Errorf("%d is out of range", n)
			}
			*v = n
			return nil
		},
	})
	return v
}

// Duration declares a duration with its unit, such as "250ms", from low to high.
func (s *Set) Duration(section, name string, def, low, high time.Duration, help string) *time.Duration {
	v := new(time.Duration)
	s.add(&Key{
		Section: section, Name: name, Default: def.String(), Allowed: fmt.Sprintf("%s to %s, with a unit", low, high), Help: help,
		parse: func(text string) error {
			d, err := time.ParseDuration(text)
			if err != nil {
				return fmt.Errorf("%q is not a duration with a unit", text)
			}
			if d < low || d > high {
				return fmt.Errorf("%s is out of range", d)
			}
			*v = d
			return nil
		},
	})
	return v
}

// Bool declares a boolean.
func (s *Set) Bool(section, name string, def bool, help string) *bool {
	v := new(bool)
	s.add(&Key{
		Section: section, Name: name, Default: strconv.FormatBool(def), Allowed: "true, false", Help: help,
		parse: func(text string) error {
			b, err := strconv.ParseBool(text)
			if err != nil {
				return fmt.Errorf("%q is not true or false", text)
			}
			*v = b
			return nil
		},
	})
	return v
}

// Choice declares a text that must be one of the choices.
func (s *Set) Choice(section, name, def string, choices []string, help string) *string {
	v := new(string)
	s.add(&Key{
		Section: section, Name: name, Default: def, Allowed: strings.Join(choices, ", "), Help: help,
		parse: func(text string) error {
			for _, c := range choices {
				if c == text {
					*v = text
					return nil
				}
			}
			return fmt.Errorf("%q is not one of the choices", text)
		},
	})
	return v
}

// Source is where Load reads the values. The environment takes precedence over the
// file, and overrides from the command line take precedence over both.
type Source struct {
	// Path is the path of the INI file; empty means that there is none.
	Path string
	// Data is used instead of the contents of the file if it is not nil.
	Data []byte
	// LookupEnv looks up a variable, as os.LookupEnv does.
	LookupEnv func(string) (string, bool)
	// Overrides holds texts of the form "section.key=value".
	Overrides []string
}

// EnvName returns the name of the environment variable for a key.
func EnvName(section, name string) string {
	return "DOCK_" + strings.ToUpper(strings.ReplaceAll(section+"_"+name, "-", "_"))
}

// Load sets the variables of all declared keys and returns every problem.
func (s *Set) Load(src Source) []Problem {
	file, problems := s.readFile(src)
	overrides, more := s.readOverrides(src.Overrides)
	problems = append(problems, more...)
	for _, key := range s.keys {
		value, origin := key.Default, src.Path
		if section := file.Section(key.Section); section.HasKey(key.Name) {
			value = section.Key(key.Name).String()
		}
		if src.LookupEnv != nil {
			if text, ok := src.LookupEnv(EnvName(key.Section, key.Name)); ok {
				value, origin = text, "environment"
			}
		}
		if text, ok := overrides[key.Section+"."+key.Name]; ok {
			value, origin = text, "command line"
		}
		if p := key.set(value, origin); p != nil {
			problems = append(problems, *p)
		}
	}
	return problems
}

func (k *Key) set(value, origin string) *Problem {
	if value == "" && k.Required {
		return &Problem{File: origin, Section: k.Section, Key: k.Name, Allowed: k.Allowed, Message: "value is missing"}
	}
	if err := k.parse(value); err != nil {
		return &Problem{File: origin, Section: k.Section, Key: k.Name, Value: value, Allowed: k.Allowed, Message: err.Error()}
	}
	k.value = value
	return nil
}

// readFile returns the file and a problem for each unknown key. If the file cannot
// be read, it returns an empty file and one problem.
func (s *Set) readFile(src Source) (*ini.File, []Problem) {
	options := ini.LoadOptions{Insensitive: false, SkipUnrecognizableLines: false}
	var source any = src.Data
	if src.Data == nil {
		source = src.Path
	}
	if src.Data == nil && src.Path == "" {
		return ini.Empty(), nil
	}
	file, err := ini.LoadSources(options, source)
	if err != nil {
		return ini.Empty(), []Problem{{File: src.Path, Section: "-", Key: "-", Message: "file cannot be read: " + err.Error()}}
	}
	return file, s.unknownKeys(src.Path, file)
}

func (s *Set) unknownKeys(path string, file *ini.File) []Problem {
	var problems []Problem
	for _, section := range file.Sections() {
		for _, key := range section.Keys() {
			if s.find(section.Name(), key.Name()) == nil {
				problems = append(problems, Problem{File: path, Section: section.Name(), Key: key.Name(), Value: key.String(), Message: "key is unknown"})
			}
		}
	}
	return problems
}

func (s *Set) find(section, name string) *Key {
	for _, k := range s.keys {
		if k.Section == section && k.Name == name {
			return k
		}
	}
	return nil
}

func (s *Set) readOverrides(list []string) (map[string]string, []Problem) {
	values := make(map[string]string, len(list))
	var problems []Problem
	for _, text := range list {
		path, value, ok := strings.Cut(text, "=")
		section, name, dotted := strings.Cut(path, ".")
		if !ok || !dotted || s.find(section, name) == nil {
			problems = append(problems, Problem{File: "command line", Section: section, Key: name, Value: value, Message: "override is not section.key=value of a known key"})
			continue
		}
		values[path] = value
	}
	return values, problems
}
