package configurer

import (
	"cmp"
	"encoding/hex"
	"fmt"
	"slices"

	"kumquatstall/requester"
)

// Limits of the values in settings.
const (
	minShards       = 2
	maxShards       = 256
	minKeyBytes     = 16
	sha256HexDigits = 64
	maxMillis       = 86_400_000
	// minTermMillis is the minimum term of a lease; it is long enough for a
	// renewal within the term.
	minTermMillis = 60
)

// checker validates a settings file and collects its problems.
type checker struct {
	file     string
	problems []Problem
}

// require adds a problem unless ok is true.
func (c *checker) require(ok bool, key, expected string) {
	if !ok {
		c.problems = append(c.problems, Problem{File: c.file, Key: key, Expected: expected})
	}
}

func (c *checker) check(s *Settings) {
	c.require(validName(string(s.EntryID)), "EntryID", "a name of letters, digits, '-', '_' and '.'")
	c.checkDataCentres(s)
	c.require(s.Listen.IsValid(), "Listen", "an IP address and port such as 127.0.0.1:7000")
	c.require(s.Platform.Table.IsValid(), "Platform.Table", "an IP address and port")
	c.require(s.Platform.HostList.IsValid(), "Platform.HostList", "an IP address and port")
	c.require(s.Platform.WritesPerSecond >= 0, "Platform.WritesPerSecond", "a rate of at least 0")
	c.require(s.Platform.ReadsPerSecond >= 0, "Platform.ReadsPerSecond", "a rate of at least 0")
	c.checkPeers(s)
	c.checkSecurity(s)
	c.checkTiming(&s.Timing)
	c.checkLimits(&s.Limits)
	c.checkHeldBytes(&s.Limits)
	levels := []string{"", "debug", "info", "warn", "error"}
	c.require(slices.Contains(levels, s.Log.Level), "Log.Level", "one of debug, info, warn, error")
}

func (c *checker) checkDataCentres(s *Settings) {
	c.require(len(s.DataCentres) > 0, "DataCentres", "at least one data centre")
	seen := make(map[requester.DataCentre]bool)
	for i, dataCentre := range s.DataCentres {
		key := fmt.Sprintf("DataCentres[%d]", i)
		c.require(validName(string(dataCentre.Name)), key+".Name", "a name of letters, digits, '-', '_' and '.'")
		c.require(!seen[dataCentre.Name], key+".Name", "a name that no other data centre has")
		c.require(dataCentre.Seats >= minShards && dataCentre.Seats <= maxShards, key+".Seats", fmt.Sprintf("a count between %d and %d", minShards, maxShards))
		seen[dataCentre.Name] = true
	}
	c.require(seen[s.DataCentre], "DataCentre", "one of the names in DataCentres")
}

func (c *checker) checkPeers(s *Settings) {
	for i, peer := range s.Peers {
		key := fmt.Sprintf("Peers[%d]", i)
		c.require(validName(string(peer.EntryID)), key+".EntryID", "a name of letters, digits, '-', '_' and '.'")
		c.require(peer.Address.IsValid(), key+".Address", "an IP address and port")
		known := slices.ContainsFunc(s.DataCentres, func(d DataCentre) bool { return d.Name == peer.DataCentre })
		c.require(known, key+".DataCentre", "one of the names in DataCentres")
	}
}

func (c *checker) checkSecurity(s *Settings) {
	if s.LinkKey != "" {
		key, err := hex.DecodeString(s.LinkKey)
		c.require(err == nil && len(key) >= minKeyBytes, "LinkKey", "at least 32 hexadecimal digits")
	}
	for i, token := range s.Tokens {
		key := fmt.Sprintf("Tokens[%d]", i)
		_, err := hex.DecodeString(token.SHA256)
		c.require(err == nil && len(token.SHA256) == sha256HexDigits, key+".SHA256", "64 hexadecimal digits")
		c.require(validName(token.Name), key+".Name", "a name of letters, digits, '-', '_' and '.'")
	}
	if !s.AuthConfigured() && s.Listen.IsValid() {
		c.require(s.Listen.Addr().IsLoopback(), "Listen", "a loopback address while Tokens or LinkKey are not configured")
	}
	paired := (s.TLS.Certificate == "") == (s.TLS.PrivateKey == "")
	c.require(paired, "TLS", "both Certificate and PrivateKey, or neither")
	c.require(s.TLS.Authority == "" || s.TLS.Certificate != "", "TLS.Authority", "no value unless Certificate is set")
}

func (c *checker) checkTiming(t *Timing) {
	times := []struct {
		key     string
		millis  int64
		minimum int64
	}{
		{"SeatTermMillis", t.SeatTermMillis, minTermMillis},
		{"TaskTermMillis", t.TaskTermMillis, minTermMillis},
		{"MarginMillis", t.MarginMillis, 1},
		{"HeartbeatMillis", t.HeartbeatMillis, 1},
		{"SyncMillis", t.SyncMillis, 1},
		{"HostListMillis", t.HostListMillis, 1},
		{"RequestHorizonMillis", t.RequestHorizonMillis, 1000},
		{"MaxCallLifetimeMillis", t.MaxCallLifetimeMillis, 1},
		{"JobRetentionMillis", t.JobRetentionMillis, 1},
		{"NoticeMillis", t.NoticeMillis, 1},
	}
	for _, time := range times {
		ok := time.millis == 0 || time.millis >= time.minimum && time.millis <= maxMillis
		c.require(ok, "Timing."+time.key, fmt.Sprintf("0 for the default, or between %d and %d", time.minimum, maxMillis))
	}
	if t.RequestHorizonMillis != 0 && t.MaxCallLifetimeMillis != 0 {
		c.require(t.RequestHorizonMillis >= t.MaxCallLifetimeMillis, "Timing.RequestHorizonMillis", "no less than Timing.MaxCallLifetimeMillis")
	}
}

func (c *checker) checkLimits(l *Limits) {
	limits := []struct {
		key     string
		value   int64
		maximum int64
	}{
		{"MemoryMB", l.MemoryMB, maxMemoryMB},
		{"Descriptors", int64(l.Descriptors), maxDescriptors},
		{"MaxBodyBytes", l.MaxBodyBytes, 64 << 20},
		{"MaxHeaderBytes", int64(l.MaxHeaderBytes), 1 << 20},
		{"MaxConnections", int64(l.MaxConnections), 1 << 20},
		{"IdleMillis", l.IdleMillis, maxMillis},
		{"MaxAnswerBytes", l.MaxAnswerBytes, 64 << 20},
	}
	for _, limit := range limits {
		c.require(limit.value >= 0 && limit.value <= limit.maximum, "Limits."+limit.key, fmt.Sprintf("between 0 and %d", limit.maximum))
	}
}

// checkHeldBytes checks that the largest body can be read.
func (c *checker) checkHeldBytes(l *Limits) {
	least := minHeldBodies * cmp.Or(l.MaxBodyBytes, DefaultMaxBodyBytes)
	ok := l.MaxHeldBytes == 0 || l.MaxHeldBytes >= least && l.MaxHeldBytes <= maxHeldBytes
	c.require(ok, "Limits.MaxHeldBytes", fmt.Sprintf("0 for the default, or between %d (%d bodies of MaxBodyBytes) and %d", least, minHeldBodies, int64(maxHeldBytes)))
}

// validName reports whether a name is a valid identifier that can be part of a
// table key and of a URL.
func validName(name string) bool {
	if name == "" || len(name) > requester.MaxNameLength {
		return false
	}
	for _, r := range name {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
		digit := r >= '0' && r <= '9'
		if !letter && !digit && r != '-' && r != '_' && r != '.' {
			return false
		}
	}
	return true
}
