package operator

import (
	"context"
	"fmt"
	"net/http"
	"slices"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/pkg/operatorapi"
	"bamboorail.example/bamboorail/pkg/record"
)

type recordQuery struct {
	kind record.Kind
	name string
}

func decodeRecordQuery(r *http.Request) (recordQuery, error) {
	q := recordQuery{kind: record.Kind(r.URL.Query().Get("kind")), name: r.URL.Query().Get("name")}
	if q.kind != "" && !slices.Contains(record.Kinds(), q.kind) {
		return q, fail("query-records", bamboorail.KindBadRequest, fmt.Errorf("kind %q is not one of %v", q.kind, record.Kinds()))
	}
	return q, nil
}

// records lists the records of the configuration revision that this instance
// currently applies.
func (s *Server) records(_ context.Context, q recordQuery) (operatorapi.RecordList, error) {
	view := s.config.Source.View()
	list := operatorapi.RecordList{Revision: view.Revision(), Records: []operatorapi.Record{}}
	for _, kind := range record.Kinds() {
		if q.kind != "" && q.kind != kind {
			continue
		}
		for _, r := range view.Records(kind) {
			if q.name == "" || q.name == r.Key().Name {
				list.Records = append(list.Records, operatorapi.Record{
					Kind: kind, Name: r.Key().Name, Revision: r.Revision(), Record: r.Raw(),
				})
			}
		}
	}
	if q.name != "" && len(list.Records) == 0 {
		return list, fail("query-records", bamboorail.KindNotFound, fmt.Errorf("record %s/%s does not exist", q.kind, q.name))
	}
	return list, nil
}

func (s *Server) targets(ctx context.Context, _ empty) ([]operatorapi.Target, error) {
	return s.config.Source.Targets(ctx), nil
}

func (s *Server) instances(ctx context.Context, _ empty) ([]operatorapi.Instance, error) {
	return s.config.Source.Instances(ctx), nil
}

func decodeTraceQuery(r *http.Request) (string, error) { return r.PathValue("id"), nil }

// trace collects the spans of a request from all instances.
func (s *Server) trace(ctx context.Context, requestID string) (operatorapi.Trace, error) {
	t := s.config.Source.Trace(ctx, requestID)
	if len(t.Spans) == 0 {
		return t, fail("query-trace", bamboorail.KindNotFound, fmt.Errorf("no instance recorded request %q", requestID))
	}
	return t, nil
}
