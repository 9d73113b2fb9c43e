// Package configurer reads and checks the settings of an entry.
//
// Settings are one YAML file, read at the start and checked in full: an
// unknown key, a missing one or a wrong value is reported with the file, the
// key and what was expected, and all problems are reported at once. What
// operators change while the system runs is not here but in package tuner.
package configurer

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"

	"kumquatstall/requester"
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=Role -trimprefix=Role

// Role is what the bearer of a token may do.
type Role int

// The roles; each includes the ones before it, but for calls, which any
// token may make.
const (
	RoleNone Role = iota
	RoleRead
	RoleOperate
)

// UnmarshalText decodes the name of a role.
func (r *Role) UnmarshalText(text []byte) error {
	for _, role := range []Role{RoleNone, RoleRead, RoleOperate} {
		if role.String() == string(text) {
			*r = role
			return nil
		}
	}
	return errors.Newf("expected one of None, Read, Operate, not %q", text)
}

// MarshalText encodes the role as its name.
func (r Role) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// Settings are the settings of an entry.
type Settings struct {
	EntryID     requester.EntryID    `yaml:"EntryID"`
	DataCentre  requester.DataCentre `yaml:"DataCentre"`
	DataCentres []DataCentre         `yaml:"DataCentres"`
	// Listen is the address and port for callers, operators and links.
	Listen netip.AddrPort `yaml:"Listen"`
	// Advertise is where other entries reach this one; Listen if unset.
	Advertise netip.AddrPort `yaml:"Advertise,omitempty"`
	Platform  Platform       `yaml:"Platform"`
	// Peers are entries to try before the table has named any.
	Peers []Peer `yaml:"Peers,omitempty"`
	// LinkKey is shared by all entries, in hexadecimal.
	LinkKey string  `yaml:"LinkKey,omitempty"`
	Tokens  []Token `yaml:"Tokens,omitempty"`
	TLS     TLS     `yaml:"TLS,omitempty"`
	Timing  Timing  `yaml:"Timing,omitempty"`
	Limits  Limits  `yaml:"Limits,omitempty"`
	Log     Log     `yaml:"Log,omitempty"`
}

// DataCentre is a data centre and its number of seats, the same in the
// settings of every entry.
type DataCentre struct {
	Name  requester.DataCentre `yaml:"Name"`
	Seats int                  `yaml:"Seats"`
}

// Platform tells where the platform's services are.
type Platform struct {
	Table    netip.AddrPort `yaml:"Table"`
	HostList netip.AddrPort `yaml:"HostList"`
	// WritesPerSecond and ReadsPerSecond bound what this entry asks of the
	// table; 0 means the default.
	WritesPerSecond float64 `yaml:"WritesPerSecond,omitempty"`
	ReadsPerSecond  float64 `yaml:"ReadsPerSecond,omitempty"`
}

// Peer is another entry.
type Peer struct {
	EntryID    requester.EntryID    `yaml:"EntryID"`
	DataCentre requester.DataCentre `yaml:"DataCentre"`
	Address    netip.AddrPort       `yaml:"Address"`
}

// Token allows the bearer of a secret to use the administration API.
type Token struct {
	// SHA256 is the hash of the secret, in hexadecimal.
	SHA256 string `yaml:"SHA256"`
	Role   Role   `yaml:"Role"`
	// Trade, where set, is the only trade the bearer may call for.
	Trade requester.Trade `yaml:"Trade,omitempty"`
	// Name stands in the history of changes.
	Name string `yaml:"Name"`
}

// TLS names the files for TLS; all empty means plain TCP.
type TLS struct {
	Certificate string `yaml:"Certificate,omitempty"`
	PrivateKey  string `yaml:"PrivateKey,omitempty"`
	// Authority is the certificate that signed those of the other entries.
	Authority string `yaml:"Authority,omitempty"`
}

// Timing holds times in milliseconds; 0 means the default.
type Timing struct {
	SeatTermMillis        int64 `yaml:"SeatTermMillis,omitempty"`
	TaskTermMillis        int64 `yaml:"TaskTermMillis,omitempty"`
	MarginMillis          int64 `yaml:"MarginMillis,omitempty"`
	HeartbeatMillis       int64 `yaml:"HeartbeatMillis,omitempty"`
	SyncMillis            int64 `yaml:"SyncMillis,omitempty"`
	HostListMillis        int64 `yaml:"HostListMillis,omitempty"`
	RequestHorizonMillis  int64 `yaml:"RequestHorizonMillis,omitempty"`
	MaxCallLifetimeMillis int64 `yaml:"MaxCallLifetimeMillis,omitempty"`
	JobRetentionMillis    int64 `yaml:"JobRetentionMillis,omitempty"`
	// NoticeMillis is how long an entry that shuts down still accepts
	// calls, so that the balancer notices.
	NoticeMillis int64 `yaml:"NoticeMillis,omitempty"`
}

// Limits bounds what the HTTP listener accepts; 0 means the default.
type Limits struct {
	MaxBodyBytes   int64 `yaml:"MaxBodyBytes,omitempty"`
	MaxHeaderBytes int   `yaml:"MaxHeaderBytes,omitempty"`
	MaxConnections int   `yaml:"MaxConnections,omitempty"`
	IdleMillis     int64 `yaml:"IdleMillis,omitempty"`
	MaxAnswerBytes int64 `yaml:"MaxAnswerBytes,omitempty"`
}

// Log configures logging.
type Log struct {
	// Level is one of debug, info, warn, error; info if unset.
	Level string `yaml:"Level,omitempty"`
}

// Defaults of the limits.
const (
	DefaultMaxBodyBytes   = 4 << 20
	DefaultMaxHeaderBytes = 16 << 10
	DefaultMaxConnections = 4096
	DefaultIdleMillis     = 60_000
	// DefaultNoticeMillis is longer than balancers take between two looks.
	DefaultNoticeMillis = 2000
)

// Problem is one thing wrong with the settings.
type Problem struct {
	File     string
	Key      string
	Expected string
}

func (p Problem) String() string {
	return fmt.Sprintf("%s: %s: expected %s", p.File, p.Key, p.Expected)
}

// ProblemsError reports everything wrong with a file of settings.
type ProblemsError struct {
	Problems []Problem
}

func (e *ProblemsError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, problem := range e.Problems {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

// Load reads and checks a file of settings. The error is a *ProblemsError
// where the file could be read.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return Parse(path, data)
}

// Parse decodes and checks settings; path names them in errors.
func Parse(path string, data []byte) (*Settings, error) {
	settings := &Settings{}
	if err := decode(data, settings); err != nil {
		return nil, &ProblemsError{Problems: []Problem{decodeProblem(path, err)}}
	}
	c := checker{file: path}
	c.check(settings)
	if len(c.problems) > 0 {
		return nil, &ProblemsError{Problems: c.problems}
	}
	if !settings.Advertise.IsValid() {
		settings.Advertise = settings.Listen
	}
	settings.Limits.fill()
	if settings.Timing.NoticeMillis == 0 {
		settings.Timing.NoticeMillis = DefaultNoticeMillis
	}
	return settings, nil
}

// decode decodes strictly. The YAML library panics on some malformed tags,
// which is an error of the document like any other.
func decode(data []byte, settings any) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = errors.Newf("malformed document: %v", cause)
		}
	}()
	return yaml.UnmarshalWithOptions(data, settings, yaml.Strict())
}

// decodeProblem makes a Problem of what the decoder reports. Its message
// names the key and the line.
func decodeProblem(path string, err error) Problem {
	var unknown *yaml.UnknownFieldError
	if errors.As(err, &unknown) {
		return Problem{File: path, Key: "line " + lineOf(unknown.GetToken().Position.Line) + ", " + unknown.GetToken().Value, Expected: "a key of the settings"}
	}
	return Problem{File: path, Key: "document", Expected: "valid YAML of the settings: " + yaml.FormatError(err, false, false)}
}

func lineOf(line int) string { return fmt.Sprint(line) }

func (l *Limits) fill() {
	if l.MaxBodyBytes == 0 {
		l.MaxBodyBytes = DefaultMaxBodyBytes
	}
	if l.MaxHeaderBytes == 0 {
		l.MaxHeaderBytes = DefaultMaxHeaderBytes
	}
	if l.MaxConnections == 0 {
		l.MaxConnections = DefaultMaxConnections
	}
	if l.IdleMillis == 0 {
		l.IdleMillis = DefaultIdleMillis
	}
}

// Key returns the shared key of links.
func (s *Settings) Key() []byte {
	key, err := hex.DecodeString(s.LinkKey)
	if err != nil {
		return nil
	}
	return key
}

// AuthConfigured reports whether tokens or a link key are configured; without, an
// entry listens on loopback only.
func (s *Settings) AuthConfigured() bool { return len(s.Tokens) > 0 && s.LinkKey != "" }

// Millis converts a count of milliseconds.
func Millis(count int64) time.Duration { return time.Duration(count) * time.Millisecond }
