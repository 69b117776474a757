// Command stand2 plays the cases of the second review: it starts the project's instances with
// the command of the deploy file and is the platform, the engines and the clients around them.
package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"regexp"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// contact is the bound contact_ms of the small sites.
const contact = 3 * time.Second

// deployFile is what is used of deploy/system.toml.
type deployFile struct{ run, template string }

// stand is one play.
type stand struct {
	root, dir string
	deploy    deployFile
	zones     []string
	net       string // the first two bytes of the addresses after 127
	port      int
	store     *store
	machines  []*machine
	engines   []*engine
	crashTime time.Duration
	ownEnds   atomic.Int32
	trouble   bool

	begun time.Time
	out   *os.File

	mu       sync.Mutex
	arrivals []arrival
	answers  []*answer
	failures []string
	ids      int
	// resumes are the attempts that took a stream up.
	resumes map[string]bool
}

var errBroken = errors.New("the case could not run")

func (s *stand) record(format string, a ...any) {
	line := fmt.Sprintf("%8.3f %s\n", time.Since(s.begun).Seconds(), fmt.Sprintf(format, a...))
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = s.out.WriteString(line)
}

func (s *stand) fail(format string, a ...any) {
	s.record("problem: "+format, a...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures = append(s.failures, fmt.Sprintf(format, a...))
}

// arrived records a request at an engine.
func (s *stand) arrived(a arrival) {
	s.mu.Lock()
	s.arrivals = append(s.arrivals, a)
	s.mu.Unlock()
	s.record("engine %s v=%s id=%s path=%s parts=%v arrived=%.3f ran=%t status=%d crashed=%t resumes=%t", a.engine, a.software, a.id, a.path, a.parts,
		a.at.Sub(s.begun).Seconds(), a.ran, a.status, a.crashed, a.resumes)
}

var (
	runLine      = regexp.MustCompile(`(?m)^run\s*=\s*"([^"]*)"`)
	templateLine = regexp.MustCompile(`(?m)^template\s*=\s*"([^"]*)"`)
)

func readDeploy(root string) (deployFile, error) {
	data, err := os.ReadFile(filepath.Join(root, "deploy", "system.toml"))
	if err != nil {
		return deployFile{}, err
	}
	run, template := runLine.FindSubmatch(data), templateLine.FindSubmatch(data)
	if run == nil || template == nil {
		return deployFile{}, errors.New("deploy/system.toml has no command or template")
	}
	return deployFile{string(run[1]), string(template[1])}, nil
}

// ip returns an address of this play.
func (s *stand) ip(n int) string { return fmt.Sprintf("127.%s.%d", s.net, n) }

// findAddresses draws addresses and ports that are free.
func (s *stand) findAddresses() error {
	for range 50 {
		s.net, s.port = fmt.Sprintf("%d.%d", 16+rand.IntN(200), rand.IntN(250)), 21000+rand.IntN(9000)
		free := true
		for n := 5; n < 190 && free; n++ {
			for p := range 5 {
				l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", s.ip(n), s.port+p))
				if err != nil {
					free = false
					break
				}
				_ = l.Close()
			}
		}
		if free {
			return nil
		}
	}
	return errors.New("no free addresses")
}

// addMachine adds a machine in a zone that reads the store at an address.
func (s *stand) addMachine(zone, storeAddress string) *machine {
	n := len(s.machines)
	m := &machine{stand: s, name: fmt.Sprintf("frontend-%s-%d", zone, n+1), zone: zone, ip: s.ip(10 + n), storeAddress: storeAddress}
	m.front, m.ready = fmt.Sprintf("%s:%d", m.ip, s.port), fmt.Sprintf("%s:%d", m.ip, s.port+1)
	s.machines = append(s.machines, m)
	return m
}

func (s *stand) storeAddress() string { return fmt.Sprintf("%s:%d", s.ip(5), s.port) }

// addEngine adds an engine.
func (s *stand) addEngine(c engineConfig) *engine {
	c.address = fmt.Sprintf("%s:%d", s.ip(30+len(s.engines)), s.port)
	e := newEngine(s, c)
	s.engines = append(s.engines, e)
	return e
}

// begin starts the store, the engines and the machines, and waits until they take requests.
func (s *stand) begin(ctx context.Context) error {
	if _, err := serve(s.storeAddress(), s.store); err != nil {
		return err
	}
	for _, e := range s.engines {
		if err := e.start(true); err != nil {
			return err
		}
	}
	for _, m := range s.machines {
		if err := m.start(); err != nil {
			return err
		}
		go m.probe(ctx)
	}
	pause(ctx, 10*time.Second) // traffic starts then
	for _, m := range s.machines {
		if !m.isInRotation() {
			return fmt.Errorf("machine %s is not ready after 10 s", m.name)
		}
	}
	return nil
}

func (s *stand) end() {
	for _, m := range s.machines {
		m.kill()
	}
	time.Sleep(300 * time.Millisecond)
}

// scenario plays a case and reports whether the rule was broken.
type scenario func(ctx context.Context, s *stand) (broken bool, err error)

var scenarios = map[string]scenario{}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE ROOT FOLDER")
		return 2
	}
	play := scenarios[os.Args[1]]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		return 2
	}
	code, err := perform(play, os.Args[2], os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	return code
}

func perform(play scenario, root, folder string) (int, error) {
	dir, err := os.MkdirTemp("", "stand2-")
	if err != nil {
		return 2, err
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println(dir)
	}
	out, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return 2, err
	}
	defer out.Close()
	s := &stand{
		root: root, dir: dir, out: out, begun: time.Now(), store: newStore(), resumes: map[string]bool{}, zones: []string{"sala-a", "sala-b", "sala-c"},
		crashTime: 2500 * time.Millisecond, trouble: os.Getenv("TROUBLE") != "0",
	}
	if s.deploy, err = readDeploy(root); err != nil {
		return 2, err
	}
	if err := s.findAddresses(); err != nil {
		return 2, err
	}
	interrupted, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	ctx, cancel := context.WithTimeout(interrupted, 115*time.Second)
	defer cancel()
	defer s.end()
	broken, err := play(ctx, s)
	if err == nil && ctx.Err() != nil {
		err = ctx.Err()
	}
	if err == nil && len(s.failures) > 0 {
		err = errors.New(s.failures[0])
	}
	if err != nil {
		s.record("could not run: %v", err)
		return 2, fmt.Errorf("%w: %w", errBroken, err)
	}
	s.record("processes that ended by themselves: %d", s.ownEnds.Load())
	if broken {
		s.record("verdict: the rule was broken")
		fmt.Println("broken")
		return 1, nil
	}
	s.record("verdict: the rule held")
	fmt.Println("held")
	return 0, nil
}
