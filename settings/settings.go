// Package settings reads the daemon's settings: from flags, the environment, an
// INI file and defaults, in this order of precedence.
package settings

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/rs/zerolog"

	"chutereach/ini"
)

// Settings is everything that the daemon can be told.
type Settings struct {
	Config string `short:"c" long:"config" env:"CHUTEREACH_CONFIG" no-ini:"true" description:"INI file with settings" value-name:"FILE"`
	Check  bool   `long:"check" no-ini:"true" description:"check the settings, print those in effect, and exit"`

	Box      Box      `group:"box" namespace:"box" env-namespace:"CHUTEREACH_BOX"`
	Platform Platform `group:"platform" namespace:"platform" env-namespace:"CHUTEREACH_PLATFORM"`
	Keys     Keys     `group:"keys" namespace:"keys" env-namespace:"CHUTEREACH_KEYS"`
	Operator Operator `group:"operator" namespace:"operator" env-namespace:"CHUTEREACH_OPERATOR"`
	Times    Times    `group:"times" namespace:"times" env-namespace:"CHUTEREACH_TIMES"`
	Log      Log      `group:"log" namespace:"log" env-namespace:"CHUTEREACH_LOG"`

	file *ini.File
}

// Box is who the daemon is and where it listens.
type Box struct {
	Name string `long:"name" ini-name:"name" env:"NAME" default:"box-1" description:"name of this box"`
	Hall string `long:"hall" ini-name:"hall" env:"HALL" default:"here" description:"data hall of this box"`
	HTTP string `long:"http" ini-name:"http" env:"HTTP" default:"127.0.0.1:7480" description:"address for callers and operators"`
	Peer string `long:"peer" ini-name:"peer" env:"PEER" default:"127.0.0.1:7490" description:"UDP address for other boxes"`
}

// Platform is where the platform is.
type Platform struct {
	URL   string  `long:"url" ini-name:"url" env:"URL" description:"the platform's address; empty embeds a stand-in, for trying out"`
	Token string  `long:"token" ini-name:"token" env:"TOKEN" secret:"true" description:"token for the platform"`
	Fleet string  `long:"fleet" ini-name:"fleet" env:"FLEET" default:"manizales" choice:"manizales" choice:"guild" choice:"both" description:"workers of the embedded stand-in"`
	Rate  float64 `long:"rate" ini-name:"rate" env:"RATE" default:"200" description:"transactions a second that this box may send to the table"`
}

// Keys are the files by which boxes know each other.
type Keys struct {
	Authority string `long:"authority" ini-name:"authority" env:"AUTHORITY" description:"certificate of the authority" value-name:"FILE"`
	Cert      string `long:"cert" ini-name:"cert" env:"CERT" description:"certificate of this box" value-name:"FILE"`
	Key       string `long:"key" ini-name:"key" env:"KEY" description:"private key of this box" value-name:"FILE"`
}

// Operator is how operators show who they are.
type Operator struct {
	Token string `long:"token" ini-name:"token" env:"TOKEN" secret:"true" description:"token that operators show"`
}

// Times are the times by which boxes go.
type Times struct {
	Beat       time.Duration `long:"beat" ini-name:"beat" env:"BEAT" default:"1s" description:"between heartbeats"`
	Lapse      time.Duration `long:"lapse" ini-name:"lapse" env:"LAPSE" default:"3s" description:"after which a heartbeat has lapsed"`
	ClockError time.Duration `long:"clock-error" ini-name:"clock-error" env:"CLOCK_ERROR" default:"500ms" description:"by which clocks may differ"`
	Drain      time.Duration `long:"drain" ini-name:"drain" env:"DRAIN" default:"5s" description:"for which a stopping box goes on accepting, until the balancer has noticed"`
	Cutoff     time.Duration `long:"cutoff" ini-name:"cutoff" env:"CUTOFF" default:"9s" description:"after which a box without word of the configuration is not ready"`
}

// Log is how the daemon logs.
type Log struct {
	Level string `long:"level" ini-name:"level" env:"LEVEL" default:"info" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"least level that is logged"`
	JSON  bool   `long:"json" ini-name:"json" env:"JSON" description:"log as JSON"`
}

// Error says which setting is wrong.
type Error struct {
	Where  string // file:line, or where else the setting came from
	Key    string
	Reason string
}

func (e *Error) Error() string {
	if e.Where == "" {
		return fmt.Sprintf("%s: %s", e.Key, e.Reason)
	}
	return fmt.Sprintf("%s: %s: %s", e.Where, e.Key, e.Reason)
}

// HelpError carries the help text that was asked for.
type HelpError struct{ Text string }

func (e *HelpError) Error() string { return e.Text }

// Load reads the settings from args, the environment and the file that either
// names.
func Load(args []string) (*Settings, error) {
	file, err := configFile(args)
	if err != nil {
		return nil, err
	}
	s := &Settings{}
	p := newParser(s, flags.HelpFlag)
	if file != nil {
		if err := file.Apply(p); err != nil {
			return nil, err
		}
		if err := fromEnvironment(p); err != nil {
			return nil, err
		}
	}
	if err := parse(p, args); err != nil {
		return nil, err
	}
	s.file = file
	return s, s.check()
}

// parse reads a command line, which must hold nothing but options.
func parse(p *flags.Parser, args []string) error {
	rest, err := p.ParseArgs(args)
	var fe *flags.Error
	switch {
	case errors.As(err, &fe) && fe.Type == flags.ErrHelp:
		return &HelpError{fe.Message}
	case err != nil:
		return &Error{Key: "command line", Reason: err.Error()}
	case len(rest) > 0:
		return &Error{Key: "command line", Reason: fmt.Sprintf("%q is not understood", rest[0])}
	}
	return nil
}

// Fault returns the error that a setting cannot be used, at the file and line
// that gave it if one did.
func (s *Settings) Fault(section, key, reason string) error {
	if s.file == nil {
		return &Error{Key: section + "." + key, Reason: reason}
	}
	return s.file.At(section, key, reason)
}

func newParser(s *Settings, o flags.Options) *flags.Parser {
	p := flags.NewNamedParser("chutereachd", o)
	p.ShortDescription = "one entry box of a chutereach cell"
	p.LongDescription = "Runs one entry box. Every box is alike. Without settings it runs alone, " +
		"with a stand-in of the platform inside, for trying out.\n\n" +
		"Examples:\n  chutereachd\n  chutereachd --check --config box.ini\n  chutereachd --config box.ini --log.level debug"
	if _, err := p.AddGroup("daemon", "", s); err != nil {
		panic(err) // the struct's tags are constant
	}
	return p
}

// configFile finds and reads the file that flags or the environment name.
func configFile(args []string) (*ini.File, error) {
	var s Settings
	p := newParser(&s, flags.IgnoreUnknown)
	if _, err := p.ParseArgs(args); err != nil {
		return nil, nil // the full parse tells better what is wrong
	}
	if s.Config == "" {
		return nil, nil
	}
	return ini.Read(s.Config)
}

// fromEnvironment lays the environment over what a file said. Without this
// go-flags would let the file win.
func fromEnvironment(p *flags.Parser) error {
	var failed error
	eachOption(p, func(_ *flags.Group, o *flags.Option) {
		key := o.EnvKeyWithNamespace()
		value, given := os.LookupEnv(key)
		if key == "" || !given || failed != nil {
			return
		}
		if err := o.Set(&value); err != nil {
			failed = &Error{Where: "environment", Key: key, Reason: err.Error()}
		}
	})
	return failed
}

func eachOption(p *flags.Parser, f func(*flags.Group, *flags.Option)) {
	for _, top := range p.Groups() {
		for _, g := range append([]*flags.Group{top}, top.Groups()...) {
			for _, o := range g.Options() {
				f(g, o)
			}
		}
	}
}

const (
	minBeat = 50 * time.Millisecond
	// lapseBeats is how many heartbeats a box may miss at the least.
	lapseBeats = 2
)

// check applies the rules between settings.
func (s *Settings) check() error {
	bad := s.Fault
	if err := addressError(s.Box.HTTP); err != "" {
		return bad("box", "http", err)
	}
	if err := addressError(s.Box.Peer); err != "" {
		return bad("box", "peer", err)
	}
	if s.Box.Name == "" || strings.ContainsAny(s.Box.Name, "./ ") {
		return bad("box", "name", "must not be empty, nor hold dots, slashes or spaces")
	}
	if u, err := url.Parse(s.Platform.URL); err != nil || s.Platform.URL != "" && (u.Scheme == "" || u.Host == "") {
		return bad("platform", "url", "must be a URL such as http://10.0.0.1:7400")
	}
	if s.Platform.Rate <= 0 {
		return bad("platform", "rate", "must be more than 0")
	}
	if s.Times.Beat < minBeat {
		return bad("times", "beat", fmt.Sprintf("must be at least %v", minBeat))
	}
	if s.Times.Lapse < lapseBeats*s.Times.Beat {
		return bad("times", "lapse", fmt.Sprintf("must be at least %d heartbeats", lapseBeats))
	}
	if s.Times.ClockError < 0 || s.Times.Drain < 0 || s.Times.Cutoff < s.Times.Lapse {
		return bad("times", "cutoff", "no time may be negative, and cutoff must be at least lapse")
	}
	if s.Platform.URL != "" && (s.Keys.Authority == "" || s.Keys.Cert == "" || s.Keys.Key == "") {
		return bad("keys", "authority", "authority, cert and key are needed with a platform; make them with 'chutereach keys'")
	}
	return nil
}

func addressError(a string) string {
	host, _, err := net.SplitHostPort(a)
	if err != nil {
		return fmt.Sprintf("%q is not an address with a port, such as 10.0.0.1:7480", a)
	}
	if net.ParseIP(host) == nil {
		return fmt.Sprintf("%q is not an IP number", host)
	}
	return ""
}

// Level returns the least level that is logged.
func (s *Settings) Level() zerolog.Level {
	level, err := zerolog.ParseLevel(s.Log.Level)
	if err != nil {
		return zerolog.InfoLevel // check admits only known levels
	}
	return level
}

const masked = "(set)"

// Print returns the settings in effect as an INI file, secrets masked.
func (s *Settings) Print() string {
	var b bytes.Buffer
	shown := *s
	p := newParser(&shown, flags.None)
	eachOption(p, func(g *flags.Group, o *flags.Option) { printOption(&b, g, o) })
	return b.String()
}

// printOption writes one setting, after its section's name if it is the first.
func printOption(b *bytes.Buffer, g *flags.Group, o *flags.Option) {
	key := o.Field().Tag.Get("ini-name")
	if key == "" {
		return
	}
	if g.Options()[0] == o {
		fmt.Fprintf(b, "[%s]\n", g.ShortDescription)
	}
	value := fmt.Sprint(o.Value())
	if o.Field().Tag.Get("secret") != "" && value != "" {
		value = masked
	}
	fmt.Fprintf(b, "%s = %s\n", key, value)
}
