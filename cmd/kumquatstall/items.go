package main

import (
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/goccy/go-yaml"

	"kumquatstall/tuner"
)

// An item is one object of the configuration: a profile, a trade or a service. The
// commands are the same for each kind; kinds differ by the path of their URLs. Every
// change has a revision, so a change can be refused that is based on an older one.

// itemCommands are the commands for configuration items of one kind.
type itemCommands struct {
	// path is the kind's part of the URL path, such as "profiles".
	path string

	List    itemListCommand    `cmd:"" help:"List all items and their revisions."`
	Get     itemGetCommand     `cmd:"" help:"Print an item."`
	Put     itemPutCommand     `cmd:"" help:"Create or replace an item from a YAML or JSON file."`
	Delete  itemDeleteCommand  `cmd:"" help:"Delete an item."`
	History itemHistoryCommand `cmd:"" help:"List the accepted changes of the whole configuration."`
}

// AfterApply sets the path of the commands that need it. kong calls it after
// parsing.
func (c *itemCommands) AfterApply() error {
	c.List.path, c.Get.path, c.Put.path, c.Delete.path = c.path, c.path, c.path, c.path
	return nil
}

type itemListCommand struct {
	remote
	path string
}

// Run lists the items of a kind.
func (c *itemListCommand) Run() error {
	return fetchAndPrint(&c.remote, http.MethodGet, "/v1/"+c.path, nil, func(w io.Writer, items []tuner.Item) {
		for _, item := range items {
			printf(w, "%s\trevision %d\n", item.Name, item.Revision)
		}
	})
}

type itemGetCommand struct {
	remote
	path string
	Name string `arg:"" help:"Name of the item."`
}

// Run prints an item.
func (c *itemGetCommand) Run() error {
	path := "/v1/" + c.path + "/" + url.PathEscape(c.Name)
	return fetchAndPrint(&c.remote, http.MethodGet, path, nil, func(w io.Writer, item tuner.Item) {
		printf(w, "# revision %d\n", item.Revision)
		data, err := json.Marshal(itemBody(item))
		if err != nil {
			return
		}
		text, err := yaml.JSONToYAML(data)
		if err == nil {
			printf(w, "%s", text)
		}
	})
}

// itemBody returns the field of an item that is set for its kind.
func itemBody(item tuner.Item) any {
	switch item.Kind {
	case tuner.ItemProfile:
		return item.Profile
	case tuner.ItemTrade:
		return item.Trade
	case tuner.ItemService:
		return item.Service
	default:
		return item.Mark
	}
}

type itemPutCommand struct {
	remote
	path     string
	Name     string `arg:"" help:"Name of the item."`
	File     string `arg:"" type:"existingfile" help:"YAML or JSON file."`
	Revision int64  `default:"-1" help:"Revision of the item to replace, 0 if it never existed; any other is a conflict. -1 replaces any revision."`
}

// Run creates or replaces an item from a file.
func (c *itemPutCommand) Run() error {
	body, err := readBody(c.File)
	if err != nil {
		return err
	}
	return changeItem(&c.remote, http.MethodPut, "/v1/"+c.path+"/"+url.PathEscape(c.Name), c.Revision, body)
}

// changeItem sends a change of an item and prints the item as accepted. If
// revision is at least 0, the change is a conflict unless that is the item's
// current revision.
func changeItem(r *remote, method, path string, revision int64, body any) error {
	if revision >= 0 {
		path += "?Revision=" + strconv.FormatInt(revision, 10)
	}
	return fetchAndPrint(r, method, path, body, func(w io.Writer, item tuner.Item) {
		printf(w, "%s: change accepted as revision %d\n", item.Name, item.Revision)
	})
}

type itemDeleteCommand struct {
	remote
	path     string
	Name     string `arg:"" help:"Name of the item."`
	Revision int64  `default:"-1" help:"Revision of the item to delete; any other is a conflict. -1 deletes any revision."`
}

// Run deletes an item.
func (c *itemDeleteCommand) Run() error {
	return changeItem(&c.remote, http.MethodDelete, "/v1/"+c.path+"/"+url.PathEscape(c.Name), c.Revision, nil)
}

type itemHistoryCommand struct {
	remote
}

// Run lists the accepted changes of all kinds of items, oldest first.
func (c *itemHistoryCommand) Run() error {
	return fetchAndPrint(&c.remote, http.MethodGet, "/v1/history", nil, func(w io.Writer, changes []tuner.Change) {
		for _, change := range changes {
			printf(w, "%d\t%s\t%s\t%s\t%s\n", change.Revision, change.At.Format(time.RFC3339), change.Item.Kind, change.Item.Name, change.By)
		}
	})
}
