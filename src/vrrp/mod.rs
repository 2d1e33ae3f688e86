//! VRRP version 3 (RFC 9568): which of several schedulers on a host is the active one.
//!
//! [`StateMachine`] is the protocol's state machine without I/O, and [`packet`] the codec of its
//! advertisements. The server carries the advertisements over UDP between configured peers instead of IP
//! multicast. It drops a datagram from any other sender, which takes the place of the protocol's check of the
//! IP TTL.

pub mod packet;
mod state_machine;

pub use state_machine::{
    Configuration, Event, PRIORITY_ADDRESS_OWNER, PRIORITY_RESIGNED, SendAdvertisement, State, StateMachine,
};
