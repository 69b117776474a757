package cmds

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/tidwall/sjson"
	urfave "github.com/urfave/cli/v3"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/cli"
	"bamboorail.example/bamboorail/internal/task"
	"bamboorail.example/bamboorail/pkg/operatorapi"
	"bamboorail.example/bamboorail/pkg/record"
)

const categoryCommands = "Commands"

func (a *app) commands() []*urfave.Command {
	base := &urfave.Uint64Flag{Name: "base-revision", Usage: "refuse records that changed after `REVISION`; the one in force if not given"}
	change := &urfave.StringFlag{Name: "change-id", Usage: "commit under `ID`, to repeat a change whose result is unknown"}
	file := &urfave.StringFlag{Name: "file", Aliases: []string{"f"}, Usage: "read records from `FILE`, - for standard input", Required: true}
	list := []*urfave.Command{
		{
			Name: "apply", Usage: "create or replace records", ArgsUsage: " ",
			Flags:  []urfave.Flag{file, base, change},
			Action: a.apply,
		},
		{Name: "delete", Usage: "delete a record", ArgsUsage: "kind/name", Flags: []urfave.Flag{base, change}, Action: a.remove},
		{Name: "drain", Usage: "send no new work to a target", ArgsUsage: "target", Flags: []urfave.Flag{change}, Action: a.setTargetState(record.TargetDraining)},
		{
			Name: "resume", Usage: "send work to a drained target again", ArgsUsage: "target",
			Flags: []urfave.Flag{change}, Action: a.setTargetState(record.TargetActive),
		},
		{
			Name: "load", Usage: "load a model on a target ahead of requests", ArgsUsage: "adapter@version",
			Flags:  []urfave.Flag{&urfave.StringFlag{Name: "target", Usage: "load on `TARGET`", Required: true}},
			Action: a.load,
		},
		{Name: "retire", Usage: "stop serving a version of an adapter", ArgsUsage: "adapter@version", Flags: []urfave.Flag{change}, Action: a.retire},
		{Name: "log-level", Usage: "change the log level of the instance", ArgsUsage: "level", Action: a.logLevel},
	}
	for _, c := range list {
		c.Category = categoryCommands
	}
	return list
}

// apply commits the records of a file as one change.
func (a *app) apply(ctx context.Context, c *urfave.Command) error {
	records, err := a.readRecords(ctx, c.String("file"))
	if err != nil {
		return err
	}
	return a.commit(ctx, c, operatorapi.Change{Apply: records})
}

// readRecords reads a JSON record, an array of them, or several in a row.
func (a *app) readRecords(ctx context.Context, path string) ([]json.RawMessage, error) {
	data, err := a.readFile(ctx, path)
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	if err != nil {
		return nil, cli.Usagef("%v", err)
	}
	var records []json.RawMessage
	d := json.NewDecoder(bytes.NewReader(data))
	for {
		var value json.RawMessage
		err := d.Decode(&value)
		if errors.Is(err, io.EOF) {
			return records, checkRecords(path, records)
		}
		if err != nil {
			return nil, cli.Usagef("%s: %v", path, err)
		}
		var list []json.RawMessage
		if json.Unmarshal(value, &list) == nil {
			records = append(records, list...)
			continue
		}
		records = append(records, value)
	}
}

// readFile returns the content of a file, or of the standard input. A read of
// that cannot be broken off: it is left alone when ctx ends.
func (a *app) readFile(ctx context.Context, path string) ([]byte, error) {
	if path != "-" {
		return os.ReadFile(path)
	}
	var data []byte
	reading := task.Start(ctx, "standard input", func(context.Context) error {
		var err error
		data, err = io.ReadAll(a.stdin)
		return err
	})
	if err := reading.JoinWithin(ctx); err != nil {
		return nil, err
	}
	return data, nil
}

// checkRecords reports every faulty record of a file, so that nothing of it
// is committed.
func checkRecords(path string, records []json.RawMessage) error {
	var faults []string
	for n, raw := range records {
		r, err := record.Parse(raw)
		if err == nil {
			err = r.Validate()
		}
		if err != nil {
			faults = append(faults, fmt.Sprintf("%s: record %d: %v", path, n+1, err))
		}
	}
	if len(records) == 0 {
		return cli.Usagef("%s holds no record", path)
	}
	if len(faults) > 0 {
		return cli.Usagef("%s", strings.Join(faults, "\n"))
	}
	return nil
}

// remove deletes a record.
func (a *app) remove(ctx context.Context, c *urfave.Command) error {
	text, err := argument(c, "kind/name")
	if err != nil {
		return err
	}
	kind, name, ok := strings.Cut(text, "/")
	if !ok {
		return cli.Usagef("%q is not of the form kind/name", text)
	}
	return a.commit(ctx, c, operatorapi.Change{Delete: []operatorapi.Key{{Kind: record.Kind(kind), Name: name}}})
}

// setTargetState changes the declared state of a target.
func (a *app) setTargetState(state record.TargetState) urfave.ActionFunc {
	return func(ctx context.Context, c *urfave.Command) error {
		name, err := argument(c, "target")
		if err != nil {
			return err
		}
		return a.edit(ctx, c, record.KindTarget, name, func(raw []byte) ([]byte, error) {
			return sjson.SetBytes(raw, "state", string(state))
		})
	}
}

// retire marks a version of an adapter as retired.
func (a *app) retire(ctx context.Context, c *urfave.Command) error {
	text, err := argument(c, "adapter@version")
	if err != nil {
		return err
	}
	m, err := bamboorail.ParseModelRef(text)
	if err != nil {
		return cli.Usagef("%v", err)
	}
	return a.edit(ctx, c, record.KindAdapter, m.Adapter(), func(raw []byte) ([]byte, error) {
		r, err := record.Parse(raw)
		if err != nil {
			return nil, err
		}
		adapter, err := r.Adapter()
		if err != nil {
			return nil, err
		}
		for n, v := range adapter.Versions() {
			if v.Name == m.Version() {
				return sjson.SetBytes(raw, fmt.Sprintf("versions.%d.state", n), string(record.VersionRetired))
			}
		}
		return nil, cli.Usagef("adapter %q has no version %q", m.Adapter(), m.Version())
	})
}

// edit commits a record as changed by f, against the revision at which it was
// read.
func (a *app) edit(ctx context.Context, c *urfave.Command, kind record.Kind, name string, f func([]byte) ([]byte, error)) error {
	client, err := a.client(c)
	if err != nil {
		return err
	}
	list, err := client.Records(ctx, kind, name)
	if err != nil {
		return err
	}
	changed, err := f(list.Records[0].Record)
	if err != nil {
		return err
	}
	return a.commitWith(ctx, c, client, operatorapi.Change{Base: list.Revision, Apply: []json.RawMessage{changed}})
}

// commit commits a change against the given revision, or against the one in
// force at the instance.
func (a *app) commit(ctx context.Context, c *urfave.Command, change operatorapi.Change) error {
	client, err := a.client(c)
	if err != nil {
		return err
	}
	change.Base = c.Uint64("base-revision")
	if !c.IsSet("base-revision") {
		list, err := client.Records(ctx, record.KindTarget, "")
		if err != nil {
			return err
		}
		change.Base = list.Revision
	}
	return a.commitWith(ctx, c, client, change)
}

func (a *app) commitWith(ctx context.Context, c *urfave.Command, client *operatorapi.Client, change operatorapi.Change) error {
	change.ID = c.String("change-id")
	if change.ID == "" {
		change.ID = operatorapi.NewChangeID()
	}
	result, err := client.Commit(ctx, change)
	if err != nil {
		return fmt.Errorf("change %s: %w", change.ID, err)
	}
	if c.String("output") == "json" {
		return a.printJSON(result)
	}
	_, err = fmt.Fprintf(a.stdout, "committed as revision %d\n", result.Revision)
	return err
}

// load asks for a model to be loaded.
func (a *app) load(ctx context.Context, c *urfave.Command) error {
	text, err := argument(c, "adapter@version")
	if err != nil {
		return err
	}
	m, err := bamboorail.ParseModelRef(text)
	if err != nil {
		return cli.Usagef("%v", err)
	}
	client, err := a.client(c)
	if err != nil {
		return err
	}
	if err := client.Load(ctx, m, c.String("target")); err != nil {
		return err
	}
	_, err = fmt.Fprintf(a.stdout, "load of %s on %s asked for\n", m, c.String("target"))
	return err
}

// logLevel changes the log level of the instance.
func (a *app) logLevel(ctx context.Context, c *urfave.Command) error {
	level, err := argument(c, "level")
	if err != nil {
		return err
	}
	client, err := a.client(c)
	if err != nil {
		return err
	}
	return client.SetLogLevel(ctx, level)
}
