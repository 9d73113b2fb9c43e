//go:build review

// The stand-in for the scripts of the review: a small deployment with the
// project's entries as processes, and one case that disturbs it.
package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/fxamacker/cbor/v2"
)

func decode(data []byte, value any) error { return cbor.Unmarshal(data, value) }

// setup says how a case's deployment looks.
type setup struct {
	entries  int
	minions  int
	kinds    []string
	capacity capacity
	advice   bool
	allows   func(id string) bool
}

var cases = map[string]struct {
	setup setup
	play  func(w *world, trouble bool) error
}{
	"lasting": {setup{entries: 7, minions: 48, kinds: []string{"a", "b"}, capacity: capacity{32000, 131072, 0}}, playLasting},
	"kind":    {setup{entries: 7, minions: 48, kinds: []string{"a", "b"}, capacity: capacity{32000, 131072, 0}}, playKind},
	"eager":   {setup{entries: 7, minions: 48, kinds: []string{"a", "b"}, capacity: capacity{32000, 131072, 0}, advice: true}, playEager},
	"rack":    {setup{entries: 7, minions: 48, kinds: []string{"a", "b"}, capacity: capacity{32000, 131072, 0}}, playRack},
	"rest":    {setup{entries: 7, minions: 48, kinds: []string{"a", "b"}, capacity: capacity{32000, 131072, 0}}, playRest},
	"drift":   {setup{entries: 7, minions: 48, kinds: []string{"a", "b"}, capacity: capacity{32000, 131072, 0}}, playDrift},
	"born":    {setup{entries: 7, minions: 48, kinds: []string{"a", "b"}, capacity: capacity{32000, 131072, 0}}, playBorn},
	"timed":   {setup{entries: 7, minions: 48, kinds: []string{"a", "b"}, capacity: capacity{32000, 131072, 0}}, playTimed},
	"apart":   {setup{entries: 7, minions: 48, kinds: []string{"a", "b"}, capacity: capacity{32000, 131072, 0}, advice: true, allows: mayRun}, playApart},
	"fills":   {setup{entries: 7, minions: 48, kinds: []string{"a", "b"}, capacity: capacity{32000, 131072, 0}}, playFills},
	"gang":    {setup{entries: 7, minions: 48, kinds: []string{"a", "b"}, capacity: capacity{32000, 131072, 0}}, playGang},
}

// main plays a case: stand CASE FOLDER. It exits with 1 if the rule was broken,
// 0 if it held, and 2 if the case could not run.
func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "stand CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, folder string) int {
	chosen, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		return 2
	}
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer file.Close()
	out := bufio.NewWriterSize(file, 1<<20)
	defer out.Flush()
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() {
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(dir)
		} else {
			fmt.Println("logs:", dir)
		}
	}()
	w := &world{dir: dir, began: time.Now(), store: newStore(), record: out, submissions: make(map[string]*submission)}
	defer w.stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		w.stop()
		os.Exit(2)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	w.note("case %s, trouble %v", name, trouble)
	if err := w.begin(chosen.setup); err != nil {
		w.note("could not start: %v", err)
		fmt.Println("could not start:", err)
		return 2
	}
	if err := chosen.play(w, trouble); err != nil {
		w.note("could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.broken) > 0 {
		fmt.Printf("broken %d times; first: %s\n", len(w.broken), w.broken[0])
		return 1
	}
	w.noteLocked("the rule held")
	fmt.Println("held")
	return 0
}

// begin starts the platform, the minions and the entries, and waits until the
// entries are ready and one of them holds the minions.
func (w *world) begin(s setup) error {
	listen := func(handler http.Handler) (string, error) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		go func() { _ = (&http.Server{Handler: handler}).Serve(listener) }()
		return listener.Addr().String(), nil
	}
	storeAddress, err := listen(w.store)
	if err != nil {
		return err
	}
	route := map[string]any{
		"name": "queue", "host": "review.example", "path_prefix": "/queue/", "service": "service",
		"priority": 1, "max_attempts": 3, "stretch": 2.0, "slo_ms": 1000,
	}
	if s.advice {
		route["advice"] = map[string]any{"decide_ms": 10.0, "interval_ms": 0.15, "valid_ms": 1500}
	}
	w.store.put(rowKey{"op", "", "config"}, map[string]any{
		"version": 3, "routes": []any{route}, "services": []any{map[string]any{"name": "service", "admission_check": false}},
		"limits": map[string]any{"max_body_bytes": 262144},
	})
	zones := []string{"east", "west", "north", "south"}
	for i := range s.minions {
		m := &minion{world: w, id: fmt.Sprintf("m%02d", i), zone: zones[i%4], rack: fmt.Sprintf("r%d", i/6), kind: s.kinds[i%len(s.kinds)], capacity: s.capacity}
		w.minions = append(w.minions, m)
		if err := m.start(); err != nil {
			return err
		}
	}
	for i := range s.entries {
		// The service handles one call at a time for each calling machine, so
		// each entry reaches it at an address of its own.
		adviser, err := listen(&advice{allows: s.allows})
		if err != nil {
			return err
		}
		e, err := w.newEntry(fmt.Sprintf("edge-%d", i), zones[i%4], storeAddress, adviser)
		if err != nil {
			return err
		}
		w.entries = append(w.entries, e)
		if err := e.start(); err != nil {
			return err
		}
	}
	for until := time.Now().Add(15 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, e := range w.entries {
			if e.isReady() {
				ready++
			}
		}
		if ready == len(w.entries) && w.store.lastConditionalWriter() != "" {
			break
		}
		if time.Now().After(until) {
			return fmt.Errorf("%d of %d entries are ready", ready, len(w.entries))
		}
	}
	time.Sleep(2 * time.Second)
	return nil
}

// stop ends every process that the case started.
func (w *world) stop() {
	for _, e := range w.entries {
		if e.exited != nil {
			_ = e.command.Process.Kill()
			<-e.exited
		}
		e.log.Close()
	}
}
