package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// view is what one machine sees of the others: a map from real addresses to those of proxies of
// the same length. All that the machine exchanges with the store and with other machines passes
// proxies that replace one by the other, so that its links to the engines can be cut for it
// alone.
type view struct {
	mu      sync.Mutex
	toOwn   map[string]string
	toReal  map[string]string
	engines map[string]*link // by real address
}

// link is a proxy of the links from one machine to one engine.
type link struct {
	own, real string

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
}

func newView() *view {
	return &view{toOwn: map[string]string{}, toReal: map[string]string{}, engines: map[string]*link{}}
}

// listenLike listens on a loopback address whose text is as long as that of another one.
func listenLike(address string) net.Listener {
	for {
		host, _, _ := net.SplitHostPort(address)
		l, err := net.Listen("tcp", host+":0")
		check(err)
		if len(l.Addr().String()) == len(address) {
			return l
		}
		l.Close()
	}
}

func (v *view) add(real, own string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.toOwn[real], v.toReal[own] = own, real
}

// addEngine makes the machine reach an engine through a link that can be cut.
func (v *view) addEngine(real string) {
	l := listenLike(real)
	k := &link{own: l.Addr().String(), real: real, listener: l, conns: map[net.Conn]bool{}}
	v.engines[real] = k
	v.add(real, k.own)
	go k.serve(l)
}

// addPeer makes the machine reach another one through a proxy that replaces addresses.
func (v *view) addPeer(real string) {
	l := listenLike(real)
	v.add(real, l.Addr().String())
	go v.proxy(l, real)
}

// proxy forwards connections to an address, and replaces addresses both ways.
func (v *view) proxy(l net.Listener, to string) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			d, err := net.Dial("tcp", to)
			if err != nil {
				_ = c.(*net.TCPConn).SetLinger(0)
				c.Close()
				return
			}
			go v.copy(d, c, func() map[string]string { return v.toReal })
			v.copy(c, d, func() map[string]string { return v.toOwn })
		}()
	}
}

// copy copies a stream and replaces addresses. It keeps back the end of what it has read while
// that may be the beginning of an address.
func (v *view) copy(to, from net.Conn, replacements func() map[string]string) {
	defer to.Close()
	defer from.Close()
	buffer, pending := make([]byte, 64<<10), ""
	for {
		n, err := from.Read(buffer)
		pending += string(buffer[:n])
		v.mu.Lock()
		for a, b := range replacements() {
			pending = strings.ReplaceAll(pending, a, b)
		}
		keep := 0
		for a := range replacements() {
			for k := min(len(a)-1, len(pending)); k > keep; k-- {
				if strings.HasSuffix(pending, a[:k]) {
					keep = k
				}
			}
		}
		v.mu.Unlock()
		if err != nil {
			keep = 0
		}
		if _, failed := io.WriteString(to, pending[:len(pending)-keep]); failed != nil || err != nil {
			return
		}
		pending = pending[len(pending)-keep:]
	}
}

func (k *link) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			d, err := net.Dial("tcp", k.real)
			if err != nil {
				_ = c.(*net.TCPConn).SetLinger(0)
				c.Close()
				return
			}
			k.mu.Lock()
			k.conns[c], k.conns[d] = true, true
			k.mu.Unlock()
			go func() { _, _ = io.Copy(d, c); d.Close(); c.Close() }()
			_, _ = io.Copy(c, d)
			c.Close()
			d.Close()
			k.mu.Lock()
			delete(k.conns, c)
			delete(k.conns, d)
			k.mu.Unlock()
		}()
	}
}

// cut refuses new connections and resets the others.
func (k *link) cut() {
	k.listener.Close()
	k.mu.Lock()
	defer k.mu.Unlock()
	for c := range k.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

func (k *link) heal() {
	l, err := net.Listen("tcp", k.own)
	check(err)
	k.listener = l
	go k.serve(l)
}

// partition is the case of a machine that is partitioned from all engines, whose calls other
// machines run.
func partition() int {
	y := newSystem("z1", "z2", "z3")
	y.configure()
	// Calm engines fail 0.14 of their requests, and 0.45 in trouble.
	var grey atomic.Bool
	app := engineKind{service: "app", slots: 6, queue: 18, work: func() (time.Duration, int) {
		status, share := 200, 0.14
		if grey.Load() {
			share = 0.45
		}
		if rand.Float64() < share {
			status = 500
		}
		return time.Duration(20+rand.ExpFloat64()*40) * time.Millisecond, status
	}}
	v := newView()
	n := 0
	for _, z := range []string{"z1", "z1", "z2", "z2", "z3"} {
		n++
		e := y.startEngine(app, fmt.Sprintf("i-app-%s-%d", z, n), z, "v1", true)
		v.addEngine(e.address())
	}
	for _, z := range []string{"z3", "z1", "z2", "z1", "z2"} {
		x := y.addNode(z, y.store.addr)
		v.addPeer(fmt.Sprintf("%s:%d", x.ip, ports.peer))
		x.start()
	}
	l := listenLike(y.store.addr)
	go v.proxy(l, y.store.addr)
	time.Sleep(time.Second)
	p := y.addNode("z3", l.Addr().String())
	p.start()
	y.awaitReady(15 * time.Second)
	go y.watchReadiness()
	go func() {
		for {
			time.Sleep(time.Duration(rand.ExpFloat64() * float64(1300*time.Millisecond)))
			list := y.engineList()
			e := list[rand.IntN(len(list))]
			if e.setSilent(time.Second) {
				y.note("engine %s is silent for 1 s", e.id)
			}
		}
	}()
	time.Sleep(14 * time.Second)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var done atomic.Int64
	send := func(x *node, rate float64) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration(rand.ExpFloat64() / rate * float64(time.Second))):
				}
				wg.Add(1)
				go func() {
					defer wg.Done()
					id := newID()
					y.note("client sends %s to %s", id, x.name)
					a := y.send(x, request{id: id, method: "GET", host: host, path: "/va/" + id, deadline: 1500 * time.Millisecond})
					y.note("client has %s: status %d, %v", id, a.status, a.err)
					if a.status == 200 {
						done.Add(1)
					}
				}()
			}
		}()
	}
	send(p, 26)
	for _, x := range y.nodes[:5] {
		send(x, 3)
	}
	time.Sleep(3 * time.Second)
	var cuts []time.Time
	for time.Since(y.began) < 98*time.Second {
		if trouble() {
			y.note("%s is partitioned from all engines", p.name)
			cuts = append(cuts, time.Now())
			if os.Getenv("ONLY") != "grey" {
				for _, k := range v.engines {
					k.cut()
				}
			}
			grey.Store(true)
		}
		time.Sleep(4 * time.Second)
		grey.Store(false)
		time.Sleep(2500 * time.Millisecond)
		if trouble() {
			if os.Getenv("ONLY") != "grey" {
				for _, k := range v.engines {
					k.heal()
				}
			}
			y.note("the partition heals")
		}
		time.Sleep(2500 * time.Millisecond)
	}
	close(stop)
	wg.Wait()
	y.mu.Lock()
	runs := y.runs
	y.mu.Unlock()
	last := map[string]time.Time{}
	for _, r := range runs {
		last[r.id] = r.at
	}
	reached := map[string]map[string]bool{}
	for _, r := range runs {
		if reached[r.id] == nil {
			reached[r.id] = map[string]bool{}
		}
		// Engines that were cut off meanwhile don't count.
		cutOff := false
		for _, c := range cuts {
			cutOff = cutOff || r.at.Before(c) && last[r.id].After(c)
		}
		if !cutOff {
			reached[r.id][r.engine] = true
		}
	}
	broken := 0
	for id, list := range reached {
		if len(list) > 2 {
			broken++
			y.note("%s ran on %d engines, the route permits 2", id, len(list))
		}
	}
	fmt.Printf("%d requests ran, %d answered 200, %d ran on more than 2 engines; 3 may\n", len(reached), done.Load(), broken)
	y.finish()
	if broken > 3 {
		return 1
	}
	return 0
}
