//! Leader election: which of several servers on a host accepts requests on the JSON-RPC frontend.
//!
//! The servers elect the active router of one virtual router by VRRP; see [`crate::vrrp`]. Advertisements
//! travel over UDP between the addresses of the operator's file.

use crate::config::VrrpConfig;
use crate::model::Time;
use crate::net::UdpSocketId;
use crate::runtime::Reactor;
use crate::vrrp::packet::{self, Advertisement, DecodeError, MAX_MESSAGE_LENGTH};
use crate::vrrp::{self, Event, State, StateMachine};
use std::io;
use std::net::SocketAddr;
use thiserror::Error;
use tracing::{info, warn};

/// Why a datagram is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
enum DatagramError {
    /// It comes from an address that the operator's file doesn't list.
    #[error("not from a peer")]
    UnknownSender,
    /// It is no valid advertisement.
    #[error(transparent)]
    Undecodable(#[from] DecodeError),
}

/// This server's part in the election.
pub(super) struct LeaderElection {
    state_machine: StateMachine,
    config: VrrpConfig,
    socket: UdpSocketId,
}

impl LeaderElection {
    /// Binds the socket for advertisements. The election begins with [`Event::Startup`].
    ///
    /// # Errors
    ///
    /// The system's, where the address can't be bound.
    pub(super) fn new(config: &VrrpConfig, reactor: &mut Reactor) -> io::Result<LeaderElection> {
        let (socket, address) = reactor.bind_udp(config.bind)?;
        let state_machine = StateMachine::new(vrrp::Configuration {
            priority: config.priority,
            advertisement_interval: packet::interval_from_centiseconds(config.interval_centiseconds),
            preempt: config.preempt,
            primary_address: address,
        });
        Ok(LeaderElection {
            state_machine,
            config: config.clone(),
            socket,
        })
    }

    /// The configuration with which the election was joined.
    pub(super) fn config(&self) -> &VrrpConfig {
        &self.config
    }

    /// When [`Event::TimerExpired`] is to be given.
    pub(super) fn next_timer(&self) -> Option<Time> {
        self.state_machine.next_timer()
    }

    /// Has the state machine handle an event, sends the advertisement that it asks for, and lets the
    /// connections know whether this server is the active one.
    pub(super) fn handle(&mut self, event: Event, reactor: &mut Reactor) {
        let previous = self.state_machine.state();
        if let Some(advertisement) = self.state_machine.handle(reactor.now(), event) {
            self.advertise(advertisement.priority, reactor);
        }
        let state = self.state_machine.state();
        reactor.shared.active = state == State::Active;
        if state != previous {
            let virtual_router_id = self.config.virtual_router_id;
            info!(vrid = virtual_router_id, ?state, was = ?previous, "vrrp state changed");
        }
    }

    /// Reads the datagrams that have arrived. What is no advertisement of this virtual router is dropped and
    /// counted.
    pub(super) fn receive(&mut self, socket: UdpSocketId, reactor: &mut Reactor) {
        // One byte more than the longest message, so that a longer one is not mistaken for it.
        let mut buffer = [0; MAX_MESSAGE_LENGTH + 1];
        while let Some((length, sender)) = reactor.receive_datagram(socket, &mut buffer) {
            match self.decode(&buffer[..length], sender) {
                Ok(message) if message.virtual_router_id == self.config.virtual_router_id => {
                    let event = Event::AdvertisementReceived {
                        priority: message.priority,
                        interval: message.interval(),
                        sender,
                    };
                    self.handle(event, reactor);
                }
                Ok(_) => reactor.shared.scheduler.counters().vrrp_advertisements_dropped += 1,
                Err(error) => {
                    let now = reactor.now();
                    let scheduler = &mut reactor.shared.scheduler;
                    scheduler.counters().vrrp_advertisements_dropped += 1;
                    if scheduler.admits_log_line(now) {
                        let cause = error.to_string();
                        warn!(%sender, cause = cause.as_str(), "vrrp datagram dropped");
                    }
                }
            }
        }
    }

    fn decode(&self, datagram: &[u8], sender: SocketAddr) -> Result<Advertisement, DatagramError> {
        if !self.config.peers.contains(&sender) {
            return Err(DatagramError::UnknownSender);
        }
        Ok(Advertisement::decode(datagram)?)
    }

    /// Sends an advertisement of this priority to all peers.
    fn advertise(&self, priority: u8, reactor: &Reactor) {
        let message = Advertisement {
            virtual_router_id: self.config.virtual_router_id,
            priority,
            interval_centiseconds: self.config.interval_centiseconds,
            addresses: vec![self.config.address],
        };
        let datagram = message.encode();
        for peer in &self.config.peers {
            reactor.send_datagram(self.socket, &datagram, *peer);
        }
    }
}
