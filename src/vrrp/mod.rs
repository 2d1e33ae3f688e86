//! VRRP version 3 (RFC 9568): which of several schedulers on a host is the active one.
//!
//! [`StateMachine`] is the protocol's state machine without I/O, and [`packet`] the codec of its
//! advertisements. Names and section numbers are those of the RFC.
//!
//! The server sends the advertisements over UDP to configured peers instead of IP multicast. It drops a
//! datagram from any other sender; that replaces the protocol's check of the IP TTL (section 5.1.1.3).

pub mod packet;
mod state_machine;

pub use state_machine::{
    Configuration, Event, PRIORITY_ADDRESS_OWNER, PRIORITY_STOPPED, SendAdvertisement, State, StateMachine,
};
