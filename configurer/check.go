package configurer

import (
	"encoding/hex"
	"fmt"
	"slices"

	"kumquatstall/requester"
)

// Bounds of settings.
const (
	minSeats       = 2
	maxSeats       = 256
	minKeyBytes    = 16
	sha256HexBytes = 64
	maxMillis      = 86_400_000
	// minTermMillis leaves room for renewals within a term.
	minTermMillis = 60
)

// checker collects problems.
type checker struct {
	file     string
	problems []Problem
}

func (c *checker) need(ok bool, key, expected string) {
	if !ok {
		c.problems = append(c.problems, Problem{File: c.file, Key: key, Expected: expected})
	}
}

func (c *checker) check(s *Settings) {
	c.need(validName(string(s.EntryID)), "EntryID", "a name of letters, digits, '-', '_' and '.'")
	c.checkDataCentres(s)
	c.need(s.Listen.IsValid(), "Listen", "an IP address and port such as 127.0.0.1:7000")
	c.need(s.Platform.Table.IsValid(), "Platform.Table", "an IP address and port")
	c.need(s.Platform.HostList.IsValid(), "Platform.HostList", "an IP address and port")
	c.need(s.Platform.WritesPerSecond >= 0, "Platform.WritesPerSecond", "a rate of at least 0")
	c.need(s.Platform.ReadsPerSecond >= 0, "Platform.ReadsPerSecond", "a rate of at least 0")
	c.checkPeers(s)
	c.checkSecurity(s)
	c.checkTiming(&s.Timing)
	c.checkLimits(&s.Limits)
	levels := []string{"", "debug", "info", "warn", "error"}
	c.need(slices.Contains(levels, s.Log.Level), "Log.Level", "one of debug, info, warn, error")
}

func (c *checker) checkDataCentres(s *Settings) {
	c.need(len(s.DataCentres) > 0, "DataCentres", "at least one data centre")
	seen := make(map[requester.DataCentre]bool)
	for i, dataCentre := range s.DataCentres {
		key := fmt.Sprintf("DataCentres[%d]", i)
		c.need(validName(string(dataCentre.Name)), key+".Name", "a name of letters, digits, '-', '_' and '.'")
		c.need(!seen[dataCentre.Name], key+".Name", "a name that no other data centre has")
		c.need(dataCentre.Seats >= minSeats && dataCentre.Seats <= maxSeats, key+".Seats", fmt.Sprintf("a count between %d and %d", minSeats, maxSeats))
		seen[dataCentre.Name] = true
	}
	c.need(seen[s.DataCentre], "DataCentre", "one of the names in DataCentres")
}

func (c *checker) checkPeers(s *Settings) {
	for i, peer := range s.Peers {
		key := fmt.Sprintf("Peers[%d]", i)
		c.need(validName(string(peer.EntryID)), key+".EntryID", "a name of letters, digits, '-', '_' and '.'")
		c.need(peer.Address.IsValid(), key+".Address", "an IP address and port")
		known := slices.ContainsFunc(s.DataCentres, func(d DataCentre) bool { return d.Name == peer.DataCentre })
		c.need(known, key+".DataCentre", "one of the names in DataCentres")
	}
}

func (c *checker) checkSecurity(s *Settings) {
	if s.LinkKey != "" {
		key, err := hex.DecodeString(s.LinkKey)
		c.need(err == nil && len(key) >= minKeyBytes, "LinkKey", "at least 32 hexadecimal digits")
	}
	for i, token := range s.Tokens {
		key := fmt.Sprintf("Tokens[%d]", i)
		_, err := hex.DecodeString(token.SHA256)
		c.need(err == nil && len(token.SHA256) == sha256HexBytes, key+".SHA256", "64 hexadecimal digits")
		c.need(validName(token.Name), key+".Name", "a name of letters, digits, '-', '_' and '.'")
	}
	if !s.AuthConfigured() && s.Listen.IsValid() {
		c.need(s.Listen.Addr().IsLoopback(), "Listen", "a loopback address while Tokens or LinkKey are not configured")
	}
	whole := (s.TLS.Certificate == "") == (s.TLS.PrivateKey == "")
	c.need(whole, "TLS", "both Certificate and PrivateKey, or neither")
	c.need(s.TLS.Authority == "" || s.TLS.Certificate != "", "TLS.Authority", "no value unless Certificate is set")
}

func (c *checker) checkTiming(t *Timing) {
	times := []struct {
		key    string
		millis int64
		least  int64
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
		ok := time.millis == 0 || time.millis >= time.least && time.millis <= maxMillis
		c.need(ok, "Timing."+time.key, fmt.Sprintf("0 for the default, or between %d and %d", time.least, maxMillis))
	}
	if t.RequestHorizonMillis != 0 && t.MaxCallLifetimeMillis != 0 {
		c.need(t.RequestHorizonMillis >= t.MaxCallLifetimeMillis, "Timing.RequestHorizonMillis", "no less than Timing.MaxCallLifetimeMillis")
	}
}

func (c *checker) checkLimits(l *Limits) {
	limits := []struct {
		key   string
		value int64
		most  int64
	}{
		{"MaxBodyBytes", l.MaxBodyBytes, 64 << 20},
		{"MaxHeaderBytes", int64(l.MaxHeaderBytes), 1 << 20},
		{"MaxConnections", int64(l.MaxConnections), 1 << 20},
		{"IdleMillis", l.IdleMillis, maxMillis},
		{"MaxAnswerBytes", l.MaxAnswerBytes, 64 << 20},
	}
	for _, limit := range limits {
		c.need(limit.value >= 0 && limit.value <= limit.most, "Limits."+limit.key, fmt.Sprintf("between 0 and %d", limit.most))
	}
}

// validName reports whether a name can be part of a table key and a URL.
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
