package dispatcher

import (
	"strings"

	"kumquatstall/encoder"
	"kumquatstall/keeper"
	"kumquatstall/scheduler"
)

// What is stored is told over links at once. Links may lose it: everybody also
// follows the store's changes, some time later.

// tellOwner tells the owner of what has just been stored.
func (d *Dispatcher) tellOwner(message *encoder.JobStored) {
	owner := d.board.ownerView()
	if owner.row.Holder == d.options.Self {
		d.toSession(func(s *session) { s.stored(message) })
		return
	}
	d.linker.Send(owner.row.Holder, message)
}

// stored takes in what an entry has stored. Before the cell's rows are read it
// isn't known whether an earlier owner has begun the job; then the rows will
// tell.
func (s *session) stored(message *encoder.JobStored) {
	if !s.loaded {
		return
	}
	now := s.dispatcher.clock.Now()
	if message.Cancelled != "" {
		s.core.Cancel(now, message.Cancelled)
		return
	}
	s.add(now, message.Job)
}

// tellStates tells all entries of the states that a commit has stored.
func (s *session) tellStates(batch *scheduler.Batch, revision int64) {
	message := &encoder.StatesStored{Revision: revision}
	for _, save := range batch.Writes {
		if strings.HasPrefix(save.Key, scheduler.StatePrefix) && save.Value != nil {
			message.States = append(message.States, encoder.StoredState{Key: save.Key, Value: save.Value})
		}
	}
	if len(message.States) == 0 {
		return
	}
	s.dispatcher.takeStates(message)
	for _, id := range s.dispatcher.linkedPeers() {
		s.dispatcher.linker.Send(id, message)
	}
}

func (d *Dispatcher) takeStates(message *encoder.StatesStored) {
	for _, state := range message.States {
		d.takeRow(Change{Row: keeper.Row{Key: state.Key, Value: state.Value, Revision: message.Revision}})
	}
}
