//! The handover protocol. Over a Unix socket in the state directory, the older process sends the descriptor of its
//! listener with one byte, by which the limits of the newer process are divided; the newer process replies with one
//! byte once it accepts clients. The connection stays open while both run, so that each notices the other's exit.

use super::HandoverSnapshot;
use crate::lifecycle::state_directory::StateDirectory;
use rustix::net::{self, RecvAncillaryMessage, SendAncillaryMessage};
use std::io::{self, IoSlice, IoSliceMut, Read, Write};
use std::mem::MaybeUninit;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::os::unix::net::UnixStream;
use std::path::PathBuf;
use std::time::Duration;

const SOCKET_NAME: &str = "handover";
/// After this the newer process starts without a handover.
const HANDOVER_TIMEOUT: Duration = Duration::from_millis(1000);
/// Sent by the newer process once it accepts clients.
const ACCEPTING: [u8; 1] = [1];

/// Why a handover failed.
#[derive(Debug, thiserror::Error)]
pub enum HandoverError {
    /// A socket or file operation failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The older process closed the connection, or sent no listener.
    #[error("the older process sent no listener")]
    NoListenerReceived,
    /// The listener is already closed.
    #[error("there is no listener to hand over")]
    NoListener,
    /// The listener does not fit into the ancillary data.
    #[error("the listener does not fit into the message")]
    ListenerDoesNotFit,
    /// There is no state directory for the snapshot.
    #[error("there is no state directory")]
    NoStateDirectory,
}

/// What a newer process receives in a handover.
pub struct Handover {
    /// The listener that clients connect to.
    pub listener: TcpListener,
    /// The state of the older process.
    pub snapshot: HandoverSnapshot,
    /// The connection to the older process, which closes when that process exits.
    pub(super) stream: UnixStream,
    /// The limits of this process and its successors are divided by this.
    pub(super) share_divisor: u8,
}

/// The path of the handover socket; `None` without a state directory.
pub(super) fn socket_path(state_directory: &StateDirectory) -> Option<PathBuf> {
    state_directory.path(SOCKET_NAME)
}

/// Requests a handover from an older process that listens at the same address; `None` if there is none, or if the
/// handover fails.
pub fn request_handover(state_directory: &StateDirectory, listen: SocketAddr) -> Option<Handover> {
    let stream = UnixStream::connect(socket_path(state_directory)?).ok()?;
    let handover = match receive(stream, state_directory) {
        Ok(handover) => handover,
        Err(error) => {
            log::warn!("nothing was handed over: {error}");
            return None;
        }
    };
    // A process of the same name with another address belongs to a different proxy.
    let address = handover.listener.local_addr();
    address
        .is_ok_and(|address| address == listen)
        .then_some(handover)
}

fn receive(
    stream: UnixStream,
    state_directory: &StateDirectory,
) -> Result<Handover, HandoverError> {
    stream.set_read_timeout(Some(HANDOVER_TIMEOUT))?;
    let (share_divisor, listener) = receive_listener(&stream)?;
    // The older process writes the file before it sends the listener.
    let path = HandoverSnapshot::path(state_directory).ok_or(HandoverError::NoStateDirectory)?;
    Ok(Handover {
        listener: listener.into(),
        snapshot: HandoverSnapshot::load_and_remove(&path),
        stream,
        // Two processes always share the limits, whatever was sent.
        share_divisor: share_divisor.max(2),
    })
}

fn receive_listener(stream: &UnixStream) -> Result<(u8, OwnedFd), HandoverError> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut ancillary = net::RecvAncillaryBuffer::new(&mut space);
    let mut share_divisor = [0];
    let received = net::recvmsg(
        stream,
        &mut [IoSliceMut::new(&mut share_divisor)],
        &mut ancillary,
        net::RecvFlags::CMSG_CLOEXEC,
    )
    .map_err(io::Error::from)?;
    let listener = ancillary.drain().find_map(|message| match message {
        RecvAncillaryMessage::ScmRights(mut descriptors) => descriptors.next(),
        _ => None,
    });
    match listener {
        Some(listener) if received.bytes == share_divisor.len() => Ok((share_divisor[0], listener)),
        _ => Err(HandoverError::NoListenerReceived),
    }
}

/// Sends the listener and the divisor of the limits to the newer process.
pub(super) fn send_listener(
    stream: impl AsFd,
    listener: BorrowedFd,
    share_divisor: u8,
) -> Result<(), HandoverError> {
    let descriptors = [listener];
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut ancillary = net::SendAncillaryBuffer::new(&mut space);
    if !ancillary.push(SendAncillaryMessage::ScmRights(&descriptors)) {
        return Err(HandoverError::ListenerDoesNotFit);
    }
    net::sendmsg(
        stream,
        &[IoSlice::new(&[share_divisor])],
        &mut ancillary,
        net::SendFlags::NOSIGNAL,
    )
    .map_err(io::Error::from)?;
    Ok(())
}

/// Tells the older process that this one accepts clients.
pub(super) fn send_accepting(stream: &mut impl Write) {
    // Cannot block: the socket buffer is empty.
    let _ = stream.write(&ACCEPTING);
}

/// What the other process has sent.
pub(super) enum PeerEvent {
    /// The byte by which it reports that it accepts clients.
    Accepting,
    /// Nothing yet.
    Pending,
    /// It has closed the connection, as by exiting.
    Closed,
}

/// Reads from the connection to the other process.
pub(super) fn read_event(stream: &mut impl Read) -> PeerEvent {
    match stream.read(&mut [0]) {
        Ok(1..) => PeerEvent::Accepting,
        Err(error)
            if matches!(
                error.kind(),
                io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted
            ) =>
        {
            PeerEvent::Pending
        }
        _ => PeerEvent::Closed,
    }
}
