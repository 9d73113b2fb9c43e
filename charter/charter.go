// Package charter interprets the state charts that govern the life of calls,
// tasks, seats and endpoints.
//
// A chart is a YAML file under charts/. It names an initial state and, for
// each state, the events that leave it. The files are embedded in the program
// and compiled once; a Machine is then a small value that holds the current
// state. Code fires events by name and never assigns a state directly, so the
// file is the whole truth about which transitions exist.
package charter

import (
	"embed"
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/goccy/go-yaml"
)

//go:embed charts/*.yaml
var files embed.FS

// State is the name of a state in a chart.
type State string

// Event is the name of an event in a chart.
type Event string

// Chart is a compiled state chart. It is immutable.
type Chart struct {
	name    string
	initial State
	states  map[State]map[Event]State
}

type chartFile struct {
	Name    string      `yaml:"Name"`
	Initial State       `yaml:"Initial"`
	States  []stateFile `yaml:"States"`
}

type stateFile struct {
	Name  State            `yaml:"Name"`
	Final bool             `yaml:"Final"`
	On    []transitionFile `yaml:"On"`
}

type transitionFile struct {
	Event Event `yaml:"Event"`
	To    State `yaml:"To"`
}

// MustLoad returns the embedded chart of that name. It panics where the chart
// is missing or wrong: the files are part of the program.
func MustLoad(name string) *Chart {
	data, err := files.ReadFile("charts/" + name + ".yaml")
	if err != nil {
		panic(err)
	}
	chart, err := Parse(data)
	if err != nil {
		panic(err)
	}
	return chart
}

// Parse compiles a chart from YAML.
func Parse(data []byte) (*Chart, error) {
	var file chartFile
	if err := yaml.UnmarshalWithOptions(data, &file, yaml.Strict()); err != nil {
		return nil, errors.Wrap(err, "parse chart")
	}
	chart := &Chart{name: file.Name, initial: file.Initial, states: make(map[State]map[Event]State)}
	for _, state := range file.States {
		if _, ok := chart.states[state.Name]; ok {
			return nil, errors.Newf("chart %s: state %s stands twice", file.Name, state.Name)
		}
		if state.Final != (len(state.On) == 0) {
			return nil, errors.Newf("chart %s: state %s: a state is final exactly when nothing leaves it", file.Name, state.Name)
		}
		chart.states[state.Name] = make(map[Event]State, len(state.On))
		for _, transition := range state.On {
			chart.states[state.Name][transition.Event] = transition.To
		}
	}
	return chart, chart.check()
}

// check verifies that every state named by a transition exists.
func (c *Chart) check() error {
	if _, ok := c.states[c.initial]; !ok {
		return errors.Newf("chart %s: initial state %q is not defined", c.name, c.initial)
	}
	for state, transitions := range c.states {
		for event, to := range transitions {
			if _, ok := c.states[to]; !ok {
				return errors.Newf("chart %s: %s on %s leads to undefined state %q", c.name, state, event, to)
			}
		}
	}
	return nil
}

// Start returns a machine in the chart's initial state.
func (c *Chart) Start() Machine { return Machine{chart: c, state: c.initial} }

// Machine is one instance of a chart.
type Machine struct {
	chart *Chart
	state State
}

// State returns the current state.
func (m Machine) State() State { return m.state }

// In reports whether the machine is in one of states.
func (m Machine) In(states ...State) bool {
	for _, state := range states {
		if m.state == state {
			return true
		}
	}
	return false
}

// Ended reports whether the current state is final.
func (m Machine) Ended() bool { return len(m.chart.states[m.state]) == 0 }

// Can reports whether event leaves the current state.
func (m Machine) Can(event Event) bool {
	_, ok := m.chart.states[m.state][event]
	return ok
}

// Fire moves the machine along event. The error is a *TransitionError, and
// the state is unchanged, where the chart has no such transition.
func (m *Machine) Fire(event Event) error {
	to, ok := m.chart.states[m.state][event]
	if !ok {
		return &TransitionError{Chart: m.chart.name, State: m.state, Event: event}
	}
	m.state = to
	return nil
}

// TransitionError reports an event that the current state does not allow.
type TransitionError struct {
	Chart string
	State State
	Event Event
}

func (e *TransitionError) Error() string {
	return fmt.Sprintf("chart %s: event %s is not allowed in state %s", e.Chart, e.Event, e.State)
}
