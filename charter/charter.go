// Package charter implements state machines that follow state charts. Charts
// define the life cycles of calls, tasks, shards (the chart "seat"), endpoints and
// circuit breakers.
//
// A chart is a YAML file under charts/. It names an initial state and, for each
// state, the events that are allowed in it and the states that they lead to. The
// files are embedded in the program. MustLoad compiles a chart; a Machine is a
// small value that refers to the chart and holds the current state. Code fires
// events by name and never assigns a state, so the file defines all transitions.
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

// chartFile is the content of a chart's file.
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

// MustLoad compiles the embedded chart with the name. It panics if the chart is
// missing or invalid, which is a fault of the program, since the files are part
// of it.
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

// Parse compiles a chart from YAML. It returns an error for unknown keys, states
// that are defined more than once, an undefined initial state, transitions to
// undefined states, and states that are final but have transitions or have none
// but are not final.
func Parse(data []byte) (*Chart, error) {
	var file chartFile
	if err := yaml.UnmarshalWithOptions(data, &file, yaml.Strict()); err != nil {
		return nil, errors.Wrap(err, "parse chart")
	}
	chart := &Chart{name: file.Name, initial: file.Initial, states: make(map[State]map[Event]State)}
	for _, state := range file.States {
		if _, ok := chart.states[state.Name]; ok {
			return nil, errors.Newf("chart %s: state %s is defined more than once", file.Name, state.Name)
		}
		if state.Final != (len(state.On) == 0) {
			return nil, errors.Newf("chart %s: state %s: Final must be true if and only if the state has no transitions", file.Name, state.Name)
		}
		chart.states[state.Name] = make(map[Event]State, len(state.On))
		for _, transition := range state.On {
			chart.states[state.Name][transition.Event] = transition.To
		}
	}
	return chart, chart.validate()
}

// validate checks that the initial state and the target of each transition are
// defined.
func (c *Chart) validate() error {
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

// Machine is a state machine that follows a chart.
type Machine struct {
	chart *Chart
	state State
}

// State returns the current state.
func (m Machine) State() State { return m.state }

// In reports whether the current state is one of states.
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

// Can reports whether event is allowed in the current state.
func (m Machine) Can(event Event) bool {
	_, ok := m.chart.states[m.state][event]
	return ok
}

// Fire makes the transition of event. If the event is not allowed in the current
// state, Fire returns a *TransitionError and leaves the state unchanged.
func (m *Machine) Fire(event Event) error {
	to, ok := m.chart.states[m.state][event]
	if !ok {
		return &TransitionError{Chart: m.chart.name, State: m.state, Event: event}
	}
	m.state = to
	return nil
}

// TransitionError reports an event that is not allowed in the current state.
type TransitionError struct {
	Chart string
	State State
	Event Event
}

func (e *TransitionError) Error() string {
	return fmt.Sprintf("chart %s: event %s is not allowed in state %s", e.Chart, e.Event, e.State)
}
