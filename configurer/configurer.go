// Package configurer reads and validates the settings files of the two kinds of
// entries: Settings for an entry of package runner, which serves calls and jobs
// and keeps its state in the table service, and Site for an entry of package
// dispatcher, which runs jobs on the platform that package platform connects to.
//
// Each is one YAML file, which is read when the entry starts. An unknown key or a
// missing or invalid value is reported with the file, the key and the expected
// value. All missing and invalid values are reported at once; a malformed
// document or an unknown key is reported alone, since it ends the decoding.
// Configuration that operators change at run time is in package tuner.
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

// Role is the level of access to the administration API that a token grants.
// Calls and job submissions need no role.
type Role int

// The roles. Each includes the rights of the ones before it.
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
	return errors.Newf("expected one of None, Read, Operate, got %q", text)
}

// MarshalText encodes the role as its name.
func (r Role) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// Settings are the settings of an entry.
type Settings struct {
	EntryID     requester.EntryID    `yaml:"EntryID"`
	DataCentre  requester.DataCentre `yaml:"DataCentre"`
	DataCentres []DataCentre         `yaml:"DataCentres"`
	// Listen is the address and port on which the entry listens for callers,
	// operators and links.
	Listen netip.AddrPort `yaml:"Listen"`
	// Advertise is the address and port at which other entries reach this one;
	// the default is Listen.
	Advertise netip.AddrPort `yaml:"Advertise,omitempty"`
	Platform  Platform       `yaml:"Platform"`
	// Peers are entries to dial before the table's member list has been read.
	Peers []Peer `yaml:"Peers,omitempty"`
	// LinkKey is the key that all entries share to authenticate links, in
	// hexadecimal.
	LinkKey string  `yaml:"LinkKey,omitempty"`
	Tokens  []Token `yaml:"Tokens,omitempty"`
	TLS     TLS     `yaml:"TLS,omitempty"`
	Timing  Timing  `yaml:"Timing,omitempty"`
	Limits  Limits  `yaml:"Limits,omitempty"`
	Log     Log     `yaml:"Log,omitempty"`
}

// DataCentre is a data centre and its number of shards, including the placement
// shard. The number must be the same in the settings of every entry.
type DataCentre struct {
	Name  requester.DataCentre `yaml:"Name"`
	Seats int                  `yaml:"Seats"`
}

// Platform holds the addresses of the platform's services and the rates at which
// the entry may use them.
type Platform struct {
	Table    netip.AddrPort `yaml:"Table"`
	HostList netip.AddrPort `yaml:"HostList"`
	// WritesPerSecond and ReadsPerSecond limit the rate of this entry's
	// requests to the table; 0 means the default.
	WritesPerSecond float64 `yaml:"WritesPerSecond,omitempty"`
	ReadsPerSecond  float64 `yaml:"ReadsPerSecond,omitempty"`
}

// Peer is another entry.
type Peer struct {
	EntryID    requester.EntryID    `yaml:"EntryID"`
	DataCentre requester.DataCentre `yaml:"DataCentre"`
	Address    netip.AddrPort       `yaml:"Address"`
}

// Token grants the bearer of a secret a role and, if Trade is set, the right to
// send calls and jobs of that trade.
type Token struct {
	// SHA256 is the SHA-256 hash of the secret, in hexadecimal.
	SHA256 string `yaml:"SHA256"`
	Role   Role   `yaml:"Role"`
	// Trade, if set, is the only trade for which the bearer may send calls and
	// jobs.
	Trade requester.Trade `yaml:"Trade,omitempty"`
	// Name identifies the bearer in the configuration history.
	Name string `yaml:"Name"`
}

// TLS holds the paths of PEM files; if all are empty, plain TCP is used.
type TLS struct {
	Certificate string `yaml:"Certificate,omitempty"`
	PrivateKey  string `yaml:"PrivateKey,omitempty"`
	// Authority is the file with the certificate that signed those of the other
	// entries; the default is Certificate.
	Authority string `yaml:"Authority,omitempty"`
}

// Timing holds durations in milliseconds; 0 means the default.
type Timing struct {
	// SeatTermMillis is how long a lease of a shard lasts.
	SeatTermMillis int64 `yaml:"SeatTermMillis,omitempty"`
	// TaskTermMillis is how long a lease of a worker lasts.
	TaskTermMillis int64 `yaml:"TaskTermMillis,omitempty"`
	// MarginMillis is the safety margin added to leases and deadlines. It covers
	// differing clock rates and messages in flight.
	MarginMillis int64 `yaml:"MarginMillis,omitempty"`
	// HeartbeatMillis, SyncMillis and HostListMillis are the intervals of
	// heartbeats, of syncs of an idle worker and of reads of the host list.
	HeartbeatMillis int64 `yaml:"HeartbeatMillis,omitempty"`
	SyncMillis      int64 `yaml:"SyncMillis,omitempty"`
	HostListMillis  int64 `yaml:"HostListMillis,omitempty"`
	// RequestHorizonMillis is how long the record of an ended request and its
	// write-ahead record are kept. It must not be less than
	// MaxCallLifetimeMillis, which limits how far in the future a call's deadline
	// may be; this is checked only if both are set.
	RequestHorizonMillis  int64 `yaml:"RequestHorizonMillis,omitempty"`
	MaxCallLifetimeMillis int64 `yaml:"MaxCallLifetimeMillis,omitempty"`
	// JobRetentionMillis is how long an ended job is kept.
	JobRetentionMillis int64 `yaml:"JobRetentionMillis,omitempty"`
	// NoticeMillis is the minimum time for which an entry that shuts down keeps
	// accepting calls, so that the load balancer notices that it is not ready.
	NoticeMillis int64 `yaml:"NoticeMillis,omitempty"`
}

// Limits holds the limits of the HTTP listener and, in MaxAnswerBytes, of an
// endpoint's response; 0 means the default. IdleMillis is how long an idle
// connection is kept open. The listener has fewer connections than MaxConnections if
// MemoryMB or Descriptors leave room for fewer; see package limiter.
type Limits struct {
	// MemoryMB is the memory that the process may use, in binary megabytes; 0 means
	// that it is not known.
	MemoryMB int64 `yaml:"MemoryMB,omitempty"`
	// Descriptors is the number of descriptors that the process may have open; 0
	// means the limit of the operating system.
	Descriptors  int   `yaml:"Descriptors,omitempty"`
	MaxBodyBytes int64 `yaml:"MaxBodyBytes,omitempty"`
	// MaxHeldBytes is how much all requests together may hold beyond what each
	// connection may; see package limiter.
	MaxHeldBytes   int64 `yaml:"MaxHeldBytes,omitempty"`
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

// Defaults of Limits and NoticeMillis. Package caller has that of MaxAnswerBytes.
const (
	DefaultMaxBodyBytes   = 4 << 20
	DefaultMaxHeaderBytes = 16 << 10
	DefaultMaxConnections = 4096
	DefaultIdleMillis     = 60_000
	// heldMemoryPart is the part of MemoryMB that MaxHeldBytes is by default.
	heldMemoryPart = 8
	// minHeldBodies is the least that MaxHeldBytes may be, in largest bodies: what one
	// holds until it is decoded. defaultHeldBodies is the default if MemoryMB is not
	// set.
	minHeldBodies     = 4
	defaultHeldBodies = 24
	// DefaultNoticeMillis is longer than the interval between two readiness
	// checks of a load balancer.
	DefaultNoticeMillis = 2000
)

// Problem is an invalid value or key in a settings file.
type Problem struct {
	File     string
	Key      string
	Expected string
}

func (p Problem) String() string {
	return fmt.Sprintf("%s: %s: expected %s", p.File, p.Key, p.Expected)
}

// ProblemsError reports all problems of a settings file, one per line.
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

// Load reads and validates a settings file. If the file can be read, any error is
// a *ProblemsError.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	return Parse(path, data)
}

// Parse decodes and validates settings and sets the defaults of Advertise,
// Limits and NoticeMillis. Problems have path as their File. Any error is a
// *ProblemsError.
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
	settings.Limits.applyDefaults()
	if settings.Timing.NoticeMillis == 0 {
		settings.Timing.NoticeMillis = DefaultNoticeMillis
	}
	return settings, nil
}

// decode decodes YAML and rejects unknown keys. The YAML library panics on some
// malformed tags; decode returns such a panic as an error.
func decode(data []byte, settings any) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = errors.Newf("malformed document: %v", cause)
		}
	}()
	if err := checkNesting(data); err != nil {
		return err
	}
	return yaml.UnmarshalWithOptions(data, settings, yaml.Strict())
}

// decodeProblem converts an error of the YAML decoder to a Problem. For an unknown
// key, Key contains its line and name; for any other error, Expected contains the
// decoder's message.
func decodeProblem(path string, err error) Problem {
	var unknown *yaml.UnknownFieldError
	if errors.As(err, &unknown) {
		return Problem{File: path, Key: "line " + formatLine(unknown.GetToken().Position.Line) + ", " + unknown.GetToken().Value, Expected: "a known key"}
	}
	return Problem{File: path, Key: "document", Expected: "a valid YAML document: " + yaml.FormatError(err, false, false)}
}

func formatLine(line int) string { return fmt.Sprint(line) }

func (l *Limits) applyDefaults() {
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
	switch {
	case l.MaxHeldBytes > 0:
	case l.MemoryMB > 0:
		l.MaxHeldBytes = max(l.MemoryMB<<20/heldMemoryPart, minHeldBodies*l.MaxBodyBytes)
	default:
		l.MaxHeldBytes = defaultHeldBodies * l.MaxBodyBytes
	}
}

// Key returns the decoded LinkKey; nil if it is malformed.
func (s *Settings) Key() []byte {
	key, err := hex.DecodeString(s.LinkKey)
	if err != nil {
		return nil
	}
	return key
}

// AuthConfigured reports whether both tokens and a link key are configured. If
// not, the entry may listen on loopback only.
func (s *Settings) AuthConfigured() bool { return len(s.Tokens) > 0 && s.LinkKey != "" }

// Millis converts a number of milliseconds to a Duration.
func Millis(count int64) time.Duration { return time.Duration(count) * time.Millisecond }
