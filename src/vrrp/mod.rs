//! VRRP version 3 (RFC 9568): elects the active one of several schedulers on a host.
//!
//! [`StateMachine`] implements the protocol's state machine without I/O, and [`packet`] contains the codec of
//! the advertisements. Names and section numbers are those of the RFC.
//!
//! The server sends advertisements over UDP to configured peers instead of using IP multicast. It drops
//! datagrams from all other senders; this replaces the protocol's check of the IP TTL (section 5.1.1.3).

pub mod packet;
mod state_machine;

pub use state_machine::{
    Configuration, Event, PRIORITY_ADDRESS_OWNER, PRIORITY_STOPPED, SendAdvertisement, State, StateMachine,
};
