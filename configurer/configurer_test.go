package configurer

import (
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

const validSettings = `
EntryID: yame-1
DataCentre: yame
DataCentres:
  - {Name: yame, Seats: 8}
  - {Name: kurume, Seats: 8}
Listen: 127.0.0.1:7000
Platform: {Table: "127.0.0.1:7100", HostList: "127.0.0.1:7101"}
`

func TestParse(t *testing.T) {
	is := is.New(t)
	settings, err := Parse("entry.yaml", []byte(validSettings))
	is.NoErr(err)
	is.Equal(settings.Advertise, settings.Listen)
	is.Equal(settings.Limits.MaxBodyBytes, int64(DefaultMaxBodyBytes))
	is.True(!settings.AuthConfigured())
}

func TestParseReportsEveryProblem(t *testing.T) {
	tests := []struct {
		name string
		text string
		keys []string
	}{
		{"empty", "{}", []string{"EntryID", "DataCentres", "DataCentre", "Listen", "Platform.Table", "Platform.HostList"}},
		{"unknown key", validSettings + "Colour: red\n", []string{"Colour"}},
		{"not loopback without tokens", strings.Replace(validSettings, "127.0.0.1:7000", "0.0.0.0:7000", 1), []string{"Listen"}},
		{"unknown data centre", strings.Replace(validSettings, "DataCentre: yame", "DataCentre: okawa", 1), []string{"DataCentre"}},
		{"too few seats", strings.Replace(validSettings, "Seats: 8", "Seats: 1", 1), []string{"DataCentres[0].Seats"}},
		{"bad key", validSettings + "LinkKey: xyz\n", []string{"LinkKey"}},
		{"bad token", validSettings + "Tokens: [{SHA256: ab, Role: Read, Name: ops}]\n", []string{"Tokens[0].SHA256"}},
		{"bad time", validSettings + "Timing: {SeatTermMillis: 5}\n", []string{"Timing.SeatTermMillis"}},
		{"certificate without private key", validSettings + "TLS: {Certificate: c.pem}\n", []string{"TLS"}},
		{"bad level", validSettings + "Log: {Level: loud}\n", []string{"Log.Level"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			_, err := Parse("entry.yaml", []byte(test.text))
			var problems *ProblemsError
			is.True(errors.As(err, &problems))
			for _, key := range test.keys {
				if !strings.Contains(err.Error(), key+":") {
					t.Errorf("no problem names %s: %v", key, err)
				}
			}
			for _, problem := range problems.Problems {
				is.Equal(problem.File, "entry.yaml")
				is.True(problem.Expected != "")
			}
		})
	}
}

// FuzzParse checks that Parse returns either settings or a *ProblemsError for
// any input, and never panics.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte("Listen: [1"))
	f.Add([]byte("Tokens: [{Role: Nobody}]"))
	f.Fuzz(func(t *testing.T, data []byte) {
		settings, err := Parse("fuzz.yaml", data)
		var problems *ProblemsError
		if err != nil && !errors.As(err, &problems) {
			t.Fatalf("error is not a *ProblemsError: %v", err)
		}
		if (settings == nil) == (err == nil) {
			t.Fatal("got neither settings nor an error, or both; expected exactly one")
		}
	})
}
