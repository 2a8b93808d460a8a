package tool

import (
	"context"
	"fmt"
	"net/http"
	"os/user"
	"strconv"
	"strings"
	"time"

	"chutereach/api"
	"chutereach/client"
	"chutereach/config"
	"chutereach/declare"
	"chutereach/publish"
)

type planCommand struct {
	Args struct {
		Dir string `positional-arg-name:"DIR" required:"yes"`
	} `positional-args:"yes"`
}

// proposal reads a directory and the revision in force, and returns the change
// that would make the one into the other. Drains are kept: they are made by
// 'chutereach drain', not declared.
func proposal(ctx context.Context, c *client.Client, dir string) (publish.Proposal, []config.Difference, error) {
	set, err := declare.ReadDir(dir)
	if err != nil {
		return publish.Proposal{}, nil, err
	}
	current, err := client.Get[config.Revision](ctx, c, "/v1/config", nil)
	if err != nil {
		return publish.Proposal{}, nil, err
	}
	set.Drains = current.Set.Drains
	return publish.Proposal{Base: current.Number, Set: set}, config.Diff(current.Set, set), nil
}

// Execute implements flags.Commander.
func (p *planCommand) Execute([]string) error {
	_, diff, err := proposal(context.Background(), newClient(), p.Args.Dir)
	if err != nil {
		return err
	}
	return printDiff(diff)
}

func printDiff(diff []config.Difference) error {
	if options.JSON {
		if diff == nil {
			diff = []config.Difference{}
		}
		return printJSON(diff)
	}
	if len(diff) == 0 {
		fmt.Fprintln(out, "nothing would change")
		return nil
	}
	for _, d := range diff {
		line := fmt.Sprintf("%-7s %s %s", d.Action, d.Kind, d.Name)
		if len(d.Fields) > 0 {
			line += ": " + strings.Join(d.Fields, ", ")
		}
		fmt.Fprintln(out, line)
	}
	return nil
}

type applyCommand struct {
	Message string `short:"m" long:"message" description:"why, and from which commit"`
	Args    struct {
		Dir string `positional-arg-name:"DIR" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (a *applyCommand) Execute([]string) error {
	ctx, c := context.Background(), newClient()
	p, diff, err := proposal(ctx, c, a.Args.Dir)
	if err != nil {
		return err
	}
	if len(diff) == 0 {
		return printDiff(diff)
	}
	p.Message = a.Message
	return propose(ctx, c, p, diff)
}

func propose(ctx context.Context, c *client.Client, p publish.Proposal, diff []config.Difference) error {
	p.Author = author()
	r, err := client.Do[config.Revision](ctx, c, client.Call{Method: http.MethodPost, Path: "/v1/config"}, p)
	if err != nil {
		return err
	}
	if options.JSON {
		r.Set = config.Set{}
		return printJSON(r)
	}
	if err := printDiff(diff); err != nil {
		return err
	}
	fmt.Fprintf(out, "revision %d is accepted\n", r.Number)
	return nil
}

func author() string {
	u, err := user.Current()
	if err != nil {
		return "unnamed operator"
	}
	return u.Username
}

type historyCommand struct{}

// Execute implements flags.Commander.
func (historyCommand) Execute([]string) error {
	l, err := client.Get[api.Listing[config.Revision]](context.Background(), newClient(), "/v1/history", nil)
	if err != nil {
		return err
	}
	if options.JSON {
		return printJSON(l.Items)
	}
	t := newTable("REVISION", "ACCEPTED", "BY", "MESSAGE")
	for _, r := range l.Items {
		t.row(strconv.FormatUint(r.Number, 10), r.At.Format(time.DateTime), r.Author, r.Message)
	}
	return t.flush()
}

type showCommand struct {
	Args struct {
		Revision uint64 `positional-arg-name:"REVISION" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (s *showCommand) Execute([]string) error {
	r, err := revision(context.Background(), newClient(), s.Args.Revision)
	if err != nil {
		return err
	}
	return printJSON(r)
}

func revision(ctx context.Context, c *client.Client, n uint64) (config.Revision, error) {
	return client.Get[config.Revision](ctx, c, "/v1/config/"+strconv.FormatUint(n, 10), nil)
}

type rollbackCommand struct {
	Args struct {
		Revision uint64 `positional-arg-name:"REVISION" required:"yes"`
	} `positional-args:"yes"`
}

// Execute publishes an earlier revision's declarations as a new revision, since
// no box ever goes back to a lower one.
func (r *rollbackCommand) Execute([]string) error {
	ctx, c := context.Background(), newClient()
	old, err := revision(ctx, c, r.Args.Revision)
	if err != nil {
		return err
	}
	current, err := client.Get[config.Revision](ctx, c, "/v1/config", nil)
	if err != nil {
		return err
	}
	old.Set.Drains = current.Set.Drains
	p := publish.Proposal{Base: current.Number, Set: old.Set, Message: fmt.Sprintf("back to revision %d", old.Number)}
	return propose(ctx, c, p, config.Diff(current.Set, old.Set))
}

type drainCommand struct {
	Undo bool          `long:"undo" description:"put it back into use"`
	For  time.Duration `long:"within" default:"10m" description:"by when its work should have left"`
	Args struct {
		Target string `positional-arg-name:"worker|rack|hall|box" required:"yes"`
		Name   string `positional-arg-name:"NAME" required:"yes"`
	} `positional-args:"yes"`
}

// drainTries bounds how often a drain is proposed again after another
// operator's change, which it does not concern.
const drainTries = 5

// Execute implements flags.Commander.
func (d *drainCommand) Execute([]string) error {
	ctx, c := context.Background(), newClient()
	for n := 1; ; n++ {
		err := d.try(ctx, c)
		if exitCode(err) != ExitConflict || n == drainTries {
			return err
		}
	}
}

func (d *drainCommand) try(ctx context.Context, c *client.Client) error {
	current, err := client.Get[config.Revision](ctx, c, "/v1/config", nil)
	if err != nil {
		return err
	}
	drain := config.Drain{Target: config.Target(d.Args.Target), Name: d.Args.Name, Until: time.Now().Add(d.For).UTC()}
	set, verb := current.Set.WithDrain(drain), "drain "
	if d.Undo {
		if _, there := current.Set.Drains[drain.Key()]; !there {
			return &UsageError{fmt.Sprintf("%s is not drained", drain.Key())}
		}
		set, verb = current.Set.WithoutDrain(drain.Key()), "undo drain "
	}
	p := publish.Proposal{Base: current.Number, Set: set, Message: verb + drain.Key()}
	return propose(ctx, c, p, config.Diff(current.Set, set))
}
