package front

import (
	"unsafe"

	"golang.org/x/sys/unix"
)

// pollNow returns which of the events are pending on a descriptor, without waiting; none if that
// cannot be found out. The call does not block, so the runtime is not told of it: a goroutine that
// comes back from a call that it was told of may have to wait for the processor behind all others.
func pollNow(fd int, events int16) int16 {
	fds := [1]unix.PollFd{{Fd: int32(fd), Events: events}}
	var timeout unix.Timespec
	n, _, errno := unix.RawSyscall6(unix.SYS_PPOLL, uintptr(unsafe.Pointer(&fds[0])), uintptr(len(fds)),
		uintptr(unsafe.Pointer(&timeout)), 0, 0, 0)
	if errno != 0 || n == 0 {
		return 0
	}
	return fds[0].Revents
}
