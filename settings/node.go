package settings

import (
	"bytes"
	"fmt"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/rs/zerolog"

	"chutereach/ini"
)

// Node holds all settings of a daemon that runs as a node of a system on the users'
// platform.
type Node struct {
	Config string `short:"c" long:"config" env:"CHUTEREACH_SETTINGS" no-ini:"true" description:"INI file with settings" value-name:"FILE"`
	Check  bool   `long:"check" no-ini:"true" description:"check the settings, print those in effect, and exit"`

	Self    NodeSelf   `group:"node" namespace:"node"`
	Store   NodeStore  `group:"store" namespace:"store"`
	Advice  NodeAdvice `group:"advice" namespace:"advice"`
	Times   NodeTimes  `group:"times" namespace:"times"`
	Worker  NodeWorker `group:"worker" namespace:"worker"`
	Load    NodeLoad   `group:"load" namespace:"load"`
	Callers Callers    `group:"callers" namespace:"callers" env-namespace:"CHUTEREACH_CALLERS"`
	Log     NodeLog    `group:"log" namespace:"log"`

	// Defaulted lists the platform options that the file lacks or leaves empty, so that
	// their defaults apply.
	Defaulted []ini.Option `no-flag:"true"`

	file *ini.File
}

// platformOptions are the settings that describe the platform. A node starts with the
// defaults of those that are missing.
var platformOptions = []ini.Option{
	{Section: "node", Key: "power"},
	{Section: "node", Key: "memory"},
	{Section: "node", Key: "link"},
	{Section: "node", Key: "descriptors"},
	{Section: "store", Key: "partition-writes"},
	{Section: "store", Key: "row-bytes"},
	{Section: "times", Key: "longest-lease"},
	{Section: "times", Key: "keep-final"},
	{Section: "times", Key: "grace"},
	{Section: "worker", Key: "stop"},
	{Section: "worker", Key: "restore"},
	{Section: "worker", Key: "remote-factor"},
}

// NodeSelf holds the identity, the listen addresses and the resources of the node.
type NodeSelf struct {
	Name   string  `long:"name" ini-name:"name" description:"name of this node"`
	Hall   string  `long:"hall" ini-name:"hall" description:"data hall in which this node's box stands"`
	Front  string  `long:"front" ini-name:"front" description:"address for callers"`
	Ready  string  `long:"ready" ini-name:"ready" description:"address for readiness checks"`
	Peer   string  `long:"peer" ini-name:"peer" description:"address for the other nodes"`
	Power  float64 `long:"power" ini-name:"power" default:"1" description:"what this machine has of a processor's core; strong machines own the shard first"`
	Memory int     `long:"memory" ini-name:"memory" default:"0" description:"memory of this machine in MiB, which the collector keeps below; 0: not known"`
	Link   float64 `long:"link" ini-name:"link" default:"0" description:"what this machine's link takes in Mbit/s; a node with a wide one passes configurations on to others of its data hall; 0: not known"`
	// Descriptors is the maximum number of open files and connections of this process.
	Descriptors int    `long:"descriptors" ini-name:"descriptors" default:"0" description:"files and connections that this process may have open; most are kept for workers; 0: not known"`
	Metrics     string `long:"metrics" ini-name:"metrics" description:"address for metrics; empty: none"`
}

// NodeStore holds the address and the limits of the row store.
type NodeStore struct {
	Address  string `long:"address" ini-name:"address" description:"address of the store"`
	RowBytes int    `long:"row-bytes" ini-name:"row-bytes" default:"65536" description:"largest value that the store takes in a row, in bytes"`
	// PartitionWrites is the write capacity of one partition in transactions per second.
	PartitionWrites float64 `long:"partition-writes" ini-name:"partition-writes" default:"200" description:"transactions a second that one partition takes; the owner sends half as many at the most"`
}

// NodeAdvice holds the address of the advice service.
type NodeAdvice struct {
	Address string `long:"address" ini-name:"address" description:"address of the advice service; empty: there is none"`
}

// NodeTimes holds leases, retention times and timeouts.
type NodeTimes struct {
	Lease        time.Duration `long:"lease" ini-name:"lease" default:"3s" description:"for which a worker runs on without word from the owner"`
	LongestLease time.Duration `long:"longest-lease" ini-name:"longest-lease" default:"6s" description:"longest lease that workers take; a longer lease is cut to it"`
	KeepFinal    time.Duration `long:"keep-final" ini-name:"keep-final" default:"120s" description:"for which the state of a final job can be asked for"`
	Evacuate     time.Duration `long:"evacuate" ini-name:"evacuate" default:"0s" description:"after the evacuation of a data hall within which starts there must have ended; 0: not bounded"`
	Grace        time.Duration `long:"grace" ini-name:"grace" default:"6s" description:"between the order to stop and the kill"`
}

// NodeWorker holds the properties of the platform's workers.
type NodeWorker struct {
	Stop         time.Duration `long:"stop" ini-name:"stop" default:"400ms" description:"that a worker takes to stop a task, at most"`
	Restore      time.Duration `long:"restore" ini-name:"restore" default:"250ms" description:"that a task takes to go on from its checkpoint"`
	RemoteFactor float64       `long:"remote-factor" ini-name:"remote-factor" default:"1.5" description:"how many times as long a task takes away from its data"`
}

// NodeLoad holds the policies for work under hard load. All are off by default.
type NodeLoad struct {
	GangRoom    string `long:"gang-room" ini-name:"gang-room" default:"all" choice:"all" choice:"needed" description:"room that lesser work leaves to waiting gangs: all that they could use, or as much as they need"`
	Order       string `long:"order" ini-name:"order" default:"deadline" choice:"deadline" choice:"size" description:"order of waiting work that can meet its deadline: by latest start, or under overload by latest start postponed in proportion to the size of the job"`
	AdviceLanes string `long:"advice-lanes" ini-name:"advice-lanes" default:"fixed" choice:"fixed" choice:"measured" description:"division of the calls for advice: a fixed share for cheap calls, or by measured load"`
}

// NodeLog holds the logging options.
type NodeLog struct {
	Level string `long:"level" ini-name:"level" default:"info" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"least level that is logged"`
}

// LoadNode reads the settings of a node from args and the file that args or the environment
// name.
func LoadNode(args []string) (*Node, error) {
	s := &Node{}
	parser := newNodeParser(s, flags.HelpFlag)
	file, err := readNodeConfigFile(args)
	if err != nil {
		return nil, err
	}
	if file != nil {
		file, s.Defaulted = file.WithoutEmpty(platformOptions)
		if err := file.Apply(parser); err != nil {
			return nil, err
		}
	}
	if err := parse(parser, args); err != nil {
		return nil, err
	}
	s.file = file
	return s, s.check()
}

func newNodeParser(s *Node, options flags.Options) *flags.Parser {
	parser := flags.NewNamedParser("chutereachd node", options)
	parser.ShortDescription = "run one node of a system on the users' platform"
	parser.LongDescription = "Runs one node. All nodes have the same role; one of them owns the shard and schedules. " +
		"SIGTERM hands over the shard, if owned, and stops the node. SIGHUP reloads the settings.\n\n" +
		"Examples:\n  chutereachd node --config node.ini\n  chutereachd node --check --config node.ini"
	if _, err := parser.AddGroup("daemon", "", s); err != nil {
		panic(err) // cannot fail: the struct tags are constant
	}
	return parser
}

// readNodeConfigFile reads the file that args or the environment name. It returns nil if
// there is none.
func readNodeConfigFile(args []string) (*ini.File, error) {
	var s Node
	if _, err := newNodeParser(&s, flags.IgnoreUnknown).ParseArgs(args); err != nil {
		return nil, nil // the full parse reports the error
	}
	if s.Config == "" {
		return nil, nil
	}
	return ini.Read(s.Config)
}

// optionError returns an error about an option, with the file and line if the settings
// were read from a file.
func (s *Node) optionError(section, key, reason string) error {
	if s.file == nil {
		return &Error{Key: section + "." + key, Reason: reason}
	}
	return s.file.ErrorAt(section, key, reason)
}

// minLease is the shortest lease that an owner can renew in time.
const minLease = time.Second

// check validates the values of settings.
func (s *Node) check() error {
	if s.Self.Name == "" {
		return s.optionError("node", "name", "must not be empty")
	}
	addresses := []struct {
		section, key, value string
		optional            bool
	}{
		{"node", "front", s.Self.Front, false},
		{"node", "ready", s.Self.Ready, false},
		{"node", "peer", s.Self.Peer, false},
		{"node", "metrics", s.Self.Metrics, true},
		{"store", "address", s.Store.Address, false},
		{"advice", "address", s.Advice.Address, true},
	}
	for _, a := range addresses {
		if a.optional && a.value == "" {
			continue
		}
		if reason := invalidAddressReason(a.value); reason != "" {
			return s.optionError(a.section, a.key, reason)
		}
	}
	switch {
	case s.Self.Power <= 0:
		return s.optionError("node", "power", fmt.Sprintf("must be greater than 0, got %v", s.Self.Power))
	case s.Self.Descriptors < 0:
		return s.optionError("node", "descriptors", fmt.Sprintf("must not be negative, got %v", s.Self.Descriptors))
	case s.Self.Link < 0:
		return s.optionError("node", "link", fmt.Sprintf("must not be negative, got %v", s.Self.Link))
	case s.Self.Memory < 0:
		return s.optionError("node", "memory", fmt.Sprintf("must not be negative, got %v", s.Self.Memory))
	case s.Store.RowBytes <= 0:
		return s.optionError("store", "row-bytes", fmt.Sprintf("must be greater than 0, got %d", s.Store.RowBytes))
	case s.Store.PartitionWrites <= 0:
		return s.optionError("store", "partition-writes", fmt.Sprintf("must be greater than 0, got %v", s.Store.PartitionWrites))
	case s.Times.Lease < minLease:
		return s.optionError("times", "lease", fmt.Sprintf("must be at least %v, got %v", minLease, s.Times.Lease))
	case s.Times.LongestLease < minLease:
		return s.optionError("times", "longest-lease", fmt.Sprintf("must be at least %v, got %v", minLease, s.Times.LongestLease))
	case s.Times.KeepFinal < 0:
		return s.optionError("times", "keep-final", fmt.Sprintf("must not be negative, got %v", s.Times.KeepFinal))
	case s.Times.Evacuate < 0:
		return s.optionError("times", "evacuate", fmt.Sprintf("must not be negative, got %v", s.Times.Evacuate))
	case s.Times.Grace <= 0:
		return s.optionError("times", "grace", fmt.Sprintf("must be greater than 0, got %v", s.Times.Grace))
	case s.Worker.Stop < 0:
		return s.optionError("worker", "stop", fmt.Sprintf("must not be negative, got %v", s.Worker.Stop))
	case s.Worker.Restore < 0:
		return s.optionError("worker", "restore", fmt.Sprintf("must not be negative, got %v", s.Worker.Restore))
	case s.Worker.RemoteFactor < 1:
		return s.optionError("worker", "remote-factor", fmt.Sprintf("must be at least 1, got %v", s.Worker.RemoteFactor))
	}
	if key, reason := s.Callers.check(); reason != "" {
		return s.optionError("callers", key, reason)
	}
	return nil
}

// EffectiveLease returns the lease limited to the longest one that workers accept.
func (s *Node) EffectiveLease() time.Duration { return min(s.Times.Lease, s.Times.LongestLease) }

// Level returns the minimum level of log messages.
func (s *Node) Level() zerolog.Level {
	level, err := zerolog.ParseLevel(s.Log.Level)
	if err != nil {
		return zerolog.InfoLevel // unreachable: the flag admits only known levels
	}
	return level
}

// Print returns the settings in effect as an INI file.
func (s *Node) Print() string {
	var b bytes.Buffer
	shown := *s
	eachOption(newNodeParser(&shown, flags.None), func(g *flags.Group, o *flags.Option) {
		printOption(&b, g, o)
	})
	return b.String()
}
