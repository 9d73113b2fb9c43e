//go:build review

package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// A world is a small deployment: entries as separate processes, with the command of the
// deploy file, and stand-ins for the store, the minions, the advice service and consumers.
type world struct {
	service string
	store   *store
	minions []*minion
	entries []*entry
	dir     string
	stopAll chan struct{}

	mu     sync.Mutex
	record *os.File
	begun  time.Time
	subs   map[string]*submission
	broken []string
	runs   int
	// byTask is what ran of each task.
	byTask map[string][]*taskRun
}

// step is a step of a submission, as PROTOCOL.md names its fields.
type step struct {
	Count        int   `cbor:"count"`
	CPU          int64 `cbor:"cpu,omitempty"`
	Mem          int64 `cbor:"mem_mb,omitempty"`
	EstimateMS   int64 `cbor:"estimate_ms,omitempty"`
	After        []int `cbor:"after,omitempty"`
	Gang         bool  `cbor:"gang,omitempty"`
	AntiAffinity int   `cbor:"anti_affinity,omitempty"`
	LongRunning  bool  `cbor:"long_running,omitempty"`
	takes        time.Duration
	fails        bool // each run fails after takes
}

type submission struct {
	id      string
	route   string
	Spec    string `cbor:"spec"`
	Steps   []step `cbor:"steps"`
	Repeats int64  `cbor:"repeats,omitempty"`
	FirstMS int64  `cbor:"initial_delay_ms,omitempty"`
	PeriodM int64  `cbor:"period_ms,omitempty"`
	large   bool

	sentAt, acceptedAt, startedAt, completedAt, cancelledAt time.Time
	state                                                   string
	startedRuns, endedRuns, running, done                   int
}

type taskKind struct {
	need  room
	takes time.Duration
	lasts bool
	fails bool
}

func (w *world) taskOf(name string) taskKind {
	id, number := taskParts(name)
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.subs[id]
	if s == nil || number >= len(s.Steps) {
		return taskKind{}
	}
	st := s.Steps[number]
	return taskKind{need: room{st.CPU, st.Mem, 0}, takes: st.takes, lasts: st.LongRunning, fails: st.fails}
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.noteLocked(format, args...)
}

func (w *world) noteLocked(format string, args ...any) {
	fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.begun).Seconds(), fmt.Sprintf(format, args...))
}

// breaks records a broken rule.
func (w *world) breaks(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	text := fmt.Sprintf(format, args...)
	w.broken = append(w.broken, text)
	w.noteLocked("BROKEN %s", text)
}

func (w *world) started(r *taskRun, o *order, m *minion) {
	id, _ := taskParts(r.Task)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs++
	s := w.subs[id]
	if s == nil {
		w.noteLocked("start of %v, which nobody submitted", r)
		return
	}
	for _, other := range w.byTask[r.Task] {
		if other.EndedAt.IsZero() {
			w.noteLocked("TWICE: %v beside %v", r, other)
			w.broken = append(w.broken, "TWICE "+r.Task)
		} else if other.End == "done" && other.noted {
			w.noteLocked("TWICE: %v after %v was noted as done", r, other)
			w.broken = append(w.broken, "TWICE "+r.Task)
		}
	}
	w.byTask[r.Task] = append(w.byTask[r.Task], r)
	s.startedRuns++
	s.running++
	if s.startedAt.IsZero() {
		s.startedAt = time.Now()
	}
	if !s.large {
		w.noteLocked("run %v starts, fence %d", r, o.Fence)
	} else if s.startedRuns%1000 == 1 {
		w.noteLocked("run %v starts, fence %d (start %d of its submission)", r, o.Fence, s.startedRuns)
	}
}

func (w *world) endedRun(r *taskRun, how string) {
	id, _ := taskParts(r.Task)
	w.mu.Lock()
	defer w.mu.Unlock()
	r.EndedAt, r.End = time.Now(), how
	if s := w.subs[id]; s != nil {
		s.endedRuns++
		s.running--
		if how == "done" {
			s.done++
		}
		if !s.large {
			w.noteLocked("run %v ends %s", r, how)
		}
	}
}

func (w *world) noted(r *taskRun) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r.noted = true
}

// entry is a process of the system.
type entry struct {
	w        *world
	name     string
	callers  string
	ready    string
	settings string
	// storeAddr is where the store serves this entry.
	storeAddr string
	log       *os.File
	// memoryMB is the memory of its machine: above it the platform kills the process.
	memoryMB int64

	mu      sync.Mutex
	command *exec.Cmd
	exited  chan struct{}
	peakMB  int64
	kills   int
	ownEnds int
	ending  bool
}

// givenPorts are the ports that freeAddr has returned.
var givenPorts = make(map[int]bool)

// freeAddr returns a free address of an entry. Its IP address is this process's own, so that
// nobody's outgoing connection takes the port while the entry doesn't listen.
func freeAddr() string {
	pid := os.Getpid()
	for {
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 80+pid>>16%100, pid>>8%256, pid%256))
		if err != nil {
			panic(err)
		}
		address := l.Addr().(*net.TCPAddr)
		_ = l.Close()
		if !givenPorts[address.Port] {
			givenPorts[address.Port] = true
			return address.String()
		}
	}
}

type sizes struct {
	entries, minions int
	room             room
	rack             int
	memoryMB         int64
	cores            float64
}

// newWorld starts the stand-ins. The entries are started by startEntries.
func newWorld(dir string, z sizes, manifest map[string]any) *world {
	record, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		panic(err)
	}
	w := &world{service: "fold-planner", store: newStore(), stopAll: make(chan struct{}), record: record, begun: time.Now(),
		subs: make(map[string]*submission), byTask: make(map[string][]*taskRun)}
	if w.dir, err = os.MkdirTemp("", "review3-"); err != nil {
		panic(err)
	}
	w.store.put("op", "config", manifest)
	for i := range z.minions {
		ip := fmt.Sprintf("127.77.%d.%d", 1+i/200, 1+i%200)
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			panic(err)
		}
		m := &minion{w: w, id: fmt.Sprintf("minion-%02d", i), addr: l.Addr().String(), rack: fmt.Sprintf("r1-%d", i/z.rack), kinds: []string{"a"}, total: z.room,
			born: time.Now().Truncate(time.Millisecond), running: make(map[string]*taskRun), barred: make(map[string]int64), wake: make(chan struct{})}
		w.minions = append(w.minions, m)
		m.serve(l)
		go m.beatLoop(w.stopAll)
		go m.leaseLoop(w.stopAll)
	}
	for i := range z.entries {
		w.newEntry(fmt.Sprintf("edge-%d", i+1), z)
	}
	return w
}

func (w *world) newEntry(name string, z sizes) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	go func() { _ = http.Serve(l, w.store.handler(name)) }()
	e := &entry{w: w, name: name, callers: freeAddr(), ready: freeAddr(), storeAddr: l.Addr().String(), memoryMB: z.memoryMB}
	e.settings = filepath.Join(w.dir, name+".yaml")
	// deploy/settings.yaml, filled in.
	text := fmt.Sprintf(`EntryID: %q
DataCentre: "here"
Listen:
  Callers: %q
  Ready: %q
  Links: %q
  Metrics: %q
Store:
  Address: %q
  WritesPerSecond: 600
  RowBytes: 65536
Advice: %q
Timing:
  GraceSeconds: 6
  LongestLeaseMillis: 10000
Limits:
  MemoryMB: %d
  Cores: %g
  Descriptors: 4100
`, name, e.callers, e.ready, freeAddr(), freeAddr(), l.Addr(), freeAddr(), z.memoryMB, z.cores)
	if err := os.WriteFile(e.settings, []byte(text), 0o600); err != nil {
		panic(err)
	}
	if e.log, err = os.Create(filepath.Join(w.dir, name+".log")); err != nil {
		panic(err)
	}
	w.entries = append(w.entries, e)
}

func (e *entry) start() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ending {
		return
	}
	// The command of deploy/system.toml.
	e.command = exec.Command("target/kumquatstall", "serve", "--longest-stop-millis=900")
	e.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "KUMQUATSTALL_SETTINGS=" + e.settings}
	e.command.Stdout, e.command.Stderr = e.log, e.log
	e.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := e.command.Start(); err != nil {
		e.w.note("entry %s can't be started: %v", e.name, err)
		fmt.Println("can't start", err)
		os.Exit(2)
	}
	e.exited = make(chan struct{})
	go func(c *exec.Cmd, exited chan struct{}) { _ = c.Wait(); close(exited) }(e.command, e.exited)
	e.w.note("entry %s starts, process %d", e.name, e.command.Process.Pid)
}

// supervise does what the platform does: it kills a process that exceeds the memory of its
// machine, and starts one that has ended again after a short delay.
func (e *entry) supervise() {
	for {
		e.mu.Lock()
		exited, pid, ending := e.exited, e.command.Process.Pid, e.ending
		e.mu.Unlock()
		if ending {
			return
		}
		select {
		case <-exited:
			e.mu.Lock()
			ending = e.ending
			e.mu.Unlock()
			if ending {
				return
			}
			e.w.note("entry %s has ended: %v", e.name, e.command.ProcessState)
			e.ownEnds++
			time.Sleep(500 * time.Millisecond)
			e.start()
			continue
		case <-time.After(20 * time.Millisecond):
		}
		mb := residentMB(pid)
		e.peakMB = max(e.peakMB, mb)
		if e.memoryMB > 0 && mb > e.memoryMB {
			e.kills++
			e.w.note("entry %s holds %d MB, over the %d MB of its machine: the platform kills it (kill %d)", e.name, mb, e.memoryMB, e.kills)
			_ = e.command.Process.Kill()
			<-exited
			time.Sleep(500 * time.Millisecond)
			e.start()
		}
	}
}

// residentMB returns the resident memory of a process in binary megabytes.
func residentMB(pid int) int64 {
	data, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.ParseInt(strings.Fields(rest)[0], 10, 64)
			return kb / 1024
		}
	}
	return 0
}

func (w *world) startEntries() {
	for _, e := range w.entries {
		e.start()
		go e.supervise()
	}
}

func (e *entry) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + e.ready + "/api/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all entries are ready; it ends the script with 2 if they aren't.
func (w *world) awaitReady() {
	for until := time.Now().Add(10 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, e := range w.entries {
			if e.isReady() {
				ready++
			}
		}
		if ready == len(w.entries) {
			w.note("all %d entries are ready", ready)
			return
		}
		if time.Now().After(until) {
			w.note("only %d of %d entries are ready", ready, len(w.entries))
			w.end()
			w.clean()
			os.Exit(2)
		}
	}
}

// end ends all processes. Their settings and logs stay until clean is called.
func (w *world) end() {
	for _, e := range w.entries {
		e.mu.Lock()
		e.ending = true
		if e.command != nil && e.command.Process != nil {
			_ = e.command.Process.Kill()
		}
		exited := e.exited
		e.mu.Unlock()
		if exited != nil {
			<-exited
		}
		w.note("entry %s: peak memory %d MB, killed %d times for its memory, ended %d times by itself", e.name, e.peakMB, e.kills, e.ownEnds)
		_ = e.log.Close()
	}
}

// clean removes the settings and the logs of the entries, unless KEEP is set.
func (w *world) clean() {
	if os.Getenv("KEEP") != "" {
		fmt.Println("logs in", w.dir)
		return
	}
	_ = os.RemoveAll(w.dir)
}

const hostName = "nony24.example"

// call sends a consumer's request to an entry, over a new channel, and returns the status (0
// for none) and the body.
func (w *world) call(e *entry, method, path string, body []byte, timeout time.Duration) (int, []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+e.callers+path, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	request.Host = hostName
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(timeout.Milliseconds(), 10))
	request.Header.Set("Content-Type", "application/cbor")
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, data
}

// submit hands a submission in, with the retries of the sites, and reports whether it was accepted.
func (w *world) submit(s *submission, first int) bool {
	w.mu.Lock()
	w.subs[s.id] = s
	s.sentAt = time.Now()
	w.mu.Unlock()
	body := encode(s)
	for attempt := range 5 {
		e := w.entries[(first+attempt)%len(w.entries)]
		status, _ := w.call(e, http.MethodPost, s.route+s.id, body, 3*time.Second)
		w.note("POST %s (%d bytes) to %s: %d", s.id, len(body), e.name, status)
		if status/100 == 2 {
			w.mu.Lock()
			s.acceptedAt = time.Now()
			w.mu.Unlock()
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// ask asks for the state of a submission.
func (w *world) ask(s *submission, first int) (string, int) {
	status := 0
	for attempt := range 3 {
		var data []byte
		status, data = w.call(w.entries[(first+attempt)%len(w.entries)], http.MethodGet, s.route+s.id, nil, 3*time.Second)
		if status == http.StatusOK {
			var shown struct {
				State string `cbor:"state"`
			}
			_ = cbor.Unmarshal(data, &shown)
			return shown.State, status
		}
		if status == http.StatusGone {
			return "", status
		}
	}
	return "", status
}

func manifest(version int64, routes ...map[string]any) map[string]any {
	return map[string]any{"version": version, "routes": routes, "services": []map[string]any{{"name": "fold-planner", "admission_check": false}},
		"limits": map[string]any{"max_body_bytes": 262144}}
}

func route(name, prefix string, priority int) map[string]any {
	return map[string]any{"name": name, "host": hostName, "path_prefix": prefix, "service": "fold-planner", "priority": priority, "max_attempts": 3, "stretch": 2.2, "slo_ms": 1000}
}

// used returns the processor capacity in use and in all.
func (w *world) used() (used, total room) {
	for _, m := range w.minions {
		m.mu.Lock()
		used = room{used.CPU + m.used.CPU, used.Mem + m.used.Mem, 0}
		total = room{total.CPU + m.total.CPU, total.Mem + m.total.Mem, 0}
		m.mu.Unlock()
	}
	return used, total
}
