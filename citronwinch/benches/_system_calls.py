"""Counts the system calls of a process that this one traces, as strace does."""

import ctypes
import os
import signal
import subprocess
import threading
from collections.abc import Callable

PTRACE_TRACEME = 0
PTRACE_SYSCALL = 24
PTRACE_SETOPTIONS = 0x4200
PTRACE_O_TRACESYSGOOD = 1

SYSTEM_CALL_STOP = signal.SIGTRAP | 0x80
"""The signal number that the kernel reports at the begin and end of a system call."""

LIBRARY = ctypes.CDLL(None, use_errno=True)
LIBRARY.ptrace.argtypes = [
    ctypes.c_long,
    ctypes.c_long,
    ctypes.c_void_p,
    ctypes.c_void_p,
]
LIBRARY.ptrace.restype = ctypes.c_long


def _trace(request: int, pid: int, data: int) -> None:
    if LIBRARY.ptrace(request, pid, None, data) < 0:
        error = ctypes.get_errno()
        raise OSError(error, f"ptrace request {request}: {os.strerror(error)}")


def accept_tracing() -> None:
    """Let the parent trace this process from its next `exec` on."""
    _trace(PTRACE_TRACEME, 0, 0)


def count_system_calls(
    process: subprocess.Popen[bytes], wait: Callable[[], None]
) -> int:
    """Return the system calls of a process's main thread until `wait` returns.

    The calling thread must have started the process, which must have called
    `accept_tracing`. `wait` is called in another thread.
    """
    waiter = threading.Thread(target=wait)
    os.waitpid(process.pid, 0)
    _trace(PTRACE_SETOPTIONS, process.pid, PTRACE_O_TRACESYSGOOD)
    waiter.start()
    stops = delivered = 0
    while waiter.is_alive():
        _trace(PTRACE_SYSCALL, process.pid, delivered)
        _, status = os.waitpid(process.pid, 0)
        if not os.WIFSTOPPED(status):
            raise RuntimeError(f"traced process ended with status {status}")
        delivered = os.WSTOPSIG(status)
        if delivered == SYSTEM_CALL_STOP:
            stops += 1
            delivered = 0
    waiter.join()
    # Each call stops the process twice.
    return stops // 2
