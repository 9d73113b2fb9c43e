//go:build review2

// Command stand2 plays the cases of the second review that are scripts: it starts
// entries as the deploy file says, with stand-ins for the platform's store, minions
// and consumers on loopback addresses, and writes a record. It exits with 1 if the
// rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// recorder writes the record of a case.
type recorder struct {
	mu    sync.Mutex
	out   *os.File
	start time.Time
}

func (r *recorder) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// log writes to the record and to standard output.
func (r *recorder) log(format string, args ...any) {
	r.note(format, args...)
	fmt.Printf("%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

var cleanups []func()

func cleanUp() {
	for i := len(cleanups) - 1; i >= 0; i-- {
		cleanups[i]()
	}
	cleanups = nil
}

func cannotRun(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "cannot run: "+format+"\n", args...)
	cleanUp()
	os.Exit(2)
}

func must(err error) {
	if err != nil {
		cannotRun("%v", err)
	}
}

// entry is one machine of the system.
type entry struct {
	name, zone, ip, storeAddress string
	front, ready                 string
	settings, logFile            string
	mu                           sync.Mutex
	process                      *exec.Cmd
}

// installation is a small one: seven entries, and minions of one service.
type installation struct {
	dir     string
	rec     *recorder
	store   *store
	entries []*entry
	minions []*minion
	adviser *adviser
	host    string
	service string
}

var placeholder = regexp.MustCompile(`\{\{([a-z_.0-9]+)(\|json)?\}\}`)
var section = regexp.MustCompile(`\{\{([#^])([a-z_.]+)\}\}(.*?)\{\{/[a-z_.]+\}\}`)

// render fills in the project's template of settings.
func render(template string, fields map[string]any) string {
	template = section.ReplaceAllStringFunc(template, func(text string) string {
		m := section.FindStringSubmatch(text)
		if _, ok := fields[m[2]]; ok == (m[1] == "#") {
			return m[3]
		}
		return ""
	})
	return placeholder.ReplaceAllStringFunc(template, func(text string) string {
		m := placeholder.FindStringSubmatch(text)
		value, ok := fields[m[1]]
		if !ok {
			return ""
		}
		if m[2] != "" {
			data, err := json.Marshal(value)
			must(err)
			return string(data)
		}
		return fmt.Sprint(value)
	})
}

func newInstallation(caseDir string, minions int, routes []map[string]any) *installation {
	out, err := os.Create(filepath.Join(caseDir, "record.txt"))
	must(err)
	rec := &recorder{out: out, start: time.Now()}
	dir, err := os.MkdirTemp("", "review2-")
	must(err)
	cleanups = append(cleanups, func() { _ = os.RemoveAll(dir) })
	in := &installation{dir: dir, rec: rec, store: newStore(rec), adviser: newAdviser(360*time.Millisecond, 5200*time.Microsecond, 1500*time.Millisecond, 0.25), host: "nony24.example", service: "fold-planner"}
	for _, route := range routes {
		route["host"], route["service"], route["kind"], route["timeout_ms"] = in.host, in.service, "non_idempotent", 3000
	}
	in.store.put(wireKey{"op", "", "config"}, map[string]any{
		"version": 7, "routes": routes,
		"services": []map[string]any{{"name": in.service, "health_path": "/healthz", "max_conns": 64, "protocol": "h1", "tls": false, "admission_check": false, "standby": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
	net := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), rand.IntN(250))
	template, err := os.ReadFile("deploy/settings.yaml")
	must(err)
	for i, zone := range []string{"yame", "yame", "kurume", "kurume", "okawa", "okawa", "yanagawa"} {
		e := &entry{name: fmt.Sprintf("edge-%s-%d", zone, 1+i%2), zone: zone, ip: fmt.Sprintf("%s.%d", net, 1+i)}
		if zone == "yanagawa" {
			e.name = "edge-yanagawa-1"
		}
		var stop func()
		e.storeAddress, stop = serveOn(net+".250:0", in.store.handler(e.name))
		cleanups = append(cleanups, stop)
		advice, stopAdvice := serveOn(net+".251:0", in.adviser.handler())
		cleanups = append(cleanups, stopAdvice)
		base := 20000 + rand.IntN(20000)
		e.front, e.ready = fmt.Sprintf("%s:%d", e.ip, base), fmt.Sprintf("%s:%d", e.ip, base+1)
		e.settings = filepath.Join(dir, e.name+".yaml")
		e.logFile = filepath.Join(dir, e.name+".log")
		must(os.WriteFile(e.settings, []byte(render(string(template), map[string]any{
			"node": e.name, "zone": zone, "ip": e.ip, "listen.front": e.front, "listen.ready": e.ready, "port_range.0": base + 2,
			"platform.addr": e.storeAddress, "platform.writes_per_s": writesPerS, "bounds.grace_s": 6, "bounds.hold_max_ms": 10000, "bounds.stop_ms": 900,
			"advice": advice, "limits.memory_mb": 284, "limits.cpu_share": 0.4,
		})), 0o600))
		in.entries = append(in.entries, e)
	}
	for n := range minions {
		m := newMinion(n, fmt.Sprintf("%s.%d", net, 100+n), in.service, 32000, 131072, in.store, in.adviser, rec)
		in.minions = append(in.minions, m)
	}
	cleanups = append(cleanups, func() {
		for _, e := range in.entries {
			e.kill()
		}
	})
	for _, e := range in.entries {
		in.launch(e)
	}
	in.await("all entries to be ready", 15*time.Second, func() bool {
		for _, e := range in.entries {
			if !in.isReady(e) {
				return false
			}
		}
		return in.store.lastWriter() != ""
	})
	rec.log("%d entries and %d minions are up; %s last wrote under a condition", len(in.entries), len(in.minions), in.store.lastWriter())
	return in
}

// launch starts an entry with the command of the deploy file.
func (in *installation) launch(e *entry) {
	log, err := os.OpenFile(e.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	cmd := exec.Command("target/kumquatstall", "serve")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "KUMQUATSTALL_SETTINGS=" + e.settings}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(cmd.Start())
	_ = log.Close()
	e.mu.Lock()
	e.process = cmd
	e.mu.Unlock()
	go func() { _ = cmd.Wait() }()
}

func (e *entry) kill() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.process != nil {
		_ = e.process.Process.Kill()
	}
}

func (in *installation) entryNamed(name string) *entry {
	for _, e := range in.entries {
		if e.name == name {
			return e
		}
	}
	return nil
}

func (in *installation) isReady(e *entry) bool {
	client := http.Client{Timeout: 500 * time.Millisecond}
	response, err := client.Get("http://" + e.ready + "/api/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (in *installation) await(what string, limit time.Duration, holds func() bool) {
	for until := time.Now().Add(limit); !holds(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(until) {
			in.keepLogs()
			cannotRun("waited %v for %s", limit, what)
		}
	}
}

// call sends a consumer's request to an entry; status 0 means no answer.
func (in *installation) call(e *entry, method, path string, body any, timeout time.Duration) (int, map[string]any) {
	var reader io.Reader
	if body != nil {
		data, err := cbor.Marshal(body)
		must(err)
		reader = bytes.NewReader(data)
	}
	request, err := http.NewRequest(method, "http://"+e.front+path, reader)
	must(err)
	request.Host = in.host
	request.Header.Set("Content-Type", "application/cbor")
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	client := http.Client{Timeout: timeout}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	answered := make(map[string]any)
	_ = cbor.Unmarshal(data, &answered)
	return response.StatusCode, answered
}

// balance sends a consumer's request to ready entries, another one after each answer
// that asks to come again, as consumers behind the balancer do.
func (in *installation) balance(method, path string, body any, tries int) (int, map[string]any) {
	status, answered := 0, map[string]any(nil)
	at := rand.IntN(len(in.entries))
	for range tries {
		e := in.entries[at%len(in.entries)]
		for range len(in.entries) {
			if in.isReady(e) {
				break
			}
			at++
			e = in.entries[at%len(in.entries)]
		}
		status, answered = in.call(e, method, path, body, 3*time.Second)
		if status != 0 && status != 429 && status < 500 {
			return status, answered
		}
		at++
		time.Sleep(200 * time.Millisecond)
	}
	return status, answered
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// runsOf returns the runs of each submission.
func (in *installation) runsOf() map[string][]run {
	by := make(map[string][]run)
	for _, m := range in.minions {
		for _, r := range m.runs() {
			by[r.submission()] = append(by[r.submission()], r)
		}
	}
	return by
}

// keepLogs copies the logs of the entries to the folder that KEEP names.
func (in *installation) keepLogs() {
	if os.Getenv("KEEP") == "" {
		return
	}
	for _, e := range in.entries {
		data, _ := os.ReadFile(e.logFile)
		_ = os.WriteFile(filepath.Join(os.Getenv("KEEP"), e.name+".log"), data, 0o600)
	}
}

func (in *installation) finish(broken []string) {
	for _, problem := range broken {
		in.rec.log("BROKEN: %s", problem)
	}
	in.keepLogs()
	if len(broken) == 0 {
		in.rec.log("the rule held")
	}
	cleanUp()
	if len(broken) > 0 {
		os.Exit(1)
	}
	os.Exit(0)
}

func main() {
	cases := map[string]func(dir string, trouble bool){"wide": wide, "cancelled": cancelled, "lasting": lasting, "maymiss": maymiss, "serving": serving, "manyends": manyends}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE FOLDER, from the repository's root; cases:", strings.Join(sorted(cases), " "))
		os.Exit(2)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		cannotRun("ended by a signal")
	}()
	time.AfterFunc(118*time.Second, func() { cannotRun("not done after 118 s") })
	cases[os.Args[1]](os.Args[2], os.Getenv("TROUBLE") != "0")
}

func sorted(cases map[string]func(string, bool)) []string {
	var names []string
	for name := range cases {
		names = append(names, name)
	}
	return names
}
