package scheduler

import "time"

// A worker's birth, the time at which its current incarnation started, is known
// from two sources. The list of workers may show any birth: its entries may come
// from another writer, and the clock of a worker may be set back between two
// lives. What the worker reports is certain if it was asked after the birth that
// the owner knows of was observed.

// maxBirthLead is how far ahead of the owner's clock a listed birth may be: the
// clocks of hosts differ.
const maxBirthLead = 5 * time.Second

// observeListedBirth handles the birth in a reading of the list. One that is later
// than those before it shows a new incarnation. A reading may be older than the
// one before, so an earlier birth shows nothing, and one that lies ahead shows
// nothing before the worker reports it.
func (c *Core) observeListedBirth(w *worker, bootedAt time.Time) {
	c.checkGrantedTo(w, bootedAt)
	if !bootedAt.After(w.listedBirth) {
		return
	}
	w.listedBirth = bootedAt
	if bootedAt.After(c.now.Add(maxBirthLead)) {
		c.log(LogRecord{Worker: w.info.HostID, Event: "worker's birth", Why: "the list has a birth that lies ahead; only its reports count"})
		return
	}
	c.updateIncarnation(w, bootedAt)
}

// observeReportedBirth handles the birth in a report. It returns false if the
// report is of an earlier incarnation.
func (c *Core) observeReportedBirth(w *worker, order PollOrder, bootedAt time.Time) bool {
	w.reportedBirth = bootedAt
	if bootedAt.IsZero() || bootedAt.Equal(w.bootedAt) {
		return true
	}
	if !order.SentAt.After(w.birthSeenAt) {
		return false
	}
	if bootedAt.Before(w.bootedAt) {
		c.reborn(w, bootedAt)
		return true
	}
	c.updateIncarnation(w, bootedAt)
	return true
}

// infoIsCurrent reports whether the worker's entry in the list is of its current
// incarnation, as far as births are known. Another one may have been of another
// kind.
func (w *worker) infoIsCurrent() bool {
	return w.info.BootedAt.IsZero() || w.bootedAt.IsZero() || w.info.BootedAt.Equal(w.bootedAt)
}
