package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

// errBroken reports that a rule was broken.
var errBroken = errors.New("the rule was broken")

// cases holds the cases by the name of their folder.
var cases = map[string]func(w *world, trouble bool) error{
	"silent": caseSilent,
	"away":   caseAway,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

// play runs a case and returns the exit code.
func play(run func(*world, bool) error, folder string) int {
	w, err := newWorld(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer w.close()
	err = run(w, os.Getenv("TROUBLE") != "0")
	switch {
	case err == nil:
		w.logf("RESULT: the rule held")
		fmt.Println("held")
		return 0
	case errors.Is(err, errBroken):
		w.logf("RESULT: %v", err)
		fmt.Println(err)
		return 1
	default:
		w.logf("RESULT: the case could not run: %v", err)
		fmt.Println("could not run:", err)
		return 2
	}
}
