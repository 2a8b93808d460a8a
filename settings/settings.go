// Package settings loads the daemon's settings from flags, the environment, an INI file and
// defaults, in this order of precedence.
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

// Settings holds all settings of an entry box.
type Settings struct {
	Config string `short:"c" long:"config" env:"CHUTEREACH_CONFIG" no-ini:"true" description:"INI file with settings" value-name:"FILE"`
	Check  bool   `long:"check" no-ini:"true" description:"check the settings, print those in effect, and exit"`

	Box      Box      `group:"box" namespace:"box" env-namespace:"CHUTEREACH_BOX"`
	Platform Platform `group:"platform" namespace:"platform" env-namespace:"CHUTEREACH_PLATFORM"`
	Keys     Keys     `group:"keys" namespace:"keys" env-namespace:"CHUTEREACH_KEYS"`
	Operator Operator `group:"operator" namespace:"operator" env-namespace:"CHUTEREACH_OPERATOR"`
	Callers  Callers  `group:"callers" namespace:"callers" env-namespace:"CHUTEREACH_CALLERS"`
	Times    Times    `group:"times" namespace:"times" env-namespace:"CHUTEREACH_TIMES"`
	Log      Log      `group:"log" namespace:"log" env-namespace:"CHUTEREACH_LOG"`

	file *ini.File
}

// Box holds the identity and the listen addresses of the box.
type Box struct {
	Name string `long:"name" ini-name:"name" env:"NAME" default:"box-1" description:"name of this box"`
	Hall string `long:"hall" ini-name:"hall" env:"HALL" default:"here" description:"data hall of this box"`
	HTTP string `long:"http" ini-name:"http" env:"HTTP" default:"127.0.0.1:7480" description:"address for callers and operators"`
	Peer string `long:"peer" ini-name:"peer" env:"PEER" default:"127.0.0.1:7490" description:"UDP address for other boxes"`
	// Memory and Descriptors are what the process may use.
	Memory      int `long:"memory" ini-name:"memory" env:"MEMORY" default:"0" description:"memory of this box in MiB, which the collector keeps below; 0: not known"`
	Descriptors int `long:"descriptors" ini-name:"descriptors" env:"DESCRIPTORS" default:"0" description:"files and connections that this process may have open; 0: as many as the kernel allows"`
}

// Platform holds the address, the token and the rate limit of the platform, and the fleet
// of the embedded stand-in.
type Platform struct {
	URL   string  `long:"url" ini-name:"url" env:"URL" description:"the platform's address; empty embeds a stand-in, for trying out"`
	Token string  `long:"token" ini-name:"token" env:"TOKEN" secret:"true" description:"token for the platform"`
	Fleet string  `long:"fleet" ini-name:"fleet" env:"FLEET" default:"manizales" choice:"manizales" choice:"guild" choice:"both" description:"workers of the embedded stand-in"`
	Rate  float64 `long:"rate" ini-name:"rate" env:"RATE" default:"200" description:"transactions a second that this box may send to the table"`
}

// Keys holds the paths of the certificates and the key by which boxes authenticate each
// other.
type Keys struct {
	Authority string `long:"authority" ini-name:"authority" env:"AUTHORITY" description:"certificate of the authority" value-name:"FILE"`
	Cert      string `long:"cert" ini-name:"cert" env:"CERT" description:"certificate of this box" value-name:"FILE"`
	Key       string `long:"key" ini-name:"key" env:"KEY" description:"private key of this box" value-name:"FILE"`
}

// Operator holds the credentials of operators.
type Operator struct {
	Token string `long:"token" ini-name:"token" env:"TOKEN" secret:"true" description:"token that operators show"`
}

// Times holds intervals and timeouts.
type Times struct {
	Beat       time.Duration `long:"beat" ini-name:"beat" env:"BEAT" default:"1s" description:"between heartbeats"`
	Lapse      time.Duration `long:"lapse" ini-name:"lapse" env:"LAPSE" default:"3s" description:"after which a heartbeat has lapsed"`
	ClockError time.Duration `long:"clock-error" ini-name:"clock-error" env:"CLOCK_ERROR" default:"500ms" description:"by which clocks may differ"`
	Drain      time.Duration `long:"drain" ini-name:"drain" env:"DRAIN" default:"5s" description:"for which a stopping box goes on accepting, until the balancer has noticed"`
	Cutoff     time.Duration `long:"cutoff" ini-name:"cutoff" env:"CUTOFF" default:"9s" description:"after which a box without word of the configuration is not ready"`
}

// Log holds the logging options.
type Log struct {
	Level string `long:"level" ini-name:"level" env:"LEVEL" default:"info" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"least level that is logged"`
	JSON  bool   `long:"json" ini-name:"json" env:"JSON" description:"log as JSON"`
}

// Error reports an invalid setting.
type Error struct {
	Where  string // source of the setting, such as "environment"; empty if unknown
	Key    string
	Reason string
}

func (e *Error) Error() string {
	if e.Where == "" {
		return fmt.Sprintf("%s: %s", e.Key, e.Reason)
	}
	return fmt.Sprintf("%s: %s: %s", e.Where, e.Key, e.Reason)
}

// HelpError is returned if help was requested. Text is the help text.
type HelpError struct{ Text string }

func (e *HelpError) Error() string { return e.Text }

// Load reads the settings of an entry box from args, the environment and the file that
// either names.
func Load(args []string) (*Settings, error) {
	file, err := readConfigFile(args)
	if err != nil {
		return nil, err
	}
	s := &Settings{}
	p := newParser(s, flags.HelpFlag)
	if file != nil {
		if err := file.Apply(p); err != nil {
			return nil, err
		}
		if err := applyEnvironment(p); err != nil {
			return nil, err
		}
	}
	if err := parse(p, args); err != nil {
		return nil, err
	}
	s.file = file
	return s, s.check()
}

// parse parses a command line that must consist of options only.
func parse(p *flags.Parser, args []string) error {
	rest, err := p.ParseArgs(args)
	var flagsErr *flags.Error
	switch {
	case errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp:
		return &HelpError{flagsErr.Message}
	case err != nil:
		return &Error{Key: "command line", Reason: err.Error()}
	case len(rest) > 0:
		return &Error{Key: "command line", Reason: fmt.Sprintf("unexpected argument %q", rest[0])}
	}
	return nil
}

// OptionError returns an error about a setting, with the file and line if the settings were read
// from a file.
func (s *Settings) OptionError(section, key, reason string) error {
	if s.file == nil {
		return &Error{Key: section + "." + key, Reason: reason}
	}
	return s.file.ErrorAt(section, key, reason)
}

func newParser(s *Settings, o flags.Options) *flags.Parser {
	p := flags.NewNamedParser("chutereachd", o)
	p.ShortDescription = "run one entry box of a chutereach cell"
	p.LongDescription = "Runs one entry box. All boxes have the same role. Without settings it runs " +
		"as a single box with an embedded stand-in for the platform, for evaluation.\n\n" +
		"Examples:\n  chutereachd\n  chutereachd --check --config box.ini\n  chutereachd --config box.ini --log.level debug"
	if _, err := p.AddGroup("daemon", "", s); err != nil {
		panic(err) // cannot fail: the struct tags are constant
	}
	return p
}

// readConfigFile reads the file that args or the environment name. It returns nil if there
// is none.
func readConfigFile(args []string) (*ini.File, error) {
	var s Settings
	p := newParser(&s, flags.IgnoreUnknown)
	if _, err := p.ParseArgs(args); err != nil {
		return nil, nil // the full parse reports the error
	}
	if s.Config == "" {
		return nil, nil
	}
	return ini.Read(s.Config)
}

// applyEnvironment sets options from the environment after a file has been applied.
// go-flags itself ranks an INI file above the environment.
func applyEnvironment(p *flags.Parser) error {
	var firstErr error
	eachOption(p, func(_ *flags.Group, o *flags.Option) {
		key := o.EnvKeyWithNamespace()
		value, given := os.LookupEnv(key)
		if key == "" || !given || firstErr != nil {
			return
		}
		if err := o.Set(&value); err != nil {
			firstErr = &Error{Where: "environment", Key: key, Reason: err.Error()}
		}
	})
	return firstErr
}

// eachOption calls f with every option and its group, down to one level of subgroups.
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
	minHeartbeatInterval = 50 * time.Millisecond
	// minLapseHeartbeats is the minimum of times.lapse as a multiple of times.beat.
	minLapseHeartbeats = 2
)

// check validates the values of settings, single and in combination.
func (s *Settings) check() error {
	optionError := s.OptionError
	if err := invalidAddressReason(s.Box.HTTP); err != "" {
		return optionError("box", "http", err)
	}
	if err := invalidAddressReason(s.Box.Peer); err != "" {
		return optionError("box", "peer", err)
	}
	if s.Box.Name == "" || strings.ContainsAny(s.Box.Name, "./ ") {
		return optionError("box", "name", fmt.Sprintf("must not be empty or contain dots, slashes or spaces, got %q", s.Box.Name))
	}
	if u, err := url.Parse(s.Platform.URL); err != nil || s.Platform.URL != "" && (u.Scheme == "" || u.Host == "") {
		return optionError("platform", "url", fmt.Sprintf("must be a URL such as http://10.0.0.1:7400, got %q", s.Platform.URL))
	}
	if s.Platform.Rate <= 0 {
		return optionError("platform", "rate", fmt.Sprintf("must be greater than 0, got %v", s.Platform.Rate))
	}
	if s.Box.Memory < 0 {
		return optionError("box", "memory", fmt.Sprintf("must not be negative, got %v", s.Box.Memory))
	}
	if s.Box.Descriptors < 0 {
		return optionError("box", "descriptors", fmt.Sprintf("must not be negative, got %v", s.Box.Descriptors))
	}
	if key, reason := s.Callers.check(); reason != "" {
		return optionError("callers", key, reason)
	}
	if s.Times.Beat < minHeartbeatInterval {
		return optionError("times", "beat", fmt.Sprintf("must be at least %v, got %v", minHeartbeatInterval, s.Times.Beat))
	}
	if s.Times.Lapse < minLapseHeartbeats*s.Times.Beat {
		return optionError("times", "lapse", fmt.Sprintf("must be at least %d times beat (%v), got %v", minLapseHeartbeats, s.Times.Beat, s.Times.Lapse))
	}
	if s.Times.ClockError < 0 || s.Times.Drain < 0 || s.Times.Cutoff < s.Times.Lapse {
		return optionError("times", "cutoff", fmt.Sprintf("clock-error and drain must not be negative, and cutoff must be at least lapse; got clock-error %v, drain %v, cutoff %v, lapse %v",
			s.Times.ClockError, s.Times.Drain, s.Times.Cutoff, s.Times.Lapse))
	}
	if s.Platform.URL != "" && (s.Keys.Authority == "" || s.Keys.Cert == "" || s.Keys.Key == "") {
		return optionError("keys", "authority", "authority, cert and key are required if platform.url is set; create them with 'chutereach keys'")
	}
	return nil
}

// invalidAddressReason returns why a is not an IP address with a port, or "" if it is one.
func invalidAddressReason(a string) string {
	host, _, err := net.SplitHostPort(a)
	if err != nil {
		return fmt.Sprintf("%q is not an address with a port, such as 10.0.0.1:7480", a)
	}
	if net.ParseIP(host) == nil {
		return fmt.Sprintf("%q is not an IP address", host)
	}
	return ""
}

// Level returns the minimum level of log messages.
func (s *Settings) Level() zerolog.Level {
	level, err := zerolog.ParseLevel(s.Log.Level)
	if err != nil {
		return zerolog.InfoLevel // unreachable: the flag admits only known levels
	}
	return level
}

const maskedSecret = "(set)"

// Print returns the settings in effect as an INI file, with secrets masked.
func (s *Settings) Print() string {
	var b bytes.Buffer
	shown := *s
	p := newParser(&shown, flags.None)
	eachOption(p, func(g *flags.Group, o *flags.Option) { printOption(&b, g, o) })
	return b.String()
}

// printOption writes an option, preceded by the section header if it is the first of its
// group. Options without an INI name are skipped.
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
		value = maskedSecret
	}
	fmt.Fprintf(b, "%s = %s\n", key, value)
}
