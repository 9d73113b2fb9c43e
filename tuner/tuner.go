// Package tuner holds the configuration that operators change while the
// system runs: profiles, trades, services and the marks on leaving hosts.
//
// Every piece is an Item. One counter, the head, numbers all accepted changes;
// an item's revision is the head's value at its last change. A change is
// accepted once the transaction that writes the new head, the item and an
// entry of the history is known to have committed. A Store applies an item
// only where its revision is higher than the one it knows, so that no change
// reverts, whatever order messages arrive in.
//
// The package does no input or output; it builds transactions and reads rows.
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

// ItemKind tells what an item configures.
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

// Item is one piece of configuration. Exactly the field of its kind is set.
type Item struct {
	ItemID
	// Revision is the head's value at the item's last change.
	Revision int64
	// RowRevision is the table's revision of the item's row.
	RowRevision int64
	Deleted     bool           `json:",omitempty" cbor:",omitempty"`
	Profile     *Profile       `json:",omitempty" cbor:",omitempty"`
	Trade       *TradeConfig   `json:",omitempty" cbor:",omitempty"`
	Service     *ServiceConfig `json:",omitempty" cbor:",omitempty"`
	Mark        *DrainMark     `json:",omitempty" cbor:",omitempty"`
}

// TradeConfig is what a trade is entitled to.
type TradeConfig struct {
	Name requester.Trade
	// Weight is the trade's share relative to other trades; at least 0.01.
	Weight float64
	// Quota bounds what the trade's tasks may hold at once in a data
	// centre; a zero dimension is unbounded.
	Quota requester.Resources `json:",omitzero"`
}

// ServiceConfig binds a service to the profile it runs under.
type ServiceConfig struct {
	Name    requester.Service
	Profile string
}

// Mark tells that a host is leaving.
type DrainMark struct {
	HostID  requester.HostID
	Leaving bool
	By      string `json:",omitempty" cbor:",omitempty"`
}

// Change is one entry of the history.
type Change struct {
	Revision int64
	ChangeID string
	At       time.Time
	By       string `json:",omitempty"`
	Item     Item
}

// Keys of the table rows that hold the configuration.
const (
	RowPrefix     = "config/"
	HeadKey       = "config/head"
	itemPrefix    = "config/item/"
	historyPrefix = "config/history/"
)

// HistoryPrefix is the prefix of the rows that hold the history.
const HistoryPrefix = historyPrefix

type headRow struct {
	Revision int64
	ChangeID string
}

// Store is the configuration as one entry knows it.
type Store struct {
	items map[ItemID]Item
	// head is the highest revision below which no change is missing.
	head int64
	// headRowRevision is the table's revision of the head row.
	headRowRevision int64
	version         int64
}

// NewStore returns an empty configuration.
func NewStore() *Store { return &Store{items: make(map[ItemID]Item)} }

// Head returns the revision up to which every change is known.
func (s *Store) Head() int64 { return s.head }

// Version grows whenever anything in the store changes.
func (s *Store) Version() int64 { return s.version }

// HeadRowRevision returns the table's revision of the head row.
func (s *Store) HeadRowRevision() int64 { return s.headRowRevision }

// Item returns an item that is in force.
func (s *Store) Item(id ItemID) (Item, bool) {
	item, ok := s.items[id]
	return item, ok && !item.Deleted
}

// Items returns the items of a kind that are in force, sorted by name.
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

// Since returns every item, deleted ones included, changed after revision.
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

// Update is a set of items, complete for all changes after After up to Head.
type Update struct {
	After           int64
	Head            int64
	HeadRowRevision int64
	Items           []Item
}

// UpdateSince returns what a store at revision lacks.
func (s *Store) UpdateSince(revision int64) Update {
	return Update{After: revision, Head: s.head, HeadRowRevision: s.headRowRevision, Items: s.Since(revision)}
}

// Apply takes in an update and reports whether anything changed. The head
// moves only where the update leaves no gap.
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

// ApplyRows takes in the configuration's rows, all read at once.
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

// ReadRequest asks for the rows that ApplyRows needs.
func ReadRequest() keeper.ReadRequest {
	return keeper.ReadRequest{Keys: []string{HeadKey}, Prefixes: []string{itemPrefix}}
}

// AnyRevision lets a proposal replace whatever revision is in force.
const AnyRevision = -1

// StaleError reports that an operator changed an item that had moved on.
type StaleError struct {
	Current Item
}

func (e *StaleError) Error() string {
	return "item " + e.Current.Name + " has changed since it was read"
}

// Propose returns the transaction that changes an item, and the change it
// makes when committed. expected is the item's revision that the operator
// read, 0 for none, or AnyRevision. The error may be a *StaleError or a
// *requester.FieldError.
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
	historyKey := historyPrefix + revisionKey(item.Revision)
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

// Committed returns the update that a committed change makes, where
// rowRevision is the table's revision of the commit.
func (c Change) Committed(rowRevision int64) Update {
	item := c.Item
	item.RowRevision = rowRevision
	return Update{After: c.Revision - 1, Head: c.Revision, HeadRowRevision: rowRevision, Items: []Item{item}}
}

// revisionKey formats a revision so that keys sort by number.
func revisionKey(revision int64) string {
	const digits = 12
	key := make([]byte, digits)
	for i := digits - 1; i >= 0; i-- {
		key[i] = byte('0' + revision%10)
		revision /= 10
	}
	return string(key)
}

// mustMarshal encodes a value that can't fail to encode.
func mustMarshal(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return data
}

// DecodeHistory decodes the rows below HistoryPrefix, oldest change first.
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
