package cmds_test

import (
	"context"
	"errors"
	"io"
	"testing"

	railctl "bamboorail.example/bamboorail/cmd/railctl/cmds"
)

// TestApplyEndsWhileItReadsStandardInput: a signal ends a command that waits
// for records that nobody writes.
func TestApplyEndsWhileItReadsStandardInput(t *testing.T) {
	stdin, writer := io.Pipe()
	defer writer.Close()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	err := railctl.New(stdin, io.Discard).Run(ctx, []string{"railctl", "apply", "--file", "-"})
	if !errors.Is(err, context.Canceled) {
		t.Errorf("error %v", err)
	}
}
