// Package declare reads declarations from a directory of INI files that operators keep
// in version control. Errors name the file, the line and the key.
//
// The header of a section consists of its kind and name, as in "[template
// recalculation]". Operators may distribute the sections over files as they like.
package declare

import (
	"errors"
	"fmt"
	"path/filepath"
	"slices"
	"time"

	"chutereach/account"
	"chutereach/config"
	"chutereach/ini"
	"chutereach/resource"
)

// templateSection is a [template NAME] section.
type templateSection struct {
	Form         string            `long:"form" default:"batch"`
	Class        string            `long:"class" default:"batch"`
	Command      string            `long:"command"`
	CPU          resource.MilliCPU `long:"cpu"`
	Memory       resource.Bytes    `long:"memory"`
	Accelerators int64             `long:"accelerators"`
	Tasks        int               `long:"tasks" default:"1"`
	Lease        time.Duration     `long:"lease" default:"60s"`
	Repeat       string            `long:"repeat" default:"always"`
	Attempts     int               `long:"attempts" default:"3"`
	Halls        stringList        `long:"halls"`
	Params       stringList        `long:"params"`
	Inputs       stringList        `long:"inputs"`
	Policy       string            `long:"policy"`
	Tolerates    stringList        `long:"tolerates"`
	Affinity     stringMap         `long:"affinity"`
	Avoid        stringMap         `long:"avoid"`
	Slots        int               `long:"slots"`
	Connections  int               `long:"connections"`
	Down         int               `long:"down" default:"1"`
}

func (t *templateSection) build(name string) config.Template {
	return config.Template{
		Name: name, Form: config.Form(t.Form), Class: config.Class(t.Class),
		Command: t.Command, Need: resource.Amount{CPU: t.CPU, Memory: t.Memory, Accelerators: t.Accelerators},
		Tasks: t.Tasks, Lease: t.Lease, Repeat: config.Repeat(t.Repeat), Attempts: t.Attempts,
		Halls: t.Halls, Params: t.Params, Inputs: t.Inputs, Policy: t.Policy, Tolerates: t.Tolerates,
		Affinity: t.Affinity, Avoid: t.Avoid, Slots: t.Slots, Connections: t.Connections, Down: t.Down,
	}
}

// routeSection is a [route NAME] section.
type routeSection struct {
	Service  string        `long:"service"`
	Path     string        `long:"path" default:"/"`
	Class    string        `long:"class" default:"service"`
	Safety   string        `long:"safety" default:"repeat"`
	Deadline time.Duration `long:"deadline" default:"5s"`
	Queue    int           `long:"queue" default:"10000"`
}

func (r *routeSection) build(name string) config.Route {
	return config.Route{
		Name: name, Service: r.Service, Path: r.Path, Class: config.Class(r.Class),
		Safety: config.Safety(r.Safety), Deadline: r.Deadline, Queue: r.Queue,
	}
}

// policySection is a [policy NAME] section.
type policySection struct {
	Scoring string        `long:"scoring" default:"waiting"`
	Ageing  time.Duration `long:"ageing" default:"1h"`
}

func (p *policySection) build(name string) config.Policy {
	return config.Policy{Name: name, Scoring: config.Scoring(p.Scoring), Ageing: p.Ageing}
}

// accountSection is an [account NAME] section.
type accountSection struct {
	CPU          resource.MilliCPU `long:"quota-cpu"`
	Memory       resource.Bytes    `long:"quota-memory"`
	Accelerators int64             `long:"quota-accelerators"`
	Templates    stringList        `long:"templates"`
	Params       stringMap         `long:"param"`
	TokenHash    string            `long:"token-sha256"`
}

func (a *accountSection) build(name string) config.Account {
	return config.Account{
		Name: name, Quota: account.Quota{CPU: a.CPU, Memory: a.Memory, Accelerators: a.Accelerators},
		Templates: a.Templates, Params: a.Params, TokenHash: a.TokenHash,
	}
}

// hallSection is a [hall NAME] section.
type hallSection struct {
	Units int `long:"units" default:"1"`
}

func (h *hallSection) build(name string) config.Hall { return config.Hall{Name: name, Units: h.Units} }

// FilePattern matches the names of the files that contain declarations.
const FilePattern = "*.ini"

// Errors lists the rules that a set of declarations violates.
type Errors []error

func (e Errors) Error() string { return errors.Join(e...).Error() }

// NoFilesError reports a directory without files that match FilePattern.
type NoFilesError struct{ Dir string }

func (e *NoFilesError) Error() string {
	return fmt.Sprintf("%s: no %s files found", e.Dir, FilePattern)
}

// ReadDir reads all declarations in dir into one Set and validates it.
func ReadDir(dir string) (config.Set, error) {
	files, err := ParseDir(dir)
	if err != nil {
		return config.Set{}, err
	}
	return FromFiles(files...)
}

// ParseDir parses the INI files in dir, but does not read their declarations.
func ParseDir(dir string) ([]*ini.File, error) {
	names, err := filepath.Glob(filepath.Join(dir, FilePattern))
	if err != nil || len(names) == 0 {
		return nil, &NoFilesError{dir}
	}
	slices.Sort(names)
	var files []*ini.File
	for _, name := range names {
		f, err := ini.Read(name)
		if err != nil {
			return nil, err
		}
		files = append(files, f)
	}
	return files, nil
}

// FromFiles reads the declarations of files into one Set and validates it.
func FromFiles(files ...*ini.File) (config.Set, error) {
	b := setBuilder{set: config.NewSet(), fileBySection: map[string]*ini.File{}}
	for _, f := range files {
		if err := b.read(f); err != nil {
			return config.Set{}, err
		}
	}
	var errs Errors
	for _, e := range b.set.Check() {
		errs = append(errs, b.withLocation(e))
	}
	if len(errs) > 0 {
		return config.Set{}, errs
	}
	return b.set, nil
}

// setBuilder builds a Set and records the file of each section.
type setBuilder struct {
	set           config.Set
	fileBySection map[string]*ini.File
}

func (b *setBuilder) read(f *ini.File) error {
	sections := map[string]any{}
	err := f.Decode(func(s ini.Section) any {
		data := newSection(s)
		sections[s.Name] = data
		return data
	})
	if err != nil {
		return err
	}
	for _, s := range f.Sections {
		if first, duplicate := b.fileBySection[s.Name]; duplicate {
			reason := fmt.Sprintf("section [%s] is already declared in %s", s.Name, first.Name)
			return &ini.Error{File: f.Name, Line: s.Line, Reason: reason}
		}
		b.fileBySection[s.Name] = f
		b.add(s, sections[s.Name])
	}
	return nil
}

// newSection returns the struct for a section, or nil for an unknown kind.
func newSection(s ini.Section) any {
	kind, name := s.Split()
	if name == "" {
		return nil
	}
	switch config.Kind(kind) {
	case config.KindTemplate:
		return &templateSection{}
	case config.KindRoute:
		return &routeSection{}
	case config.KindPolicy:
		return &policySection{}
	case config.KindAccount:
		return &accountSection{}
	case config.KindHall:
		return &hallSection{}
	}
	return nil
}

func (b *setBuilder) add(s ini.Section, data any) {
	_, name := s.Split()
	switch d := data.(type) {
	case *templateSection:
		b.set.Templates[name] = d.build(name)
	case *routeSection:
		b.set.Routes[name] = d.build(name)
	case *policySection:
		b.set.Policies[name] = d.build(name)
	case *accountSection:
		b.set.Accounts[name] = d.build(name)
	case *hallSection:
		b.set.Halls[name] = d.build(name)
	}
}

// withLocation returns e as an error at the line that violates the rule.
func (b *setBuilder) withLocation(e *config.InvalidError) error {
	section := fmt.Sprintf("%s %s", e.Kind, e.Name)
	f := b.fileBySection[section]
	if f == nil {
		return e
	}
	return f.ErrorAt(section, e.Key, e.Reason)
}
