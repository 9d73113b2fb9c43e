package scheduler

import (
	"net/netip"
	"time"
)

// A worker's birth, the time at which its current incarnation started, is known
// from two sources. Births are times of day, so they needn't rise from one life to
// the next. The list of workers may show any birth: its entries may come from
// another writer or be outdated, as the last write of an ended life may arrive late.
// What the worker reports is certain if it was asked after the birth that the owner
// knows of was observed.
//
// So the list tells the birth of a worker only until that has told its own. From
// then on an entry with another birth proves nothing: the worker is asked as soon as
// no poll is in flight, at the address in the entry too, and gets no new tasks until
// its entry and its reports agree.

// maxBirthLead is how far ahead of the owner's clock a listed birth may be: the
// clocks of hosts differ.
const maxBirthLead = 5 * time.Second

// observeEntry handles the worker's entry in a reading of the list.
func (c *Core) observeEntry(w *worker, info WorkerInfo) {
	c.checkGrantedTo(w, info.BootedAt)
	changed := !info.BootedAt.Equal(w.listedBirth)
	w.listedBirth = info.BootedAt
	if w.toldBirth() && !info.BootedAt.Equal(w.bootedAt) {
		c.doubtEntry(w, info, changed)
		return
	}
	c.adoptEntry(w, info)
	if changed && !w.toldBirth() {
		c.observeListedBirth(w, info)
	}
}

// toldBirth reports whether the known birth is that of an incarnation which has reported
// to this owner.
func (w *worker) toldBirth() bool {
	return w.heard || w.reported && !w.bootedAt.IsZero()
}

// adoptEntry makes an entry the worker's info.
func (c *Core) adoptEntry(w *worker, info WorkerInfo) {
	if w.otherEntry != nil {
		w.otherEntry, c.birthsDirty = nil, true
		c.markFreed(w)
	}
	c.updateRoom(w, info)
	if info.Address != w.info.Address {
		w.ended = false
	}
	w.setInfo(info)
	if !w.heard && !w.inherited {
		c.setHome(w, info.Address)
	}
}

// doubtEntry keeps an entry aside whose birth isn't the one that the worker has told, and
// has the worker asked if the list didn't show that birth before. A poll in flight is waited
// for: its answer may be the one that tells, and two at a time would go on for good.
func (c *Core) doubtEntry(w *worker, info WorkerInfo, changed bool) {
	c.birthsDirty = c.birthsDirty || w.otherEntry == nil
	w.otherEntry = &info
	if !changed {
		return
	}
	c.noteListedBirth(w, info, "the list has another one than the worker has told; only its reports count")
	_, w.lookElsewhere = w.elsewhere()
	w.lookNow, w.nextPollAt = true, c.now
}

// observeListedBirth handles another birth in the list than before, of a worker that has
// not told its own. One that lies ahead shows nothing before the worker reports it.
func (c *Core) observeListedBirth(w *worker, info WorkerInfo) {
	switch {
	case info.BootedAt.IsZero() || info.BootedAt.Equal(w.bootedAt):
	case info.BootedAt.After(c.now.Add(maxBirthLead)):
		c.noteListedBirth(w, info, "the list has a birth that lies ahead; only its reports count")
	default:
		c.observeOtherBirth(w, info.BootedAt, shownByList)
	}
}

// observeReportedBirth handles the birth in a report. It returns false if the
// report is of an earlier incarnation.
func (c *Core) observeReportedBirth(w *worker, order PollOrder, bootedAt time.Time) bool {
	if bootedAt.IsZero() {
		c.setHome(w, order.Worker.Address)
		return true
	}
	if !bootedAt.Equal(w.bootedAt) {
		if !order.SentAt.After(w.birthSeenAt) {
			return false
		}
		c.observeOtherBirth(w, bootedAt, shownByReport)
	}
	w.heard = true
	c.setHome(w, order.Worker.Address)
	if entry := w.otherEntry; entry != nil && entry.BootedAt.Equal(bootedAt) {
		c.adoptEntry(w, *entry)
	}
	if w.otherEntry == nil && w.info.Address != w.home && w.infoIsOf(bootedAt) {
		w.lookElsewhere = true // its own entry names another address
	}
	return true
}

// observeOtherBirth handles the birth of another incarnation than the known one; shownBy is
// what has shown it.
func (c *Core) observeOtherBirth(w *worker, bootedAt time.Time, shownBy string) {
	if w.bootedAt.IsZero() {
		c.checkGrantedTo(w, bootedAt)
		w.bootedAt, w.birthSeenAt = bootedAt, c.now
		return
	}
	c.reborn(w, bootedAt, shownBy)
}

// infoIsCurrent reports whether the worker's entry in the list is of its current
// incarnation, as far as births are known. Another one may have been of another
// kind.
func (w *worker) infoIsCurrent() bool {
	return w.otherEntry == nil && w.info.Address == w.address() && (w.bootedAt.IsZero() || w.infoIsOf(w.bootedAt))
}

// infoIsOf reports whether the worker's info may be that of an incarnation.
func (w *worker) infoIsOf(bootedAt time.Time) bool {
	return w.info.BootedAt.IsZero() || w.info.BootedAt.Equal(bootedAt)
}

// entry returns the worker's entry in the last reading of the list that had one.
func (w *worker) entry() WorkerInfo {
	if w.otherEntry != nil {
		return *w.otherEntry
	}
	return w.info
}

// address returns where the worker gets its orders: where it has told its birth, or where
// it is listed.
func (w *worker) address() netip.AddrPort {
	if w.heard {
		return w.home
	}
	return w.info.Address
}

// elsewhere returns the other address at which the worker may be: that of its entry, or
// the one at which a previous owner knew it, unless it is known to have left that.
func (w *worker) elsewhere() (address netip.AddrPort, known bool) {
	address = w.home
	if w.heard {
		address = w.entry().Address
	} else if w.ended {
		return address, false
	}
	return address, address.IsValid() && address != w.address()
}
