package operator

import (
	"context"
	"net/http"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/internal/platform"
	"bamboorail.example/bamboorail/pkg/operatorapi"
	"bamboorail.example/bamboorail/pkg/record"
)

// commit commits a configuration change and triggers a refresh of this
// instance.
func (s *Server) commit(ctx context.Context, c operatorapi.Change) (operatorapi.ChangeResult, error) {
	change := platform.Change{ID: c.ID, Base: c.Base, Apply: c.Apply}
	for _, k := range c.Delete {
		change.Delete = append(change.Delete, record.Key{Kind: k.Kind, Name: k.Name})
	}
	revision, err := s.config.Writer.Commit(ctx, change)
	if err != nil {
		return operatorapi.ChangeResult{}, err
	}
	s.config.Log.Info("change committed", "change", c.ID, "revision", revision)
	s.config.Source.ConfigurationChanged()
	return operatorapi.ChangeResult{Revision: revision}, nil
}

type loadCommand struct {
	model  bamboorail.ModelRef
	target string
}

func decodeLoad(r *http.Request) (loadCommand, error) {
	m, err := bamboorail.ParseModelRef(r.PathValue("model"))
	if err != nil {
		return loadCommand{}, fail("load-model", bamboorail.KindBadRequest, err)
	}
	body, err := decodeBody[operatorapi.LoadRequest](r)
	return loadCommand{model: m, target: body.Target}, err
}

// load asks the owner of a target to load a model.
func (s *Server) load(ctx context.Context, c loadCommand) (empty, error) {
	return empty{}, s.config.Source.Load(ctx, c.model, c.target)
}

// setLogLevel changes the log level of this instance.
func (s *Server) setLogLevel(_ context.Context, l operatorapi.LogLevel) (empty, error) {
	if err := s.config.Source.SetLogLevel(l.Level); err != nil {
		return empty{}, fail("set-log-level", bamboorail.KindBadRequest, err)
	}
	return empty{}, nil
}
