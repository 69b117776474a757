package cmds

import (
	"context"
	"fmt"
	"math"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	urfave "github.com/urfave/cli/v3"

	"bamboorail.example/bamboorail/internal/cli"
	"bamboorail.example/bamboorail/internal/httpport"
	"bamboorail.example/bamboorail/pkg/operatorapi"
)

// placementCommand queries one instance for the target that it would select for a call.
func (a *app) placementCommand() *urfave.Command {
	return &urfave.Command{
		Name: "explain-placement", Category: categoryQueries, Usage: "show where a described call would be placed, without sending it",
		Flags: []urfave.Flag{
			&urfave.StringFlag{Name: "instance", Usage: "`IP:PORT` of the metrics listener of an instance"},
			&urfave.StringFlag{Name: operatorapi.PlacementHost, Usage: "`HOST` of the call"},
			&urfave.StringFlag{Name: operatorapi.PlacementRoutePath, Usage: "`PATH` of the call"},
			&urfave.StringFlag{Name: operatorapi.PlacementModel, Usage: "`MODEL[/ADAPTER]` that the call names"},
			&urfave.StringFlag{Name: operatorapi.PlacementTokens, Usage: "`PROMPT,OUTPUT` tokens of the call"},
			&urfave.StringFlag{Name: operatorapi.PlacementPrompt, Usage: "parts of the prompt, `ID:TOKENS,...`"},
			&urfave.StringFlag{Name: operatorapi.PlacementWorkspace, Usage: "`NAME` of the workspace of the caller"},
			&urfave.BoolFlag{Name: "json", Usage: "print JSON"},
		},
		Action: a.placement,
	}
}

func (a *app) placement(ctx context.Context, c *urfave.Command) error {
	if c.Args().Len() > 0 {
		return cli.Usagef("%s takes no arguments", c.Name)
	}
	for _, flag := range []string{"instance", operatorapi.PlacementHost, operatorapi.PlacementRoutePath} {
		if c.String(flag) == "" {
			return cli.Usagef("%s needs --%s", c.Name, flag)
		}
	}
	instance := c.String("instance")
	if _, _, err := net.SplitHostPort(instance); err != nil {
		return cli.Usagef("instance %q is not IP:PORT", instance)
	}
	query := url.Values{}
	for _, field := range []string{
		operatorapi.PlacementHost, operatorapi.PlacementRoutePath, operatorapi.PlacementModel, operatorapi.PlacementTokens,
		operatorapi.PlacementPrompt, operatorapi.PlacementWorkspace,
	} {
		if v := c.String(field); v != "" {
			query.Set(field, v)
		}
	}
	client := operatorapi.NewClient("http://"+instance, "", httpport.NewTransport(&http.Transport{}, nil))
	p, err := client.ExplainPlacement(ctx, query)
	if err != nil {
		return err
	}
	if c.Bool("json") || c.String("output") == "json" {
		return a.printJSON(p)
	}
	return a.printPlacement(p)
}

// printPlacement prints what is known of the call as lines, and the targets as a table.
func (a *app) printPlacement(p operatorapi.Placement) error {
	for _, line := range placementLines(p) {
		if _, err := fmt.Fprintln(a.stdout, line); err != nil {
			return err
		}
	}
	if p.Engines != nil && len(p.Engines.Candidates) > 0 {
		return a.printCandidates(p.Engines)
	}
	if len(p.Targets) == 0 {
		return nil
	}
	rows := make([][]string, 0, len(p.Targets))
	for _, t := range p.Targets {
		rows = append(rows, []string{t.Target, t.Zone, number(t.Cost), fmt.Sprint(t.InFlight), fmt.Sprint(t.Slots), yesOrDash(t.Shared)})
	}
	return a.table([]string{"TARGET", "ZONE", "COST-MS", "IN-FLIGHT", "SLOTS", "SHARED"}, rows)
}

func placementLines(p operatorapi.Placement) []string {
	lines := []string{
		fmt.Sprintf("instance %s in zone %s, configuration %d, confirmed %s ms ago", p.Instance, p.Zone, p.ConfigurationVersion, number(p.ConfigurationAge)),
		fmt.Sprintf("route %s, service %s, priority %d", orDash(p.Route), orDash(p.Service), p.Priority),
	}
	if len(p.OtherServices) > 0 {
		lines = append(lines, "other services of the route: "+strings.Join(p.OtherServices, ", "))
	}
	if w := p.Workspace; w != nil {
		quota := "no quota"
		if w.Rate > 0 {
			quota = fmt.Sprintf("quota %s %s/s and %s burst, credit here %s, cost %s", number(w.Rate), w.Unit, number(w.Burst), number(w.Credit), number(w.Cost))
		}
		lines = append(lines, "workspace "+w.Name+", "+quota)
	}
	if p.Holder != nil {
		lines = append(lines, holderLines(p)...)
	}
	if p.Engines != nil && len(p.Engines.Candidates) == 0 {
		lines = append(lines, fmt.Sprintf("no engine now, the call would wait for one: %t", p.Engines.MayWait))
	}
	for _, r := range p.Refusals {
		line := fmt.Sprintf("refused by %s: %s (%s)", r.By, r.Reason, r.Kind)
		if r.RetryAfter > 0 {
			line += ", retry after " + number(r.RetryAfter) + " ms"
		}
		lines = append(lines, line)
	}
	if len(p.Refusals) == 0 {
		lines = append(lines, "nothing known here would refuse the call")
	}
	return lines
}

// knownEngines says what is listed if another instance decides.
const knownEngines = "engines that report the adapter are listed as this instance knows them"

// holderLines states who decides about a call for a model.
func holderLines(p operatorapi.Placement) []string {
	var lines []string
	switch h := p.Holder; {
	case h.Self:
		lines = append(lines, "this instance is the holder of zone "+h.Zone)
	case h.Instance == "":
		lines = append(lines, "zone "+h.Zone+" has no known holder; "+knownEngines)
	default:
		lines = append(lines, fmt.Sprintf("holder of zone %s is %s (peer address %s), ask it for costs; %s", h.Zone, h.Instance, h.Address, knownEngines))
	}
	if p.Holder.HomeZone != "" {
		lines = append(lines, "home zone of the adapter: "+p.Holder.HomeZone)
	}
	next := make([]string, 0, len(p.NextHolders))
	for _, h := range p.NextHolders {
		next = append(next, fmt.Sprintf("%s (%s, %s)", h.Zone, orDash(h.Instance), orDash(h.Address)))
	}
	if len(next) > 0 {
		lines = append(lines, "zones that are asked next: "+strings.Join(next, ", "))
	}
	return lines
}

// printCandidates prints engines, the chosen one first, with the parts of their costs.
func (a *app) printCandidates(e *operatorapi.PlacementEngines) error {
	if _, err := fmt.Fprintf(a.stdout, "%d engines could run the call; the first is chosen\n", e.Eligible); err != nil {
		return err
	}
	heading := []string{"ENGINE", "COST-MS", "QUEUE", "LOAD", "RANK", "BACKLOG", "READING", "FIRST-EVENT", "RISK", "KEPT", "CALLS", "NOTES"}
	rows := make([][]string, 0, len(e.Candidates))
	for _, c := range e.Candidates {
		var notes []string
		for _, n := range []struct {
			set  bool
			text string
		}{{c.Loads, "loads"}, {c.Evicts, "evicts"}, {c.Queued, "queued"}, {c.OldVersion, "old-version"}} {
			if n.set {
				notes = append(notes, n.text)
			}
		}
		rows = append(rows, []string{
			c.Engine, number(c.Cost), number(c.Queue), number(c.Load), number(c.Rank), number(c.Backlog), number(c.Reading), number(c.FirstEvent),
			number(c.Risk), fmt.Sprint(c.KeptTokens), fmt.Sprintf("%d/%d", c.Calls, c.Slots), orDash(strings.Join(notes, ",")),
		})
	}
	return a.table(heading, rows)
}

// number prints a number with at most two decimals.
func number(v float64) string { return strconv.FormatFloat(math.Round(v*100)/100, 'f', -1, 64) }

func yesOrDash(v bool) string {
	if v {
		return "yes"
	}
	return "-"
}
