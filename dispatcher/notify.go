package dispatcher

import (
	"strings"

	"kumquatstall/encoder"
	"kumquatstall/keeper"
	"kumquatstall/scheduler"
)

// Rows that were just stored are sent over links at once. Links may lose
// messages, so every entry also watches the store, whose changes arrive later.

// notifyOwner notifies the owner of a job or cancellation that was just stored.
func (d *Dispatcher) notifyOwner(message *encoder.JobStored) {
	owner := d.cache.ownerView()
	if owner.row.Holder == d.options.Self {
		d.postToSession(func(s *session) { s.handleJobStored(message) })
		return
	}
	d.linker.Send(owner.row.Holder, message)
}

// handleJobStored adds or cancels a job that an entry has just stored. Before
// the cell's rows are loaded it does nothing, as a previous owner may have
// started the job: only the rows, which include the job, show that.
func (s *session) handleJobStored(message *encoder.JobStored) {
	if !s.loaded {
		return
	}
	now := s.dispatcher.clock.Now()
	if message.Cancelled != "" {
		s.core.Cancel(now, message.Cancelled)
		return
	}
	key := scheduler.JobKey(message.Job.JobID)
	if err := checkJob(key, &message.Job); err != nil {
		s.dispatcher.logOddRow(key, err, "an entry sent an invalid job; only its row counts")
		return
	}
	s.addJob(now, message.Job)
}

// publishStates sends the states that a commit has written to all linked
// entries.
func (s *session) publishStates(batch *scheduler.Batch, revision int64) {
	message := &encoder.StatesStored{Revision: revision}
	for _, write := range batch.Writes {
		if strings.HasPrefix(write.Key, scheduler.StatePrefix) && write.Value != nil {
			message.States = append(message.States, encoder.StoredState{Key: write.Key, Value: write.Value})
		}
	}
	if len(message.States) == 0 {
		return
	}
	s.dispatcher.applyStates(message)
	for _, id := range s.dispatcher.linkedPeers() {
		s.dispatcher.linker.Send(id, message)
	}
}

// applyStates applies states that the owner has published.
func (d *Dispatcher) applyStates(message *encoder.StatesStored) {
	for _, state := range message.States {
		d.applyChange(Change{Row: keeper.Row{Key: state.Key, Value: state.Value, Revision: message.Revision}})
	}
}
