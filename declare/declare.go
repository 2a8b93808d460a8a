// Package declare reads declarations: a directory of INI files that operators
// keep in version control. Every error names the file, the line and the key.
//
// A section is headed by its kind and name, as in "[template recalculation]".
// How the sections are spread over files is up to the operators.
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

// template is a [template NAME] section.
type template struct {
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
	Halls        list              `long:"halls"`
	Params       list              `long:"params"`
	Inputs       list              `long:"inputs"`
	Policy       string            `long:"policy"`
	Tolerates    list              `long:"tolerates"`
	Affinity     pairs             `long:"affinity"`
	Avoid        pairs             `long:"avoid"`
	Slots        int               `long:"slots"`
	Connections  int               `long:"connections"`
	Down         int               `long:"down" default:"1"`
}

func (t *template) build(name string) config.Template {
	return config.Template{
		Name: name, Form: config.Form(t.Form), Class: config.Class(t.Class),
		Command: t.Command, Need: resource.Amount{CPU: t.CPU, Memory: t.Memory, Accelerators: t.Accelerators},
		Tasks: t.Tasks, Lease: t.Lease, Repeat: config.Repeat(t.Repeat), Attempts: t.Attempts,
		Halls: t.Halls, Params: t.Params, Inputs: t.Inputs, Policy: t.Policy, Tolerates: t.Tolerates,
		Affinity: t.Affinity, Avoid: t.Avoid, Slots: t.Slots, Connections: t.Connections, Down: t.Down,
	}
}

// route is a [route NAME] section.
type route struct {
	Service  string        `long:"service"`
	Path     string        `long:"path" default:"/"`
	Class    string        `long:"class" default:"service"`
	Safety   string        `long:"safety" default:"repeat"`
	Deadline time.Duration `long:"deadline" default:"5s"`
	Queue    int           `long:"queue" default:"10000"`
}

func (r *route) build(name string) config.Route {
	return config.Route{
		Name: name, Service: r.Service, Path: r.Path, Class: config.Class(r.Class),
		Safety: config.Safety(r.Safety), Deadline: r.Deadline, Queue: r.Queue,
	}
}

// policy is a [policy NAME] section.
type policy struct {
	Scoring string        `long:"scoring" default:"waiting"`
	Ageing  time.Duration `long:"ageing" default:"1h"`
}

func (p *policy) build(name string) config.Policy {
	return config.Policy{Name: name, Scoring: config.Scoring(p.Scoring), Ageing: p.Ageing}
}

// accountSection is an [account NAME] section.
type accountSection struct {
	CPU          resource.MilliCPU `long:"quota-cpu"`
	Memory       resource.Bytes    `long:"quota-memory"`
	Accelerators int64             `long:"quota-accelerators"`
	Templates    list              `long:"templates"`
	Params       pairs             `long:"param"`
	TokenHash    string            `long:"token-sha256"`
}

func (a *accountSection) build(name string) config.Account {
	return config.Account{
		Name: name, Quota: account.Quota{CPU: a.CPU, Memory: a.Memory, Accelerators: a.Accelerators},
		Templates: a.Templates, Params: a.Params, TokenHash: a.TokenHash,
	}
}

// hall is a [hall NAME] section.
type hall struct {
	Units int `long:"units" default:"1"`
}

func (h *hall) build(name string) config.Hall { return config.Hall{Name: name, Units: h.Units} }

// Pattern is which files of a directory are declarations.
const Pattern = "*.ini"

// Errors is everything that is wrong with a directory of declarations.
type Errors []error

func (e Errors) Error() string { return errors.Join(e...).Error() }

// NoFilesError says that a directory holds no declarations.
type NoFilesError struct{ Dir string }

func (e *NoFilesError) Error() string {
	return fmt.Sprintf("%s: holds no %s files", e.Dir, Pattern)
}

// Dir reads every declaration below dir into one Set and checks it whole.
func Dir(dir string) (config.Set, error) {
	files, err := Open(dir)
	if err != nil {
		return config.Set{}, err
	}
	return Files(files...)
}

// Open reads the files of declarations in dir, without what they declare.
func Open(dir string) ([]*ini.File, error) {
	names, err := filepath.Glob(filepath.Join(dir, Pattern))
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

// Files reads the declarations of files into one Set and checks it whole.
func Files(files ...*ini.File) (config.Set, error) {
	r := reader{set: config.NewSet(), from: map[string]*ini.File{}}
	for _, f := range files {
		if err := r.read(f); err != nil {
			return config.Set{}, err
		}
	}
	var errs Errors
	for _, e := range r.set.Check() {
		errs = append(errs, r.locate(e))
	}
	if len(errs) > 0 {
		return config.Set{}, errs
	}
	return r.set, nil
}

// reader gathers a Set and remembers which file declared what.
type reader struct {
	set  config.Set
	from map[string]*ini.File // by section name
}

func (r *reader) read(f *ini.File) error {
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
		if first, twice := r.from[s.Name]; twice {
			reason := fmt.Sprintf("section [%s] stands in %s too", s.Name, first.Name)
			return &ini.Error{File: f.Name, Line: s.Line, Reason: reason}
		}
		r.from[s.Name] = f
		r.add(s, sections[s.Name])
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
		return &template{}
	case config.KindRoute:
		return &route{}
	case config.KindPolicy:
		return &policy{}
	case config.KindAccount:
		return &accountSection{}
	case config.KindHall:
		return &hall{}
	}
	return nil
}

func (r *reader) add(s ini.Section, data any) {
	_, name := s.Split()
	switch d := data.(type) {
	case *template:
		r.set.Templates[name] = d.build(name)
	case *route:
		r.set.Routes[name] = d.build(name)
	case *policy:
		r.set.Policies[name] = d.build(name)
	case *accountSection:
		r.set.Accounts[name] = d.build(name)
	case *hall:
		r.set.Halls[name] = d.build(name)
	}
}

// locate turns a broken rule into an error at the line that broke it.
func (r *reader) locate(e *config.InvalidError) error {
	section := fmt.Sprintf("%s %s", e.Kind, e.Name)
	f := r.from[section]
	if f == nil {
		return e
	}
	return f.At(section, e.Key, e.Reason)
}
