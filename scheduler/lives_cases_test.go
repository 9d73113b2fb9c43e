package scheduler

import (
	"time"
)

// A case of the search of lives: its jobs, its faults and the fates of its calls.

// fateKind is what becomes of a call.
type fateKind int

const (
	// fateAnswered is the zero value: the call is executed and answered.
	fateAnswered fateKind = iota
	// fateLost means that it is executed and the answer is lost.
	fateLost
	// fateLate means that it is executed after a delay, by whatever life is there then.
	fateLate
	// fateNever means that it is never executed.
	fateNever
)

func (k fateKind) String() string { return [...]string{"answered", "lost", "late", "never"}[k] }

// livesFate is the fate of a call.
type livesFate struct {
	kind fateKind
	// delay is how long after its arrival a late call is executed.
	delay time.Duration
	// held lets a call to a worker that is down or cut off arrive when that is over.
	held bool
	// slow is added to the time until the call arrives, back to that of its answer.
	slow, back time.Duration
}

// faultKind is the kind of a fault that a case schedules.
type faultKind int

const (
	faultRebirth faultKind = iota
	faultCut
	faultOwnerLost
	faultFreeze
	// faultStaleEntry lets the list show the entry of a former life.
	faultStaleEntry
)

func (k faultKind) String() string {
	return [...]string{"rebirth", "cut", "owner lost", "owner stands still", "stale entry"}[k]
}

// livesFault is a scheduled fault.
type livesFault struct {
	kind   faultKind
	worker int
	at     time.Duration
	// length is how long the worker is down or cut off, or until the next owner begins.
	length time.Duration
	// listedAfter is how long after a rebirth the list shows the new life.
	listedAfter time.Duration
	// refuses makes the host of a worker that is down refuse connections.
	refuses bool
	// unlisted lets the list lack the worker from the middle of its absence until it has
	// shown itself again.
	unlisted bool
	// lands lets the batch in flight of a lost owner reach the store; lingers lets the
	// owner issue orders until its lease expires, although it doesn't reach the store.
	lands, lingers bool
	// afterStart lets the owner be lost right after it has sent a start.
	afterStart bool
	// moves lets the next life begin at another address, taken lets another host ID answer
	// at the one that it has left.
	moves, taken bool
	// lives is how many lives back the stale entry is.
	lives int
}

// livesJob is a job of one step.
type livesJob struct {
	at     time.Duration
	length time.Duration
	gang   bool
	// removed takes the job out of the case; the others keep their numbers.
	removed bool
}

// livesStorm is a time in which the calls to a worker may have no answers.
type livesStorm struct {
	worker   int
	from, to time.Duration
	// weights are those of the fates.
	weights [4]int
}

// livesCase is a case of the search.
type livesCase struct {
	seed    uint64
	workers int
	step    time.Duration
	jobs    []livesJob
	faults  []livesFault
	storms  []livesStorm
	// fates, if it is set, chooses the fates instead of the storms.
	fates func(*livesCall, *[duelCalls]int) livesFate
	// calm has the calls that are answered all the same.
	calm map[callKey]bool
	// plain is an owner without bounded leases, slow a store that is slow, so that owners
	// of earlier versions start eagerly.
	plain, slow bool
	// clocksFromZero makes the clock of each life begin from 0, and not from any time.
	clocksFromZero bool
	// slowClocks makes the clocks of the workers run at the lowest rate.
	slowClocks bool
	// ownerClocks are what the clocks of owners show beyond the time of the model, in turn.
	ownerClocks []time.Duration
	// kills is how long after its lease has expired a run ends.
	kills time.Duration
	// pastEnds is how many ends each worker has listed before.
	pastEnds int64
	// endsPerReport is the most ends that a report lists.
	endsPerReport int
	// storedFirst lets an owner be lost only once each start that is not answered is stored.
	storedFirst bool
	// skewed makes the births that workers tell differ from the true ones, so that they
	// don't rise from life to life.
	skewed bool
	// mutate breaks a rule of the core before each tick, if it is set.
	mutate func(*Core)
}
