//go:build review

// The stand-ins and the cases of the review in review/REPORT-3.md. Its build tag keeps it
// out of the default build, test run and CI.
//
//	target/review3 CASE FOLDER
package main

import (
	"fmt"
	"os"
)

var cases = map[string]func(dir string, trouble bool) *world{
	"memory": memory,
	"wide":   wide,
	"loop":   loop,
	"cancel": cancel,
	"gang":   gang,

	// Shown, but not among the five.
	"long":     long,
	"noadvice": noAdvice,
}

func main() {
	if len(os.Args) < 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review3 CASE FOLDER")
		os.Exit(2)
	}
	w := cases[os.Args[1]](os.Args[2], os.Getenv("TROUBLE") != "0")
	w.clean()
	if len(w.broken) > 0 {
		fmt.Printf("broken: %d times; first: %s\n", len(w.broken), w.broken[0])
		os.Exit(1)
	}
	fmt.Println("held")
}
