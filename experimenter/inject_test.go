package experimenter

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"kumquatstall/standin"
)

// faultyHost records the faults that it was given.
type faultyHost struct{ given []standin.EndpointFaults }

func (h *faultyHost) SetFaults(faults standin.EndpointFaults) { h.given = append(h.given, faults) }

// TestHostsStayDisturbed guards against faults that reach other hosts than the first ones, or that
// outlast their end or the context.
func TestHostsStayDisturbed(t *testing.T) {
	is := is.New(t)
	hosts := []*faultyHost{{}, {}, {}}
	faults := standin.EndpointFaults{FailEvery: 1}
	began := time.Now()
	disturbHosts(context.Background(), began.Add(20*time.Millisecond), hosts, 2, faults)
	is.True(time.Since(began) >= 20*time.Millisecond)
	for _, host := range hosts[:2] {
		is.Equal(host.given, []standin.EndpointFaults{faults, {}})
	}
	is.Equal(len(hosts[2].given), 0)

	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	disturbHosts(ctx, time.Now().Add(time.Hour), hosts, 9, faults) // more than there are
	for _, host := range hosts {
		is.Equal(host.given[len(host.given)-2:], []standin.EndpointFaults{faults, {}})
	}
}
