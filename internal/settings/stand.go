package settings

import (
	"strings"
	"time"

	"bamboorail.example/bamboorail"
	"bamboorail.example/bamboorail/pkg/record"
)

// StandIn is the configuration of a stand-in, which simulates the platform, the
// weight store, an engine or an application.
type StandIn struct {
	Address string
	// Name identifies the stand-in in its responses.
	Name string
	Log  Log

	// For the platform.
	WritesPerSecond int
	InstanceLag     time.Duration
	Instances       []bamboorail.Instance

	// For the weight store.
	LoadTime  time.Duration
	FailEvery int

	// For engines.
	Dialect       record.Dialect
	BaseModel     string
	Slots         int
	MaxBatch      int
	Step          time.Duration
	Prefill       time.Duration
	ColdStart     time.Duration
	StateLag      time.Duration
	WeightStore   string
	ChecksFencing bool

	// For applications.
	RunTime time.Duration
}

// ReadStandIn reads the settings of a stand-in of kind platform, weight-store,
// engine or application. The kind is also the name of the section.
func ReadStandIn(path, kind string) (StandIn, error) {
	f, err := Open(path)
	if err != nil {
		return StandIn{}, err
	}
	s := StandIn{Address: f.Address(kind, "address"), Name: f.String(kind, "name", kind), Log: f.log()}
	switch kind {
	case "platform":
		f.platform(&s)
	case "weight-store":
		s.LoadTime = f.Duration(kind, "load-time", 300*time.Millisecond)
		s.FailEvery = f.Int(kind, "fail-every", 0, 0)
	case "engine":
		f.engine(&s)
	case "application":
		s.RunTime = f.Duration(kind, "run-time", 0)
	}
	return s, f.Check()
}

func (f *File) platform(s *StandIn) {
	s.WritesPerSecond = f.Int("platform", "writes-per-second", 300, 1)
	s.InstanceLag = f.Duration("platform", "instance-lag", 2*time.Second)
	for _, name := range f.Sections("instance ") {
		s.Instances = append(s.Instances, bamboorail.Instance{
			ID: strings.TrimPrefix(name, "instance "), Zone: f.Name(name, "availability-zone"),
			State: bamboorail.InstanceState(f.OneOf(name, "state", string(bamboorail.InstanceLive), "live", "leaving", "terminated")),
		})
	}
}

func (f *File) engine(s *StandIn) {
	const section = "engine"
	s.Dialect = record.Dialect(f.OneOf(section, "dialect", string(record.DialectOpenAI), string(record.DialectOpenAI), string(record.DialectStatus)))
	s.BaseModel = f.Name(section, "base-model")
	s.Slots = f.Int(section, "slots", 4, 1)
	s.MaxBatch = f.Int(section, "max-batch", 8, 1)
	s.Step = f.Duration(section, "step", 20*time.Millisecond)
	s.Prefill = f.Duration(section, "prefill", 40*time.Millisecond)
	s.ColdStart = f.Duration(section, "cold-start", 0)
	s.StateLag = f.Duration(section, "state-lag", 0)
	s.WeightStore = f.URL(section, "weight-store")
	s.ChecksFencing = f.Bool(section, "checks-fencing", s.Dialect == record.DialectOpenAI)
	if s.Step <= 0 {
		f.Errorf(section, "step", "must be positive")
	}
}
