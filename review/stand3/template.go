//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"time"
)

// render fills in a template as DEPLOY.md says, "Settings of a process", as far as
// deploy/settings.yaml needs it: values, also as JSON, and sections of a value that is there
// or not.
func render(template string, fields map[string]any) string {
	section := regexp.MustCompile(`(?s)\{\{([#^])([a-z_.0-9]+)\}\}(.*?)\{\{/([a-z_.0-9]+)\}\}`)
	template = section.ReplaceAllStringFunc(template, func(text string) string {
		parts := section.FindStringSubmatch(text)
		if _, there := lookUp(fields, parts[2]); there == (parts[1] == "#") {
			return parts[3]
		}
		return ""
	})
	value := regexp.MustCompile(`\{\{([a-z_.0-9]+)(\|json)?\}\}`)
	return value.ReplaceAllStringFunc(template, func(text string) string {
		parts := value.FindStringSubmatch(text)
		found, there := lookUp(fields, parts[1])
		switch {
		case parts[2] != "":
			data, err := json.Marshal(found)
			if err != nil {
				panic(err)
			}
			return string(data)
		case !there:
			return ""
		}
		return fmt.Sprint(found)
	})
}

func lookUp(fields map[string]any, path string) (any, bool) {
	var current any = fields
	for _, name := range strings.Split(path, ".") {
		switch at := current.(type) {
		case map[string]any:
			next, there := at[name]
			if !there {
				return nil, false
			}
			current = next
		case []int:
			current = at[0]
		default:
			return nil, false
		}
	}
	return current, true
}

// noAdvice: entries with the settings that the platform renders from the project's template,
// where the installation has no advice service.
func noAdvice(dir string, trouble bool) *world {
	w := newWorld(dir, sizes{entries: 4, minions: 6, room: room{32000, 131072, 0}, rack: 6, memoryMB: 284, cores: 0.4},
		manifest(1, route("quotes", "/lohu930/", 0)))
	template, err := os.ReadFile("deploy/settings.yaml")
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	for i, e := range w.entries {
		ip := fmt.Sprintf("127.%d.%d.%d", 181+i, os.Getpid()>>8%256, os.Getpid()%256)
		e.callers, e.ready = ip+":8161", ip+":8167"
		fields := map[string]any{
			"node": e.name, "zone": "here", "ip": ip, "port_range": []int{7720, 7735},
			"listen":   map[string]any{"front": e.callers, "ready": e.ready},
			"platform": map[string]any{"addr": e.storeAddr, "writes_per_s": 600, "row_bytes": 65536},
			"bounds":   map[string]any{"grace_s": 6, "hold_max_ms": 10000},
			"limits":   map[string]any{"memory_mb": 284, "cpu_share": 0.4, "max_fds": 4100},
		}
		if !trouble {
			fields["advice"] = freeAddr()
		}
		text := render(string(template), fields)
		if err := os.WriteFile(e.settings, []byte(text), 0o600); err != nil {
			panic(err)
		}
		if i == 0 {
			w.note("the settings of %s, from deploy/settings.yaml:\n%s", e.name, text)
		}
	}
	w.startEntries()
	time.Sleep(10 * time.Second)
	var ordinary []*submission
	for i := range 5 {
		s := &submission{id: fmt.Sprintf("%016x", 0x1000+i), route: "/lohu930/", Spec: "quote", Steps: []step{{Count: 2, CPU: 2800, Mem: 10000, EstimateMS: 1000, takes: time.Second}}}
		ordinary = append(ordinary, s)
		w.submit(s, i)
	}
	time.Sleep(3 * time.Second)
	accepted := 0
	for _, s := range ordinary {
		if !s.acceptedAt.IsZero() {
			accepted++
		}
	}
	w.note("of %d submissions %d were accepted", len(ordinary), accepted)
	w.end()
	for _, e := range w.entries {
		data, _ := os.ReadFile(e.log.Name())
		line, _, _ := strings.Cut(string(data), "\n")
		line = strings.ReplaceAll(line, filepath.Dir(e.settings)+"/", "")
		w.note("first line of the log of %s: %s", e.name, line)
	}
	w.judgeFault()
	return w
}
