//! A VRRP peer that sends advertisements without an end.

use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, Ordering};

/// An advertisement that is too short to be decoded.
const ADVERTISEMENT: [u8; 4] = [0x31, 7, 90, 1];

/// Sends advertisements from `peer` to `scheduler` until `stop` is set.
pub(crate) fn run(peer: &UdpSocket, scheduler: SocketAddr, stop: &AtomicBool) {
    while !stop.load(Ordering::Relaxed) {
        let _ = peer.send_to(&ADVERTISEMENT, scheduler);
    }
}
