package gateway

import (
	"fmt"
	"maps"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/pkg/operatorapi"
)

const (
	// maxExplainedTokens is the largest number of tokens of a described call, far above what
	// an engine can hold.
	maxExplainedTokens = 1 << 30
	// maxExplainedParts is the largest number of parts of its prompt, as between instances.
	maxExplainedParts = 32
	// explainedCallID is the id of described calls. It is no id of a caller, so that no call
	// that waits is taken for a described one.
	explainedCallID = "\x00explain-placement"
)

// placementQuery is the description of a call.
type placementQuery struct {
	host, path, workspace string
	call                  *bamboorail.Call
}

// fieldError is a fault of a field of a query.
type fieldError struct{ field, fault string }

func (e *fieldError) Error() string { return "field " + e.field + ": " + e.fault }

func faultOf(field, format string, a ...any) error {
	return &fieldError{field, fmt.Sprintf(format, a...)}
}

// parsePlacementQuery parses the description of a call. The error names the field at fault.
func parsePlacementQuery(raw string) (placementQuery, error) {
	var q placementQuery
	values, err := url.ParseQuery(raw)
	if err != nil {
		return q, faultOf("query", "%v", err)
	}
	known := []string{
		operatorapi.PlacementHost, operatorapi.PlacementRoutePath, operatorapi.PlacementModel, operatorapi.PlacementTokens,
		operatorapi.PlacementPrompt, operatorapi.PlacementWorkspace,
	}
	for _, field := range slices.Sorted(maps.Keys(values)) {
		switch {
		case !slices.Contains(known, field):
			return q, faultOf(strconv.QuoteToASCII(field), "is not one of %s", strings.Join(known, ", "))
		case len(values[field]) > 1:
			return q, faultOf(field, "is given %d times", len(values[field]))
		}
	}
	q.host, q.path = values.Get(operatorapi.PlacementHost), values.Get(operatorapi.PlacementRoutePath)
	q.workspace, q.call = values.Get(operatorapi.PlacementWorkspace), &bamboorail.Call{ID: explainedCallID, Workspace: values.Get(operatorapi.PlacementWorkspace)}
	switch {
	case q.host == "":
		return q, faultOf(operatorapi.PlacementHost, "is missing")
	case !strings.HasPrefix(q.path, "/"):
		return q, faultOf(operatorapi.PlacementRoutePath, "%q does not begin with a slash", q.path)
	}
	if q.call.Key, err = parseModel(values.Get(operatorapi.PlacementModel)); err != nil {
		return q, err
	}
	if q.call.Size, err = parseTokens(values.Get(operatorapi.PlacementTokens)); err != nil {
		return q, err
	}
	q.call.Prompt, err = parsePrompt(values.Get(operatorapi.PlacementPrompt))
	return q, err
}

func parseModel(text string) (bamboorail.AdapterKey, error) {
	model, adapter, hasAdapter := strings.Cut(text, "/")
	if text != "" && (model == "" || hasAdapter && adapter == "") {
		return bamboorail.AdapterKey{}, faultOf(operatorapi.PlacementModel, "%q is not MODEL or MODEL/ADAPTER", text)
	}
	return bamboorail.AdapterKey{Model: model, Adapter: adapter}, nil
}

func parseTokens(text string) (bamboorail.CallSize, error) {
	if text == "" {
		return bamboorail.CallSize{}, nil
	}
	prompt, output, _ := strings.Cut(text, ",")
	p, pOK := tokenCount(prompt)
	o, oOK := tokenCount(output)
	if !pOK || !oOK {
		return bamboorail.CallSize{}, faultOf(operatorapi.PlacementTokens, "%q is not PROMPT,OUTPUT with two numbers from 0 to %d", text, maxExplainedTokens)
	}
	return bamboorail.CallSize{Prompt: p, Output: o}, nil
}

// parsePrompt parses parts of a prompt, whose names may contain colons.
func parsePrompt(text string) ([]bamboorail.PromptPart, error) {
	if text == "" {
		return nil, nil
	}
	list := strings.Split(text, ",")
	if len(list) > maxExplainedParts {
		return nil, faultOf(operatorapi.PlacementPrompt, "has %d parts, more than %d", len(list), maxExplainedParts)
	}
	parts := make([]bamboorail.PromptPart, 0, len(list))
	for _, s := range list {
		at := strings.LastIndex(s, ":")
		if at <= 0 {
			return nil, faultOf(operatorapi.PlacementPrompt, "part %q is not ID:TOKENS", s)
		}
		n, ok := tokenCount(s[at+1:])
		if !ok {
			return nil, faultOf(operatorapi.PlacementPrompt, "part %q has no number of tokens from 0 to %d", s, maxExplainedTokens)
		}
		parts = append(parts, bamboorail.PromptPart{ID: s[:at], Tokens: n})
	}
	return parts, nil
}

func tokenCount(text string) (int, bool) {
	n, err := strconv.ParseUint(text, 10, 32)
	return int(n), err == nil && n <= maxExplainedTokens
}
