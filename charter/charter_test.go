package charter

import (
	"testing"

	"github.com/matryer/is"
)

func TestChartsLoad(t *testing.T) {
	for _, name := range []string{"seat", "call", "task", "endpoint", "breaker"} {
		is := is.New(t)
		chart := MustLoad(name)
		is.Equal(chart.name, name)
	}
}

func TestParseRejects(t *testing.T) {
	tests := []struct {
		name string
		text string
	}{
		{"undefined initial", "Name: x\nInitial: A\nStates: []"},
		{"undefined target", "Name: x\nInitial: A\nStates: [{Name: A, On: [{Event: e, To: B}]}]"},
		{"final state with transitions", "Name: x\nInitial: A\nStates: [{Name: A, Final: true, On: [{Event: e, To: A}]}]"},
		{"state without transitions that is not final", "Name: x\nInitial: A\nStates: [{Name: A}]"},
		{"state defined twice", "Name: x\nInitial: A\nStates: [{Name: A, Final: true}, {Name: A, Final: true}]"},
		{"unknown key", "Name: x\nInitial: A\nColour: red\nStates: [{Name: A, Final: true}]"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			_, err := Parse([]byte(test.text))
			is.True(err != nil)
		})
	}
}

func TestFire(t *testing.T) {
	is := is.New(t)
	machine := MustLoad("breaker").Start()
	is.NoErr(machine.Fire("Trip"))
	is.Equal(machine.State(), State("Open"))
	is.True(machine.Fire("Succeed") != nil) // not allowed while open
	is.Equal(machine.State(), State("Open"))
}
