package standin

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/matryer/is"
)

func startShell(t *testing.T, script string) *Process {
	is := is.New(t)
	log, err := os.Create(filepath.Join(t.TempDir(), "log"))
	is.NoErr(err)
	t.Cleanup(func() { _ = log.Close() })
	p, err := StartProcess(log, "/bin/sh", "-c", script)
	is.NoErr(err)
	return p
}

func TestProcessThatEndsByItselfSaysWhy(t *testing.T) {
	is := is.New(t)
	p := startShell(t, "echo address already in use >&2; exit 1")
	<-p.Exited()
	err := p.Failure()
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "exit status 1"))
	is.True(strings.Contains(err.Error(), "address already in use"))
}

func TestProcessThatTheTestEndsHasNotFailed(t *testing.T) {
	is := is.New(t)
	p := startShell(t, "exec sleep 60")
	is.NoErr(p.Failure()) // it runs
	p.End(syscall.SIGKILL)
	is.NoErr(p.Failure())
	p = startShell(t, "exec sleep 60")
	p.Signal(syscall.SIGUSR1) // which, unlike SIGHUP, nohup doesn't have ignored
	<-p.Exited()
	is.NoErr(p.Failure())
}
