// Package ini strictly decodes INI files into structs with go-flags tags.
//
// go-flags converts the values and rejects unknown keys, but it accepts duplicate
// keys and sections, and reports unknown sections without a line number. This
// package therefore indexes the lines before go-flags parses them.
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

// Error reports an error in a file, with its position.
type Error struct {
	File   string
	Line   int // 0 for the whole file
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

// Section is a section of a file, with the line numbers of its header and its keys.
type Section struct {
	Name string
	Line int
	Keys map[string]int
}

// Split returns the kind and the name of a section such as "[template recalculation]".
func (s Section) Split() (kind, name string) {
	kind, name, _ = strings.Cut(s.Name, " ")
	return kind, strings.TrimSpace(name)
}

// File is an INI file with an index of its lines.
type File struct {
	Name     string
	Sections []Section
	text     []byte
}

// MaxFileBytes limits the size of a file, so that a wrong path cannot exhaust the memory.
const MaxFileBytes = 4 << 20

// Read reads and indexes the named file.
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

// Parse indexes text. Errors refer to it as name.
func Parse(name string, text []byte) (*File, error) {
	if len(text) > MaxFileBytes {
		return nil, &Error{File: name, Reason: fmt.Sprintf("file is over %d bytes", MaxFileBytes)}
	}
	f := &File{Name: name, text: text}
	lines := bufio.NewScanner(bytes.NewReader(text))
	lines.Buffer(nil, MaxFileBytes+1)
	for n := 1; lines.Scan(); n++ {
		if err := f.indexLine(n, strings.TrimSpace(lines.Text())); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// indexLine indexes one line. It accepts some invalid lines, which go-flags rejects later.
func (f *File) indexLine(n int, line string) error {
	if line == "" || line[0] == ';' || line[0] == '#' {
		return nil
	}
	if line[0] == '[' {
		return f.addSection(n, strings.TrimSpace(strings.Trim(line, "[]")))
	}
	key, _, found := strings.Cut(line, "=")
	key = strings.TrimSpace(key)
	if !found {
		return &Error{File: f.Name, Line: n, Reason: fmt.Sprintf("%q is neither a section nor key = value", line)}
	}
	if len(f.Sections) == 0 {
		return &Error{File: f.Name, Line: n, Key: key, Reason: "is given before the first section"}
	}
	keys := f.Sections[len(f.Sections)-1].Keys
	if first, twice := keys[key]; twice {
		return &Error{File: f.Name, Line: n, Key: key, Reason: fmt.Sprintf("is given twice, first on line %d", first)}
	}
	keys[key] = n
	return nil
}

func (f *File) addSection(n int, name string) error {
	for _, s := range f.Sections {
		if s.Name == name {
			return &Error{File: f.Name, Line: n, Reason: fmt.Sprintf("section [%s] is given twice, first on line %d", name, s.Line)}
		}
	}
	f.Sections = append(f.Sections, Section{Name: name, Line: n, Keys: map[string]int{}})
	return nil
}

// ErrorAt returns an Error at the line of a key, or at the line of its section if the
// file does not have the key.
func (f *File) ErrorAt(section, key, reason string) *Error {
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

// Option identifies a key of a section.
type Option struct{ Section, Key string }

// WithoutEmpty returns f without those options that have an empty value, and the
// options that are missing from the result.
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
			lines[line-1] = "" // keeps the numbers of the other lines
			missing = append(missing, option)
		}
	}
	return &File{Name: f.Name, Sections: f.Sections, text: []byte(strings.Join(lines, "\n"))}, missing
}

// lineOf returns the line of an option, or 0 if the file does not have it.
func (f *File) lineOf(option Option) int {
	for _, s := range f.Sections {
		if s.Name == option.Section {
			return s.Keys[option.Key]
		}
	}
	return 0
}

// Decode decodes each section of f into the struct that target returns for it. If
// target returns nil, the section is unknown.
func (f *File) Decode(target func(Section) any) error {
	p := flags.NewParser(nil, flags.None)
	for _, s := range f.Sections {
		data := target(s)
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
	// go-flags applies the defaults of options only when it parses arguments.
	_, err := p.ParseArgs([]string{})
	return f.convertError(err)
}

// Apply sets the options of p from f. Each section of f is a group of p.
func (f *File) Apply(p *flags.Parser) error {
	for _, s := range f.Sections {
		if p.Group.Find(s.Name) == nil {
			return &Error{File: f.Name, Line: s.Line, Reason: fmt.Sprintf("section [%s] is unknown", s.Name)}
		}
	}
	err := flags.NewIniParser(p).Parse(bytes.NewReader(f.text))
	return f.convertError(err)
}

// convertError converts a go-flags error to an Error with its line and key, if known.
func (f *File) convertError(err error) error {
	var ie *flags.IniError
	if !errors.As(err, &ie) {
		if err == nil {
			return nil
		}
		return &Error{File: f.Name, Reason: err.Error()}
	}
	line := int(ie.LineNumber)
	reason := strings.Replace(ie.Message, "unknown option: ", "unknown key ", 1)
	return &Error{File: f.Name, Line: line, Key: f.keyAt(line), Reason: reason}
}

func (f *File) keyAt(line int) string {
	for _, s := range f.Sections {
		for key, at := range s.Keys {
			if at == line {
				return key
			}
		}
	}
	return ""
}
