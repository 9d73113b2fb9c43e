package dispatcher

import "kumquatstall/requester"

// StrongestPeer returns the entry that this one would name as its successor.
func (d *Dispatcher) StrongestPeer() requester.EntryID {
	id, _ := d.peerWithMostCores()
	return id
}

// ForgetCapacities makes this entry forget the cores of the others, as if their
// messages had been lost.
func (d *Dispatcher) ForgetCapacities() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, linked := range d.linked {
		linked.cores = 0
		d.linked[id] = linked
	}
}
