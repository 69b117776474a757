package cmds

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	urfave "github.com/urfave/cli/v3"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/cli"
	"bamboorail.example/bamboorail/pkg/operatorapi"
	"bamboorail.example/bamboorail/pkg/record"
)

const categoryQueries = "Queries"

func (a *app) queries() []*urfave.Command {
	list := []*urfave.Command{
		{Name: "records", Usage: "list records, or print one", ArgsUsage: "[kind[/name]]", Action: a.records},
		{Name: "routes", Usage: "list routes in the order in which they match", Action: a.routes},
		{Name: "targets", Usage: "list targets with owner and loaded adapters", Action: a.targets},
		{Name: "instances", Usage: "list instances with the revision in force", Action: a.instances},
		{Name: "trace", Usage: "print the hops of a request", ArgsUsage: "request-id", Action: a.trace},
	}
	for _, c := range list {
		c.Category = categoryQueries
	}
	return list
}

func (a *app) printJSON(v any) error {
	e := json.NewEncoder(a.stdout)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// table prints rows below a heading.
func (a *app) table(heading []string, rows [][]string) error {
	w := tabwriter.NewWriter(a.stdout, 0, 0, 2, ' ', 0)
	for _, row := range append([][]string{heading}, rows...) {
		if _, err := fmt.Fprintln(w, strings.Join(row, "\t")); err != nil {
			return err
		}
	}
	return w.Flush()
}

// print prints a list as a table or as JSON.
func printList[T any](a *app, c *urfave.Command, list []T, heading []string, row func(T) []string) error {
	if c.String("output") == "json" {
		return a.printJSON(list)
	}
	rows := make([][]string, 0, len(list))
	for _, v := range list {
		rows = append(rows, row(v))
	}
	return a.table(heading, rows)
}

// records lists records, or prints one whole.
func (a *app) records(ctx context.Context, c *urfave.Command) error {
	kind, name, _ := strings.Cut(c.Args().First(), "/")
	if c.Args().Len() > 1 || (kind != "" && !slices.Contains(record.Kinds(), record.Kind(kind))) {
		return cli.Usagef("records takes one argument: [kind[/name]] with a kind of %v", record.Kinds())
	}
	client, err := a.client(c)
	if err != nil {
		return err
	}
	list, err := client.Records(ctx, record.Kind(kind), name)
	if err != nil {
		return err
	}
	if c.String("output") == "json" || name != "" {
		return a.printJSON(list)
	}
	if err := printList(a, c, list.Records, []string{"KIND", "NAME", "REVISION"}, func(r operatorapi.Record) []string {
		return []string{string(r.Kind), r.Name, fmt.Sprint(r.Revision)}
	}); err != nil {
		return err
	}
	_, err = fmt.Fprintf(a.stdout, "revision %d\n", list.Revision)
	return err
}

// routes lists the routes by host, the longest prefix first. Faulty records
// are printed with their fault.
func (a *app) routes(ctx context.Context, c *urfave.Command) error {
	client, err := a.client(c)
	if err != nil {
		return err
	}
	list, err := client.Records(ctx, record.KindRoute, "")
	if err != nil {
		return err
	}
	if c.String("output") == "json" {
		return a.printJSON(list)
	}
	var specs []bamboorail.RouteSpec
	for _, stored := range list.Records {
		spec, err := routeSpec(stored.Record)
		if err != nil {
			if _, err := fmt.Fprintf(a.stdout, "%s is not in force: %v\n", stored.Name, err); err != nil {
				return err
			}
			continue
		}
		specs = append(specs, spec)
	}
	slices.SortStableFunc(specs, func(x, y bamboorail.RouteSpec) int {
		return cmp.Or(strings.Compare(x.Host, y.Host), len(y.Prefix)-len(x.Prefix))
	})
	heading := []string{"ROUTE", "HOST", "PREFIX", "SERVICES", "REPEAT", "TIMEOUT", "ATTEMPTS", "PRIORITY"}
	return printList(a, c, specs, heading, func(s bamboorail.RouteSpec) []string {
		shares := make([]string, 0, len(s.Shares))
		for _, v := range s.Shares {
			shares = append(shares, fmt.Sprintf("%s:%d", v.Service, v.Weight))
		}
		return []string{
			s.Name, s.Host, s.Prefix, strings.Join(shares, ","), string(s.Repeat), s.Timeout.String(),
			fmt.Sprint(s.MaxAttempts), fmt.Sprint(s.Priority),
		}
	})
}

func routeSpec(raw json.RawMessage) (bamboorail.RouteSpec, error) {
	r, err := record.Parse(raw)
	if err != nil {
		return bamboorail.RouteSpec{}, err
	}
	t, err := r.Route()
	return t.Spec(), err
}

// targets lists targets.
func (a *app) targets(ctx context.Context, c *urfave.Command) error {
	client, err := a.client(c)
	if err != nil {
		return err
	}
	list, err := client.Targets(ctx)
	if err != nil {
		return err
	}
	heading := []string{"TARGET", "ZONE", "ROLE", "STATE", "OWNER", "RUNNING", "QUEUED", "SLOTS", "ADAPTERS"}
	return printList(a, c, list, heading, func(t operatorapi.Target) []string {
		return []string{
			t.Name, t.Zone, t.Role, t.State, orDash(t.Owner), fmt.Sprintf("%d/%d", t.Running, t.MaxBatch),
			fmt.Sprint(t.Queued), fmt.Sprint(t.Slots), orDash(strings.Join(t.Adapters, ",")),
		}
	})
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// instances lists instances.
func (a *app) instances(ctx context.Context, c *urfave.Command) error {
	client, err := a.client(c)
	if err != nil {
		return err
	}
	list, err := client.Instances(ctx)
	if err != nil {
		return err
	}
	heading := []string{"INSTANCE", "ZONE", "STATE", "REVISION", "OWNED", "PEER", "SESSION"}
	return printList(a, c, list, heading, func(i operatorapi.Instance) []string {
		return []string{i.Name, i.Zone, i.State, fmt.Sprint(i.Revision), fmt.Sprint(i.Owned), i.Peer, i.Session}
	})
}

// trace prints the hops of a request as a tree in time order.
func (a *app) trace(ctx context.Context, c *urfave.Command) error {
	id, err := argument(c, "request-id")
	if err != nil {
		return err
	}
	client, err := a.client(c)
	if err != nil {
		return err
	}
	t, err := client.Trace(ctx, id)
	if err != nil {
		return err
	}
	if c.String("output") == "json" {
		return a.printJSON(t)
	}
	if _, err := fmt.Fprintf(a.stdout, "request %s, trace %s\n", t.RequestID, t.TraceID); err != nil {
		return err
	}
	depths := depthsOf(t.Spans)
	rows := make([][]string, 0, len(t.Spans))
	for _, s := range t.Spans {
		rows = append(rows, []string{
			strings.Repeat("  ", depths[s.SpanID]) + s.Name, s.Instance,
			s.Start.Sub(t.Spans[0].Start).Round(10 * time.Microsecond).String(),
			s.Duration.Round(10 * time.Microsecond).String(), fieldsOf(s),
		})
	}
	return a.table([]string{"HOP", "INSTANCE", "START", "DURATION", "FIELDS"}, rows)
}

func depthsOf(spans []operatorapi.Span) map[string]int {
	depths := map[string]int{}
	for range spans {
		for _, s := range spans {
			if d, ok := depths[s.ParentID]; ok {
				depths[s.SpanID] = d + 1
				continue
			}
			depths[s.SpanID] = 0
		}
	}
	return depths
}

func fieldsOf(s operatorapi.Span) string {
	var fields []string
	for k, v := range s.Fields {
		if k != "request-id" {
			fields = append(fields, k+"="+v)
		}
	}
	slices.Sort(fields)
	return strings.Join(fields, " ")
}
