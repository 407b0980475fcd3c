package measure

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// ticksPerSecond is the rate of the clock ticks in which /proc/PID/stat counts time.
const ticksPerSecond = 100

// ProcessorTime returns the user and system time that a process has used.
func ProcessorTime(pid int) (time.Duration, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	// The command name, in parentheses, may contain spaces, so fields are counted
	// from after it.
	_, rest, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	const userTime, systemTime = 11, 12
	if len(fields) <= systemTime {
		return 0, fmt.Errorf("/proc/%d/stat has %d fields", pid, len(fields))
	}
	var ticks int64
	for _, field := range []string{fields[userTime], fields[systemTime]} {
		n, err := strconv.ParseInt(field, 10, 64)
		if err != nil {
			return 0, err
		}
		ticks += n
	}
	return time.Duration(ticks) * time.Second / ticksPerSecond, nil
}
