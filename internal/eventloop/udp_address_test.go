package eventloop

import (
	"os"
	"os/exec"
	"runtime"
	"syscall"
	"testing"
	"unsafe"
)

// hiddenAddressVariable is the environment variable that marks the process in which the test hides local addresses.
const hiddenAddressVariable = "LOOP_TEST_WITHOUT_ADDRESS"

// Guards the directory's socket on a system that does not report the local address of a UDP socket. The library nbio,
// which handled this socket before, panicked there, and the program ended 10 ms after its start.
func TestUDPNeedsNoLocalAddress(t *testing.T) {
	if os.Getenv(hiddenAddressVariable) == "" {
		// A separate process, because the filter can't be removed again.
		cmd := exec.Command(os.Args[0], "-test.run=^"+t.Name()+"$", "-test.v")
		cmd.Env = append(os.Environ(), hiddenAddressVariable+"=1")
		if out, err := cmd.CombinedOutput(); err != nil {
			t.Errorf("the process without local addresses failed: %v\n%s", err, out)
		}
		return
	}
	peer := listenUDP(t)
	addr := peer.LocalAddr().String()
	hideLocalAddresses(t)
	exchangeDatagrams(t, peer, addr)
}

// hideLocalAddresses makes getsockname fail from now on in all threads of the process, with a seccomp filter
// (seccomp(2), linux/filter.h).
func hideLocalAddresses(t *testing.T) {
	t.Helper()
	const (
		prSetNoNewPrivs       = 38
		seccompSetModeFilter  = 1
		seccompAllThreads     = 1
		loadSystemCallNumber  = 0x20 // BPF_LD | BPF_W | BPF_ABS, of seccomp_data.nr
		jumpIfEqual           = 0x15 // BPF_JMP | BPF_JEQ | BPF_K
		returnAction          = 0x06 // BPF_RET | BPF_K
		actionAllow           = 0x7fff0000
		actionFailWithErrno   = 0x00050000
		seccompNumberForAMD64 = 317
		seccompNumberForARM64 = 277
	)
	// The kernel's sock_filter. The jump for an equal value goes to the next instruction, so its offset stays 0.
	type instruction struct {
		code     uint16
		_        uint8 // offset of the jump for an equal value
		jumpElse uint8
		operand  uint32
	}
	seccomp, ok := map[string]uintptr{"amd64": seccompNumberForAMD64, "arm64": seccompNumberForARM64}[runtime.GOARCH]
	if !ok {
		t.Fatalf("the test does not know the system call number of seccomp for %s", runtime.GOARCH)
	}
	program := []instruction{
		{code: loadSystemCallNumber},
		{code: jumpIfEqual, jumpElse: 1, operand: uint32(syscall.SYS_GETSOCKNAME)},
		{code: returnAction, operand: actionFailWithErrno | uint32(syscall.EOPNOTSUPP)},
		{code: returnAction, operand: actionAllow},
	}
	filter := struct { // the kernel's sock_fprog
		length  uint16
		program *instruction
	}{uint16(len(program)), &program[0]}
	// The thread that sets the filter must be the one that has given up new privileges.
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	if _, _, errno := syscall.RawSyscall6(syscall.SYS_PRCTL, prSetNoNewPrivs, 1, 0, 0, 0, 0); errno != 0 {
		t.Fatalf("prctl: %v", errno)
	}
	_, _, errno := syscall.RawSyscall(seccomp, seccompSetModeFilter, seccompAllThreads, uintptr(unsafe.Pointer(&filter)))
	if errno != 0 {
		t.Fatalf("seccomp: %v", errno)
	}
}
