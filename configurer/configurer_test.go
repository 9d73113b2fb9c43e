package configurer

import (
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

const goodSettings = `
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
	settings, err := Parse("entry.yaml", []byte(goodSettings))
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
		{"unknown key", goodSettings + "Colour: red\n", []string{"Colour"}},
		{"open to the world", strings.Replace(goodSettings, "127.0.0.1:7000", "0.0.0.0:7000", 1), []string{"Listen"}},
		{"unknown data centre", strings.Replace(goodSettings, "DataCentre: yame", "DataCentre: okawa", 1), []string{"DataCentre"}},
		{"too few seats", strings.Replace(goodSettings, "Seats: 8", "Seats: 1", 1), []string{"DataCentres[0].Seats"}},
		{"bad key", goodSettings + "LinkKey: xyz\n", []string{"LinkKey"}},
		{"bad token", goodSettings + "Tokens: [{SHA256: ab, Role: Read, Name: ops}]\n", []string{"Tokens[0].SHA256"}},
		{"bad time", goodSettings + "Timing: {SeatTermMillis: 5}\n", []string{"Timing.SeatTermMillis"}},
		{"half of TLS", goodSettings + "TLS: {Certificate: c.pem}\n", []string{"TLS"}},
		{"bad level", goodSettings + "Log: {Level: loud}\n", []string{"Log.Level"}},
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

// FuzzParse checks that no settings make the parser fail other than by
// reporting problems.
func FuzzParse(f *testing.F) {
	f.Add([]byte(goodSettings))
	f.Add([]byte("Listen: [1"))
	f.Add([]byte("Tokens: [{Role: Nobody}]"))
	f.Fuzz(func(t *testing.T, data []byte) {
		settings, err := Parse("fuzz.yaml", data)
		var problems *ProblemsError
		if err != nil && !errors.As(err, &problems) {
			t.Fatalf("error is not a list of problems: %v", err)
		}
		if (settings == nil) == (err == nil) {
			t.Fatal("neither settings nor an error, or both")
		}
	})
}
