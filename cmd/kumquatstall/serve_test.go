package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"kumquatstall/configurer"
)

// TestReloadSignalAtStartEndsProcess checks that SIGHUP does not end an entry that
// is still reading its settings for the first time.
func TestReloadSignalAtStartEndsProcess(t *testing.T) {
	if testing.Short() {
		t.Skip("the test builds and starts the program")
	}
	is := is.New(t)
	directory := t.TempDir()
	program, settings, output := filepath.Join(directory, "kumquatstall"), filepath.Join(directory, "settings"), filepath.Join(directory, "log")
	built, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput()
	is.NoErr(err) // go build
	is.Equal(string(built), "")
	is.NoErr(syscall.Mkfifo(settings, 0o600))
	log, err := os.Create(output)
	is.NoErr(err)
	defer log.Close()
	command := exec.Command(program, "serve", "--config", settings)
	command.Stdout, command.Stderr = log, log
	is.NoErr(command.Start())
	exited := make(chan struct{})
	go func() {
		// The test kills the process, so the exit status is ignored.
		_ = command.Wait()
		close(exited)
	}()
	defer func() {
		_ = command.Process.Kill()
		<-exited
	}()
	// Opening the pipe for writing waits until the entry reads its settings.
	pipe, err := os.OpenFile(settings, os.O_WRONLY, 0)
	is.NoErr(err)
	is.NoErr(command.Process.Signal(syscall.SIGHUP))
	time.Sleep(50 * time.Millisecond)
	_, err = fmt.Fprintf(pipe, "EntryID: e\nDataCentre: here\nListen:\n  Callers: 127.0.0.1:0\n  Ready: 127.0.0.1:0\n  Links: 127.0.0.1:0\nStore:\n  Address: 127.0.0.1:1\nAdvice: 127.0.0.1:1\n")
	is.NoErr(err) // the entry still reads
	is.NoErr(pipe.Close())
	for until := time.Now().Add(10 * time.Second); time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		data, err := os.ReadFile(output)
		is.NoErr(err)
		if strings.Contains(string(data), "entry started") {
			return
		}
	}
	t.Fatal("the entry did not start")
}

// TestLongestStopFlag checks that the flag replaces the setting unless it is empty, and that an
// error names it.
func TestLongestStopFlag(t *testing.T) {
	tests := []struct {
		flag string
		want int64
		ok   bool
	}{{"", 900, true}, {"200", 200, true}, {"200.5", 201, true}, {"-1", 0, false}, {"NaN", 0, false}, {"1e99", 0, false}, {"soon", 0, false}}
	for _, test := range tests {
		site := &configurer.Site{Timing: configurer.SiteTiming{LongestStopMillis: 900}}
		err := (&serveCommand{LongestStopMillis: test.flag}).override(site)
		if test.ok && (err != nil || site.Timing.LongestStopMillis != test.want) {
			t.Errorf("%q: got %d, %v", test.flag, site.Timing.LongestStopMillis, err)
		}
		if !test.ok && (err == nil || !strings.Contains(err.Error(), "--longest-stop-millis")) {
			t.Errorf("%q: got %v, expected an error that names the flag", test.flag, err)
		}
	}
}
