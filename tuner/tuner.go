// Package tuner holds the configuration that operators change at run time:
// profiles, trades, services and the drain marks of leaving hosts.
//
// The configuration consists of Items. One counter, the head, numbers all
// accepted changes; an item's revision is the value of the head at its last
// change. A change is accepted once the transaction that writes the new head, the
// item and a row of the history is known to have committed. An entry then sends
// the change to its peers as an Update. An entry that has missed changes requests
// them from a peer or reads the rows of the table. A Store applies an
// item only if its revision is higher than the one that it has, so that an older
// version never replaces a newer one, in whatever order messages arrive.
//
// The package does no input or output: it builds transactions and applies rows.
package tuner

import (
	"encoding/json"
	"sort"
	"time"

	"github.com/cockroachdb/errors"

	"kumquatstall/keeper"
	"kumquatstall/requester"
)

//go:generate go tool -modfile=../tools/go.mod stringer -type=ItemKind -trimprefix=Item -linecomment

// ItemKind is the kind of object that an item configures.
type ItemKind int

// The kinds of items.
const (
	ItemProfile ItemKind = iota
	ItemTrade
	ItemService
	ItemDrainMark // Mark
)

var itemKinds = []ItemKind{ItemProfile, ItemTrade, ItemService, ItemDrainMark}

// MarshalText encodes the kind as its name.
func (k ItemKind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText decodes the name of a kind.
func (k *ItemKind) UnmarshalText(text []byte) error {
	for _, kind := range itemKinds {
		if kind.String() == string(text) {
			*k = kind
			return nil
		}
	}
	return errors.Newf("item kind %q is not defined", text)
}

// ItemID identifies an item.
type ItemID struct {
	Kind ItemKind
	Name string
}

// Item is the configuration of one object. Of Profile, Trade, Service and Mark
// only the field of its kind is set.
type Item struct {
	ItemID
	// Revision is the value of the head at the item's last change.
	Revision int64
	// RowRevision is the revision of the item's row in the table.
	RowRevision int64
	Deleted     bool           `json:",omitempty" cbor:",omitempty"`
	Profile     *Profile       `json:",omitempty" cbor:",omitempty"`
	Trade       *TradeConfig   `json:",omitempty" cbor:",omitempty"`
	Service     *ServiceConfig `json:",omitempty" cbor:",omitempty"`
	Mark        *DrainMark     `json:",omitempty" cbor:",omitempty"`
}

// TradeConfig sets the weight and the quota of a trade.
type TradeConfig struct {
	Name requester.Trade
	// Weight determines the trade's share relative to other trades; 0.01 to
	// 1000.
	Weight float64
	// Quota is the maximum of resources that the trade's tasks may have
	// allocated at once in a data centre; a zero dimension means no limit.
	Quota requester.Resources `json:",omitzero"`
}

// ServiceConfig assigns a profile to a service.
type ServiceConfig struct {
	Name    requester.Service
	Profile string
}

// DrainMark is the mark that operators set on a host for it to be drained.
// Leaving is true while the mark is in force. By is the name of the operator.
type DrainMark struct {
	HostID  requester.HostID
	Leaving bool
	By      string `json:",omitempty" cbor:",omitempty"`
}

// Change is an accepted change of an item, as stored in a row of the history. By
// is the name of the operator.
type Change struct {
	Revision int64
	ChangeID string
	At       time.Time
	By       string `json:",omitempty"`
	Item     Item
}

// Keys of the table rows that hold the configuration.
const (
	HeadKey    = "config/head"
	itemPrefix = "config/item/"
	// HistoryPrefix is the prefix of the keys of the history rows.
	HistoryPrefix = "config/history/"
)

// headRow is the value of the row HeadKey.
type headRow struct {
	Revision int64
	ChangeID string
}

// Store is one entry's copy of the configuration.
type Store struct {
	items map[ItemID]Item
	// head is the highest revision up to which every change has been applied.
	head int64
	// headRowRevision is the revision of the head row in the table.
	headRowRevision int64
	version         int64
}

// NewStore returns an empty configuration.
func NewStore() *Store { return &Store{items: make(map[ItemID]Item)} }

// Head returns the highest revision up to which every change has been applied.
func (s *Store) Head() int64 { return s.head }

// Version returns a number that increases whenever the store changes.
func (s *Store) Version() int64 { return s.version }

// HeadRowRevision returns the revision of the head row in the table.
func (s *Store) HeadRowRevision() int64 { return s.headRowRevision }

// Item returns an item, unless it is unknown or deleted.
func (s *Store) Item(id ItemID) (Item, bool) {
	item, ok := s.items[id]
	return item, ok && !item.Deleted
}

// Items returns the items of a kind that are not deleted, sorted by name.
func (s *Store) Items(kind ItemKind) []Item {
	var found []Item
	for id, item := range s.items {
		if id.Kind == kind && !item.Deleted {
			found = append(found, item)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Name < found[j].Name })
	return found
}

// Since returns the items changed after a revision, deleted ones included, sorted
// by revision.
func (s *Store) Since(revision int64) []Item {
	var found []Item
	for _, item := range s.items {
		if item.Revision > revision {
			found = append(found, item)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Revision < found[j].Revision })
	return found
}

// Update is a set of items that contains all changes after the revision After up
// to and including Head.
type Update struct {
	After           int64
	Head            int64
	HeadRowRevision int64
	Items           []Item
}

// UpdateSince returns the update that brings a store whose head is revision up to
// date.
func (s *Store) UpdateSince(revision int64) Update {
	return Update{After: revision, Head: s.head, HeadRowRevision: s.headRowRevision, Items: s.Since(revision)}
}

// Apply applies an update and reports whether the store changed. Items that are
// not newer than those in the store are ignored. The head advances only if no
// change between it and the update is missing.
func (s *Store) Apply(update Update) bool {
	changed := false
	for _, item := range update.Items {
		if known, ok := s.items[item.ItemID]; ok && known.Revision >= item.Revision {
			continue
		}
		s.items[item.ItemID] = item
		changed = true
	}
	if update.After <= s.head && update.Head > s.head {
		s.head = update.Head
		s.headRowRevision = update.HeadRowRevision
		changed = true
	}
	if changed {
		s.version++
	}
	return changed
}

// ApplyRows applies the configuration's rows, which must come from one read, and
// reports whether the store changed.
func (s *Store) ApplyRows(rows []keeper.Row) (bool, error) {
	var update Update
	for _, row := range rows {
		switch {
		case row.Key == HeadKey:
			var head headRow
			if err := json.Unmarshal(row.Value, &head); err != nil {
				return false, errors.Wrapf(err, "decode row %s", row.Key)
			}
			update.Head = head.Revision
			update.HeadRowRevision = row.Revision
		case len(row.Key) > len(itemPrefix) && row.Key[:len(itemPrefix)] == itemPrefix:
			var item Item
			if err := json.Unmarshal(row.Value, &item); err != nil {
				return false, errors.Wrapf(err, "decode row %s", row.Key)
			}
			item.RowRevision = row.Revision
			update.Items = append(update.Items, item)
		}
	}
	return s.Apply(update), nil
}

// ReadRequest returns the read of the rows that ApplyRows requires.
func ReadRequest() keeper.ReadRequest {
	return keeper.ReadRequest{Keys: []string{HeadKey}, Prefixes: []string{itemPrefix}}
}

// AnyRevision as the expected revision lets Propose replace any revision.
const AnyRevision = -1

// StaleError reports that an item has changed since the revision on which an
// operator based a change. Current is the item as the store has it.
type StaleError struct {
	Current Item
}

func (e *StaleError) Error() string {
	return "item " + e.Current.Name + " has changed since it was read"
}

// Propose returns the transaction that changes an item, and the change that is
// accepted if it commits. expected is the revision of the item that the operator
// read, 0 if the item did not exist, or AnyRevision. The error is a *StaleError
// or a *requester.FieldError.
func (s *Store) Propose(item Item, expected int64, changeID, by string, now time.Time) (keeper.Transaction, Change, error) {
	if err := item.Validate(s); err != nil {
		return keeper.Transaction{}, Change{}, err
	}
	known := s.items[item.ItemID]
	if expected != AnyRevision && known.Revision != expected {
		known.ItemID = item.ItemID
		return keeper.Transaction{}, Change{}, &StaleError{Current: known}
	}
	item.Revision = s.head + 1
	item.RowRevision = 0
	change := Change{Revision: item.Revision, ChangeID: changeID, At: now, By: by, Item: item}
	rowKey := itemPrefix + item.Kind.String() + "/" + item.Name
	historyKey := HistoryPrefix + revisionKey(item.Revision)
	return keeper.Transaction{
		Conditions: []keeper.Condition{
			{Key: HeadKey, Revision: s.headRowRevision},
			{Key: rowKey, Revision: known.RowRevision},
			{Key: historyKey},
		},
		Writes: []keeper.Write{
			{Key: HeadKey, Value: mustMarshal(headRow{Revision: item.Revision, ChangeID: changeID})},
			{Key: rowKey, Value: mustMarshal(item)},
			{Key: historyKey, Value: mustMarshal(change)},
		},
	}, change, nil
}

// Committed returns the update for a change that was committed at rowRevision of
// the table.
func (c Change) Committed(rowRevision int64) Update {
	item := c.Item
	item.RowRevision = rowRevision
	return Update{After: c.Revision - 1, Head: c.Revision, HeadRowRevision: rowRevision, Items: []Item{item}}
}

// revisionKey formats a revision with leading zeros, so that keys sort in the
// order of revisions.
func revisionKey(revision int64) string {
	const digits = 12
	key := make([]byte, digits)
	for i := digits - 1; i >= 0; i-- {
		key[i] = byte('0' + revision%10)
		revision /= 10
	}
	return string(key)
}

// mustMarshal encodes a value whose encoding can't fail.
func mustMarshal(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return data
}

// DecodeHistory decodes the rows with the prefix HistoryPrefix and returns the
// changes, oldest first.
func DecodeHistory(rows []keeper.Row) ([]Change, error) {
	changes := make([]Change, 0, len(rows))
	for _, row := range rows {
		var change Change
		if err := json.Unmarshal(row.Value, &change); err != nil {
			return nil, errors.Wrapf(err, "decode row %s", row.Key)
		}
		changes = append(changes, change)
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].Revision < changes[j].Revision })
	return changes, nil
}
