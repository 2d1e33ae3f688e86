//! Leader election: decides which of several servers on a host accepts requests on the JSON-RPC frontend.
//!
//! The servers elect the active router of a VRRP virtual router; see [`crate::vrrp`]. Advertisements are
//! sent over UDP between the addresses that the operator's file lists.

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

/// The reason for dropping a datagram.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
enum DatagramError {
    /// The sender's address is not listed in the operator's file.
    #[error("sender is not a configured peer")]
    UnknownSender,
    /// The datagram is not a valid advertisement.
    #[error(transparent)]
    Undecodable(#[from] DecodeError),
}

/// This server's participation in the election.
pub(super) struct LeaderElection {
    state_machine: StateMachine,
    config: VrrpConfig,
    socket: UdpSocketId,
}

impl LeaderElection {
    /// Binds the socket for advertisements. The election starts with [`Event::Startup`].
    ///
    /// # Errors
    ///
    /// Returns the system error if the address cannot be bound.
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

    /// Returns the configuration with which the server joined the election.
    pub(super) fn config(&self) -> &VrrpConfig {
        &self.config
    }

    /// Returns the time at which [`Event::TimerExpired`] is due.
    pub(super) fn next_timer(&self) -> Option<Time> {
        self.state_machine.next_timer()
    }

    /// Passes an event to the state machine, sends the advertisement that it returns, and updates whether
    /// this server is the active one.
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

    /// Reads all datagrams that have arrived. Datagrams that are not advertisements of this virtual router
    /// are dropped and counted.
    pub(super) fn receive(&mut self, socket: UdpSocketId, reactor: &mut Reactor) {
        // One byte more than the longest message, so that a longer datagram is recognized as too long.
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

    /// Sends an advertisement with this priority to all peers.
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
