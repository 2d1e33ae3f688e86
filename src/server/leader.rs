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

/// Maximum number of datagrams that are read in one turn of the event loop.
const MAX_DATAGRAMS_PER_TURN: u32 = 64;

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
    /// Whether the socket may hold datagrams that were left for the next turn.
    has_datagrams_left: bool,
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
            has_datagrams_left: false,
        })
    }

    /// Returns the configuration with which the server joined the election.
    pub(super) fn config(&self) -> &VrrpConfig {
        &self.config
    }

    /// Returns the time at which [`LeaderElection::fire_timer`] is due.
    pub(super) fn next_timer(&self) -> Option<Time> {
        if self.has_datagrams_left {
            return Some(Time(0));
        }
        self.state_machine.next_timer()
    }

    /// Reads the datagrams that were left, and then lets the state machine's timer expire if it is due.
    pub(super) fn fire_timer(&mut self, reactor: &mut Reactor) {
        if self.has_datagrams_left {
            self.receive(self.socket, reactor);
        }
        self.handle(Event::TimerExpired, reactor);
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

    /// Reads the datagrams that have arrived, up to [`MAX_DATAGRAMS_PER_TURN`]. Datagrams that are not
    /// advertisements of this virtual router are dropped and counted.
    pub(super) fn receive(&mut self, socket: UdpSocketId, reactor: &mut Reactor) {
        // One byte more than the longest message, so that a longer datagram is recognized as too long.
        let mut buffer = [0; MAX_MESSAGE_LENGTH + 1];
        self.has_datagrams_left = true;
        for _ in 0..MAX_DATAGRAMS_PER_TURN {
            let Some((length, sender)) = reactor.receive_datagram(socket, &mut buffer) else {
                self.has_datagrams_left = false;
                return;
            };
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
