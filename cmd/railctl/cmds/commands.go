// Package cmds implements the command line of railctl. Commands change the
// configuration, queries read state; each group has a file of its own.
package cmds

import (
	"context"
	"io"
	"net/http"
	"os"
	"strings"

	urfave "github.com/urfave/cli/v3"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/cli"
	"bamboorail.example/bamboorail/internal/httpport"
	"bamboorail.example/bamboorail/internal/settings"
	"bamboorail.example/bamboorail/internal/tlsconf"
	"bamboorail.example/bamboorail/pkg/operatorapi"
)

// app is the state that the commands share.
type app struct {
	stdin  io.Reader
	stdout io.Writer
}

// Main runs the program and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	return cli.Run(New(os.Stdin, stdout), args, stdout, stderr)
}

const description = `Every command and query goes to the operators' interface of one instance;
explain-placement asks the metrics listener of an instance.

Examples:
  railctl apply --file records.json
  railctl apply --file adapter.json --base-revision 41
  railctl delete adapter/summary-sk
  railctl drain stroj-1
  railctl retire summary-sk@v1
  railctl records adapter --output json
  railctl targets
  railctl trace sala-a.0190c1f2-...
  railctl explain 9c41d07be2a35f68 node-1.log node-2.log
  railctl explain-placement --instance 10.0.0.1:7381 --host api.example --path /chat --model base/summary-sk

Exit codes: 0 done, 1 failed, 2 wrong command line, record or settings,
3 conflict with another change, 4 not found, 5 instance or platform
unavailable, 6 not allowed.`

// New returns the command of railctl.
func New(stdin io.Reader, stdout io.Writer) *urfave.Command {
	a := &app{stdin: stdin, stdout: stdout}
	return &urfave.Command{
		Name: "railctl", Usage: "operate bamboorail", Version: bamboorail.Version, Description: description,
		EnableShellCompletion:           true,
		ConfigureShellCompletionCommand: func(c *urfave.Command) { c.Hidden = false },
		Flags: []urfave.Flag{
			&urfave.StringFlag{Name: "server", Usage: "`URL` of the operators' interface", Value: "http://127.0.0.1:7103", Sources: urfave.EnvVars("RAILCTL_SERVER")},
			&urfave.StringFlag{Name: "token-file", Usage: "read the operators' token from `FILE`", Sources: urfave.EnvVars("RAILCTL_TOKEN_FILE")},
			&urfave.StringFlag{Name: "tls-authorities", Usage: "verify the server with the certificates in `FILE`"},
			&urfave.StringFlag{Name: "output", Aliases: []string{"o"}, Usage: "print as `FORMAT`: table or json", Value: "table"},
		},
		Before: func(ctx context.Context, c *urfave.Command) (context.Context, error) {
			if o := c.String("output"); o != "table" && o != "json" {
				return ctx, cli.Usagef("output %q is not table or json", o)
			}
			return ctx, nil
		},
		Commands: append(append(a.commands(), a.queries()...), a.explainCommand(), a.placementCommand()),
	}
}

// client returns the client that the global flags describe.
func (a *app) client(c *urfave.Command) (*operatorapi.Client, error) {
	token := ""
	if path := c.String("token-file"); path != "" {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, cli.Usagef("token file: %v", err)
		}
		token = strings.TrimSpace(string(data))
	}
	config, err := tlsconf.Client(settings.TLS{Authorities: c.String("tls-authorities")})
	if err != nil {
		return nil, err
	}
	return operatorapi.NewClient(c.String("server"), token, httpport.NewTransport(&http.Transport{TLSClientConfig: config}, nil)), nil
}

// argument returns the only argument of a command.
func argument(c *urfave.Command, what string) (string, error) {
	if c.Args().Len() != 1 {
		return "", cli.Usagef("%s takes one argument: %s", c.Name, what)
	}
	return c.Args().First(), nil
}
