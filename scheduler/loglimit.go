package scheduler

import (
	"strconv"
	"time"
)

// A job that ends may have very many runs, and a line for each that is stopped and each that has
// ended takes more of the processor than stopping them. So lines of these events are limited, and
// one line says how many were left out. Lines of starts and of runs that end by themselves are
// not limited.

const (
	// maxStopLines is the most lines of one event within stopLinesInterval.
	maxStopLines      = 500
	stopLinesInterval = time.Second
)

// limitedEvent is an event whose lines are limited.
type limitedEvent int

const (
	// eventStop is a stop as it is issued, eventStopped the reported end of a run that was
	// stopped, eventOrphan a run that no task needs, eventWaits a step
	// that waits, eventLeft a start that an owner leaves to its successor.
	eventStop limitedEvent = iota
	eventStopped
	eventOrphan
	eventWaits
	eventLeft
	limitedEvents
)

// limitedEventNames has the names of the events in the log.
var limitedEventNames = [limitedEvents]string{"stop", "run ended", "orphaned run stopped", "step waits", "start left"}

// lineCount counts the lines of one event since a time.
type lineCount struct {
	since            time.Time
	written, omitted int
}

// logLimited logs a record unless the event has had its lines. Only then the record is made.
func (c *Core) logLimited(event limitedEvent, record func() LogRecord) {
	count := &c.lineCounts[event]
	if c.now.Sub(count.since) >= stopLinesInterval {
		c.logOmitted(event)
		*count = lineCount{since: c.now}
	}
	if count.written >= maxStopLines {
		count.omitted++
		return
	}
	count.written++
	made := record()
	made.Event = limitedEventNames[event]
	c.log(made)
}

// logOmitted logs how many lines of an event were left out, if any were.
func (c *Core) logOmitted(event limitedEvent) {
	count := &c.lineCounts[event]
	if count.omitted > 0 {
		c.log(LogRecord{Event: limitedEventNames[event] + ", not logged", Why: strconv.Itoa(count.omitted) + " after the first " + strconv.Itoa(count.written) + " of a second"})
		count.omitted = 0
	}
}

// logAllOmitted logs what was left out of the lines of all events whose interval is over.
func (c *Core) logAllOmitted() {
	for event := range limitedEvents {
		if c.now.Sub(c.lineCounts[event].since) >= stopLinesInterval {
			c.logOmitted(event)
		}
	}
}
