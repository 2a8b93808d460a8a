// Package ini reads INI files strictly, into structs with go-flags tags.
//
// go-flags converts the values and rejects unknown keys. It does not reject a
// key or a section given twice, and names no line for an unknown section, so
// this package indexes the lines first.
package ini

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/jessevdk/go-flags"
)

// Error says what is wrong with a file, and where.
type Error struct {
	File   string
	Line   int // 0 where the whole file is meant
	Key    string
	Reason string
}

func (e *Error) Error() string {
	at := e.File
	if e.Line > 0 {
		at = fmt.Sprintf("%s:%d", e.File, e.Line)
	}
	if e.Key != "" {
		return fmt.Sprintf("%s: %s: %s", at, e.Key, e.Reason)
	}
	return fmt.Sprintf("%s: %s", at, e.Reason)
}

// Section is one section of a file: its name, its line, and its keys' lines.
type Section struct {
	Name string
	Line int
	Keys map[string]int
}

// Split parts a section's name into its kind and the name behind it, as in
// "[template recalculation]".
func (s Section) Split() (kind, name string) {
	kind, name, _ = strings.Cut(s.Name, " ")
	return kind, strings.TrimSpace(name)
}

// File is an INI file and the index of its lines.
type File struct {
	Name     string
	Sections []Section
	text     []byte
}

// MaxFileBytes bounds a file, so that a wrong path cannot fill the memory.
const MaxFileBytes = 4 << 20

// Read reads and indexes the file called name.
func Read(name string) (*File, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, &Error{File: name, Reason: reasonOf(err)}
	}
	return Parse(name, text)
}

func reasonOf(err error) string {
	var p *os.PathError
	if errors.As(err, &p) {
		return p.Err.Error()
	}
	return err.Error()
}

// Parse indexes text, which errors call name.
func Parse(name string, text []byte) (*File, error) {
	if len(text) > MaxFileBytes {
		return nil, &Error{File: name, Reason: fmt.Sprintf("file is over %d bytes", MaxFileBytes)}
	}
	f := &File{Name: name, text: text}
	lines := bufio.NewScanner(bytes.NewReader(text))
	lines.Buffer(nil, MaxFileBytes+1)
	for n := 1; lines.Scan(); n++ {
		if err := f.index(n, strings.TrimSpace(lines.Text())); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// index takes in one line. Lines that go-flags will refuse are left to it.
func (f *File) index(n int, line string) error {
	if line == "" || line[0] == ';' || line[0] == '#' {
		return nil
	}
	if line[0] == '[' {
		return f.open(n, strings.TrimSpace(strings.Trim(line, "[]")))
	}
	key, _, found := strings.Cut(line, "=")
	key = strings.TrimSpace(key)
	if !found {
		return &Error{File: f.Name, Line: n, Reason: fmt.Sprintf("%q is neither a section nor key = value", line)}
	}
	if len(f.Sections) == 0 {
		return &Error{File: f.Name, Line: n, Key: key, Reason: "stands before the first section"}
	}
	keys := f.Sections[len(f.Sections)-1].Keys
	if first, twice := keys[key]; twice {
		return &Error{File: f.Name, Line: n, Key: key, Reason: fmt.Sprintf("is given twice, first on line %d", first)}
	}
	keys[key] = n
	return nil
}

func (f *File) open(n int, name string) error {
	for _, s := range f.Sections {
		if s.Name == name {
			return &Error{File: f.Name, Line: n, Reason: fmt.Sprintf("section [%s] stands twice, first on line %d", name, s.Line)}
		}
	}
	f.Sections = append(f.Sections, Section{Name: name, Line: n, Keys: map[string]int{}})
	return nil
}

// At returns an Error at a key of a section, or at the section's own line if
// the key is not given.
func (f *File) At(section, key, reason string) *Error {
	for _, s := range f.Sections {
		if s.Name != section {
			continue
		}
		line := s.Keys[key]
		if line == 0 {
			line = s.Line
		}
		return &Error{File: f.Name, Line: line, Key: key, Reason: reason}
	}
	return &Error{File: f.Name, Key: key, Reason: reason}
}

// Option names one key of a section.
type Option struct{ Section, Key string }

// WithoutEmpty returns f without those of the options that stand there with no value,
// and the options that f then lacks.
func (f *File) WithoutEmpty(options []Option) (*File, []Option) {
	lines := strings.Split(string(f.text), "\n")
	var missing []Option
	for _, option := range options {
		line := f.lineOf(option)
		if line == 0 {
			missing = append(missing, option)
			continue
		}
		if _, value, _ := strings.Cut(lines[line-1], "="); strings.TrimSpace(value) == "" {
			lines[line-1] = "" // the numbers of the other lines stay
			missing = append(missing, option)
		}
	}
	return &File{Name: f.Name, Sections: f.Sections, text: []byte(strings.Join(lines, "\n"))}, missing
}

// lineOf returns the line of an option, or 0 if it is not given.
func (f *File) lineOf(option Option) int {
	for _, s := range f.Sections {
		if s.Name == option.Section {
			return s.Keys[option.Key]
		}
	}
	return 0
}

// Decode reads every section of f into the struct that into returns for it.
// A nil from into says that the section is unknown.
func (f *File) Decode(into func(Section) any) error {
	p := flags.NewParser(nil, flags.None)
	for _, s := range f.Sections {
		data := into(s)
		if data == nil {
			return &Error{File: f.Name, Line: s.Line, Reason: fmt.Sprintf("section [%s] is unknown", s.Name)}
		}
		if _, err := p.AddGroup(s.Name, "", data); err != nil {
			return &Error{File: f.Name, Line: s.Line, Reason: err.Error()}
		}
	}
	if err := f.Apply(p); err != nil {
		return err
	}
	// go-flags gives an option its default only when it parses arguments.
	_, err := p.ParseArgs([]string{})
	return f.translate(err)
}

// Apply gives f's values to the options of p, whose groups are the sections.
func (f *File) Apply(p *flags.Parser) error {
	for _, s := range f.Sections {
		if p.Group.Find(s.Name) == nil {
			return &Error{File: f.Name, Line: s.Line, Reason: fmt.Sprintf("section [%s] is unknown", s.Name)}
		}
	}
	err := flags.NewIniParser(p).Parse(bytes.NewReader(f.text))
	return f.translate(err)
}

// translate turns an error of go-flags into one that names the key at fault.
func (f *File) translate(err error) error {
	var ie *flags.IniError
	if !errors.As(err, &ie) {
		if err == nil {
			return nil
		}
		return &Error{File: f.Name, Reason: err.Error()}
	}
	line := int(ie.LineNumber)
	reason := strings.Replace(ie.Message, "unknown option: ", "unknown key ", 1)
	return &Error{File: f.Name, Line: line, Key: f.keyOn(line), Reason: reason}
}

func (f *File) keyOn(line int) string {
	for _, s := range f.Sections {
		for key, at := range s.Keys {
			if at == line {
				return key
			}
		}
	}
	return ""
}
