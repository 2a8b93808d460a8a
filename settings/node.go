package settings

import (
	"bytes"
	"fmt"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/rs/zerolog"

	"chutereach/ini"
)

// Node is everything that the daemon can be told when it runs as a node of a
// system on the users' platform.
type Node struct {
	Config string `short:"c" long:"config" env:"CHUTEREACH_SETTINGS" no-ini:"true" description:"INI file with settings" value-name:"FILE"`
	Check  bool   `long:"check" no-ini:"true" description:"check the settings, print those in effect, and exit"`

	Self   NodeSelf   `group:"node" namespace:"node"`
	Store  NodeStore  `group:"store" namespace:"store"`
	Advice NodeAdvice `group:"advice" namespace:"advice"`
	Times  NodeTimes  `group:"times" namespace:"times"`
	Worker NodeWorker `group:"worker" namespace:"worker"`
	Log    NodeLog    `group:"log" namespace:"log"`

	// Defaulted are the platform's figures that the file lacks; their defaults are
	// in force.
	Defaulted []ini.Option `no-flag:"true"`

	file *ini.File
}

// platformFigures are the settings that a platform tells of itself. A platform that
// leaves one out keeps no node from starting.
var platformFigures = []ini.Option{
	{Section: "node", Key: "power"},
	{Section: "node", Key: "memory"},
	{Section: "node", Key: "link"},
	{Section: "node", Key: "descriptors"},
	{Section: "store", Key: "partition-writes"},
	{Section: "times", Key: "longest-lease"},
	{Section: "times", Key: "keep-final"},
	{Section: "times", Key: "grace"},
	{Section: "worker", Key: "stop"},
	{Section: "worker", Key: "restore"},
	{Section: "worker", Key: "remote-factor"},
}

// NodeSelf is who the node is and where it listens.
type NodeSelf struct {
	Name   string  `long:"name" ini-name:"name" description:"name of this node"`
	Hall   string  `long:"hall" ini-name:"hall" description:"data hall in which this node's box stands"`
	Front  string  `long:"front" ini-name:"front" description:"address for callers"`
	Ready  string  `long:"ready" ini-name:"ready" description:"address for readiness checks"`
	Peer   string  `long:"peer" ini-name:"peer" description:"address for the other nodes"`
	Power  float64 `long:"power" ini-name:"power" default:"1" description:"what this machine has of a processor's core; strong machines own the shard first"`
	Memory int     `long:"memory" ini-name:"memory" default:"0" description:"memory of this machine in MiB, which the collector keeps below; 0: not known"`
	Link   float64 `long:"link" ini-name:"link" default:"0" description:"what this machine's link takes in Mbit/s; a node with a wide one passes configurations on to others of its data hall; 0: not known"`
	// Descriptors is how many files and connections this process may have open.
	Descriptors int    `long:"descriptors" ini-name:"descriptors" default:"0" description:"files and connections that this process may have open; most are kept for workers; 0: not known"`
	Metrics     string `long:"metrics" ini-name:"metrics" description:"address for metrics; empty: none"`
}

// NodeStore is where the store of rows is.
type NodeStore struct {
	Address string `long:"address" ini-name:"address" description:"address of the store"`
	// PartitionWrites is what one partition takes, in transactions a second.
	PartitionWrites float64 `long:"partition-writes" ini-name:"partition-writes" default:"200" description:"transactions a second that one partition takes; the owner sends half as many at the most"`
}

// NodeAdvice is where the advice service is.
type NodeAdvice struct {
	Address string `long:"address" ini-name:"address" description:"address of the advice service; empty: there is none"`
}

// NodeTimes are the times by which nodes go.
type NodeTimes struct {
	Lease        time.Duration `long:"lease" ini-name:"lease" default:"3s" description:"for which a worker runs on without word from the owner"`
	LongestLease time.Duration `long:"longest-lease" ini-name:"longest-lease" default:"6s" description:"longest lease that workers take; a longer lease is cut to it"`
	KeepFinal    time.Duration `long:"keep-final" ini-name:"keep-final" default:"120s" description:"for which the state of a final job can be asked for"`
	Evacuate     time.Duration `long:"evacuate" ini-name:"evacuate" default:"0s" description:"after the evacuation of a data hall within which starts there must have ended; 0: not bounded"`
	Grace        time.Duration `long:"grace" ini-name:"grace" default:"6s" description:"between the order to stop and the kill"`
}

// NodeWorker is what the platform tells of its workers.
type NodeWorker struct {
	Stop         time.Duration `long:"stop" ini-name:"stop" default:"400ms" description:"that a worker takes to stop a task, at most"`
	Restore      time.Duration `long:"restore" ini-name:"restore" default:"250ms" description:"that a task takes to go on from its checkpoint"`
	RemoteFactor float64       `long:"remote-factor" ini-name:"remote-factor" default:"1.5" description:"how many times as long a task takes away from its data"`
}

// NodeLog is how the node logs.
type NodeLog struct {
	Level string `long:"level" ini-name:"level" default:"info" choice:"debug" choice:"info" choice:"warn" choice:"error" description:"least level that is logged"`
}

// LoadNode reads a node's settings from args and the file that they or the
// environment name.
func LoadNode(args []string) (*Node, error) {
	s := &Node{}
	parser := newNodeParser(s, flags.HelpFlag)
	file, err := nodeFile(args)
	if err != nil {
		return nil, err
	}
	if file != nil {
		file, s.Defaulted = file.WithoutEmpty(platformFigures)
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
	parser.ShortDescription = "one node of a system on the users' platform"
	parser.LongDescription = "Runs one node. Every node is alike; one of them owns the shard and schedules. " +
		"SIGTERM hands over and stops, SIGHUP reads the settings again.\n\n" +
		"Examples:\n  chutereachd node --config node.ini\n  chutereachd node --check --config node.ini"
	if _, err := parser.AddGroup("daemon", "", s); err != nil {
		panic(err) // the struct's tags are constant
	}
	return parser
}

func nodeFile(args []string) (*ini.File, error) {
	var s Node
	if _, err := newNodeParser(&s, flags.IgnoreUnknown).ParseArgs(args); err != nil {
		return nil, nil // the full parse tells better what is wrong
	}
	if s.Config == "" {
		return nil, nil
	}
	return ini.Read(s.Config)
}

func (s *Node) fault(section, key, reason string) error {
	if s.file == nil {
		return &Error{Key: section + "." + key, Reason: reason}
	}
	return s.file.At(section, key, reason)
}

// minLease is the shortest lease with which an owner can keep up.
const minLease = time.Second

// check applies the rules between settings.
func (s *Node) check() error {
	if s.Self.Name == "" {
		return s.fault("node", "name", "must not be empty")
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
		if reason := addressError(a.value); reason != "" {
			return s.fault(a.section, a.key, reason)
		}
	}
	switch {
	case s.Self.Power <= 0:
		return s.fault("node", "power", "must be more than 0")
	case s.Self.Descriptors < 0:
		return s.fault("node", "descriptors", "must not be negative")
	case s.Self.Link < 0:
		return s.fault("node", "link", "must not be negative")
	case s.Self.Memory < 0:
		return s.fault("node", "memory", "must not be negative")
	case s.Store.PartitionWrites <= 0:
		return s.fault("store", "partition-writes", "must be more than 0")
	case s.Times.Lease < minLease:
		return s.fault("times", "lease", fmt.Sprintf("must be at least %v", minLease))
	case s.Times.LongestLease < minLease:
		return s.fault("times", "longest-lease", fmt.Sprintf("must be at least %v", minLease))
	case s.Times.KeepFinal < 0:
		return s.fault("times", "keep-final", "must not be negative")
	case s.Times.Evacuate < 0:
		return s.fault("times", "evacuate", "must not be negative")
	case s.Times.Grace <= 0:
		return s.fault("times", "grace", "must be more than 0")
	case s.Worker.Stop < 0:
		return s.fault("worker", "stop", "must not be negative")
	case s.Worker.Restore < 0:
		return s.fault("worker", "restore", "must not be negative")
	case s.Worker.RemoteFactor < 1:
		return s.fault("worker", "remote-factor", "must be at least 1")
	}
	return nil
}

// LeaseInForce returns the lease, cut to what workers take.
func (s *Node) LeaseInForce() time.Duration { return min(s.Times.Lease, s.Times.LongestLease) }

// Level returns the least level that is logged.
func (s *Node) Level() zerolog.Level {
	level, err := zerolog.ParseLevel(s.Log.Level)
	if err != nil {
		return zerolog.InfoLevel // check admits only known levels
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
