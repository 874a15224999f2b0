//! The few system calls that the standard library does not offer.

use std::os::fd::AsRawFd;
use std::os::raw::{c_int, c_ulong, c_void};

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

const SOL_SOCKET: c_int = 1;
const SO_RCVBUF: c_int = 8;
const IPPROTO_TCP: c_int = 6;
const TCP_MAXSEG: c_int = 2;
const SIOCOUTQ: c_ulong = 0x5411;

extern "C" {
    fn kill(pid: c_int, signal: c_int) -> c_int;
    fn setsockopt(fd: c_int, level: c_int, name: c_int, value: *const c_void, length: u32)
        -> c_int;
    fn ioctl(fd: c_int, request: c_ulong, ...) -> c_int;
}

/// Sends a signal to a process that the test started.
pub fn signal(pid: u32, signal: i32) {
    // SAFETY: kill takes plain numbers.
    unsafe { kill(pid as c_int, signal) };
}

fn set_number(socket: &impl AsRawFd, level: c_int, name: c_int, value: c_int) {
    let length = std::mem::size_of::<c_int>() as u32;
    let pointer = std::ptr::from_ref(&value).cast();
    // SAFETY: the pointer is valid for `length` bytes during the call.
    let result = unsafe { setsockopt(socket.as_raw_fd(), level, name, pointer, length) };
    assert_eq!(result, 0, "setsockopt failed");
}

/// Sets a listener's receive buffer; its connections inherit it.
pub fn set_receive_buffer(socket: &impl AsRawFd, bytes: i32) {
    set_number(socket, SOL_SOCKET, SO_RCVBUF, bytes);
}

/// Sets the segment size that a listener announces, 1,460 on an Ethernet.
pub fn set_segment_size(socket: &impl AsRawFd, bytes: i32) {
    set_number(socket, IPPROTO_TCP, TCP_MAXSEG, bytes);
}

/// How many bytes written to a socket the peer's machine has not acknowledged yet.
pub fn unacknowledged(socket: &impl AsRawFd) -> i32 {
    let mut bytes: c_int = 0;
    // SAFETY: SIOCOUTQ writes one int.
    let result = unsafe { ioctl(socket.as_raw_fd(), SIOCOUTQ, std::ptr::from_mut(&mut bytes)) };
    assert_eq!(result, 0, "SIOCOUTQ failed");
    bytes
}
