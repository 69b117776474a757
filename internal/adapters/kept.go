package adapters

import (
	"time"

	"bamboorail.example/bamboorail"
)

// keptPrompts estimates which beginnings of prompts an engine still keeps.
type keptPrompts struct{}

func newKeptPrompts() *keptPrompts { return &keptPrompts{} }

// record records that a prompt was sent to the engine, which keeps at most capacity tokens.
func (k *keptPrompts) record(bamboorail.AdapterKey, []bamboorail.PromptPart, int, time.Time) {}

// tokens returns the tokens at the beginning of a prompt that the engine probably keeps.
func (k *keptPrompts) tokens(bamboorail.AdapterKey, []bamboorail.PromptPart, time.Time) int { return 0 }
