//! The server: the event loop that joins the scheduler with its frontends, its workers, discovery and
//! signals.

mod accept;
mod leader;
mod limits;
mod shutdown;
mod signals;
#[cfg(test)]
mod tests;

use crate::backend::{self, Pool};
use crate::config::{CheckerEndpoint, ConfigSources, Configuration, OperatorConfig, SchedulerConfig};
use crate::discovery::{AddressChange, Discovery, EndpointChange, WatchEvent};
use crate::model::{Endpoint, Site, Time};
use crate::net::{ListenerId, PipeId, Reactor, ReactorEvent, SystemClock, UdpSocketId};
use crate::scheduler::{Command, Scheduler};
use crate::vrrp::Event;
use accept::{Acceptor, JsonRpcListener};
use leader::LeaderElection;
use shutdown::{Activity, Shutdown, ShutdownPhase};
use signals::{SignalPipes, SignalRequest};
use std::io;
use std::net::SocketAddr;
use std::panic::{AssertUnwindSafe, catch_unwind};

struct Server {
    sources: ConfigSources,
    scheduler: Scheduler,
    reactor: Reactor,
    pool: Pool,
    config: SchedulerConfig,
    operator: OperatorConfig,
    discovery: Discovery,
    acceptor: Acceptor,
    /// Without it this server always takes requests on the JSON-RPC front.
    leader_election: Option<LeaderElection>,
    signals: SignalPipes,
    /// The graceful shutdown, once one has begun.
    shutdown: Option<Shutdown>,
}

/// Serves until a signal ends it.
pub fn run(configuration: Configuration, sources: ConfigSources) -> io::Result<()> {
    Server::new(configuration, sources)?.serve()
}

impl Server {
    fn new(configuration: Configuration, sources: ConfigSources) -> io::Result<Server> {
        let Configuration { scheduler: mut config, operator } = configuration;
        let mut reactor = Reactor::new(SystemClock::new())?;
        let signals = SignalPipes::install(&mut reactor)?;
        config.listen = reactor.listen_tcp(config.listen)?;
        let jsonrpc = match &operator.jsonrpc {
            Some(jsonrpc) => Some(JsonRpcListener::bind(jsonrpc, &mut reactor)?),
            None => None,
        };
        let leader_election = match &operator.vrrp {
            Some(vrrp) => Some(LeaderElection::new(vrrp, &mut reactor)?),
            None => None,
        };
        reactor.active = leader_election.is_none();
        let mut scheduler = Scheduler::new(config.site.clone(), config.seed);
        limit_memory(&config, &mut scheduler, &mut reactor);
        let acceptor = Acceptor::new(limits::max_connections_with_clients(&config), jsonrpc);
        let mut pool = Pool::new(limits::worker_limits(&config));
        let configured = assign_checker_addresses(&operator, &config.site, &mut pool);
        let known = std::mem::take(&mut config.known_events);
        let discovery = Discovery::new(config.event_bus, known, configured, reactor.now());
        Ok(Server {
            sources,
            scheduler,
            reactor,
            pool,
            config,
            discovery,
            acceptor,
            operator,
            leader_election,
            signals,
            shutdown: None,
        })
    }

    fn serve(&mut self) -> io::Result<()> {
        if let Some(change) = self.discovery.initial_change() {
            self.apply_endpoint_change(self.reactor.now(), change);
        }
        self.settle();
        self.reactor.ready = true;
        self.update_leader(Event::Startup);
        let at = self.config.listen;
        eprintln!(
            "function-scheduler: serving name={} listen={at} offset={}",
            self.config.name,
            self.discovery.last_offset()
        );
        loop {
            let election = self.leader_election.as_ref().and_then(LeaderElection::next_timer);
            let until = self.scheduler.next_timer().into_iter().chain(self.discovery.next_timer());
            let until =
                until.chain(self.shutdown_timer()).chain(self.acceptor.next_timer()).chain(election).min();
            for signal in self.reactor.poll(until, &mut self.scheduler)? {
                match signal {
                    ReactorEvent::ClientWaiting(listener) => self.accept_clients(listener),
                    ReactorEvent::PipeReadable(pipe) => self.handle_signal(pipe),
                    ReactorEvent::DatagramWaiting(socket) => self.receive_advertisements(socket),
                }
            }
            self.retry_accept();
            self.update_leader(Event::TimerExpired);
            self.settle();
            if self.advance_shutdown() {
                self.print_counters();
                eprintln!("function-scheduler: ended name={}", self.config.name);
                return Ok(());
            }
        }
    }

    /// Acts on everything that waits, until nothing does.
    fn settle(&mut self) {
        let now = self.reactor.now();
        self.poll_discovery(now);
        if self.scheduler.next_timer().is_some_and(|at| at <= now) {
            // There is no connection to end here. What the panic leaves undone runs into its deadlines.
            let woken = catch_unwind(AssertUnwindSafe(|| self.scheduler.fire_timers(now)));
            if woken.is_err() {
                self.scheduler.counters().panics += 1;
                eprintln!("function-scheduler: panic timer");
            }
        }
        while let Some(command) = self.scheduler.next_command() {
            match command {
                Command::Respond { origin, response: answer } => {
                    let id = origin.connection;
                    self.reactor.with_client(id, &mut self.scheduler, |client, socket, context| {
                        client.deliver(origin.stream, &answer, socket, context)
                    });
                }
                command => self.pool.command(command, &mut self.reactor, &mut self.scheduler),
            }
        }
        self.pool.forget_ended(&self.scheduler);
    }

    fn accept_clients(&mut self, listener: ListenerId) {
        self.acceptor.accept(listener, &mut self.reactor, &mut self.scheduler);
    }

    fn retry_accept(&mut self) {
        let now = self.reactor.now();
        self.acceptor.retry(now, &mut self.reactor, &mut self.scheduler);
    }

    // ---- Discovery

    /// Carries out the changes of the endpoint list that have been received, and lets the watch reconnect.
    fn poll_discovery(&mut self, now: Time) {
        while let Some(change) = self.discovery.next_change() {
            self.apply_endpoint_change(now, change);
        }
        self.discovery.poll_watch(now, &mut self.reactor, &mut self.scheduler);
    }

    fn apply_endpoint_change(&mut self, now: Time, change: EndpointChange) {
        for address_change in change.address_changes {
            match address_change {
                AddressChange::Removed(worker) => self.pool.remove(worker),
                AddressChange::Assigned { worker, address, started_at } => {
                    let address = backend::WorkerAddress::NodeAgent(address);
                    self.pool.set_address(worker, address, started_at);
                }
            }
        }
        self.scheduler.update_endpoints(now, change.kind, change.endpoints);
    }

    /// The watch's part of a reload: it goes on counting, at another address if the configuration has changed
    /// it.
    fn reload_discovery(&mut self, now: Time, address: Option<SocketAddr>, known: Vec<WatchEvent>) {
        let moved = self.discovery.set_address(address);
        self.poll_discovery(now);
        self.discovery.offer_known(known);
        if moved {
            self.discovery.restart_watch(now, &mut self.reactor, &mut self.scheduler);
        }
    }

    // ---- New configurations

    /// SIGHUP: both files are read whole and checked before anything of them is used; where one is bad, all
    /// stays as it was. Calls under way go on, and so do connections.
    fn reload(&mut self) {
        let Configuration { scheduler: mut config, operator } = match self.sources.load() {
            Ok(read) => read,
            Err(why) => return eprintln!("function-scheduler: reload refused why=\"{why}\""),
        };
        let jsonrpc = match self.acceptor.prepare_jsonrpc(operator.jsonrpc.as_ref(), &mut self.reactor) {
            Ok(update) => update,
            Err(why) => return eprintln!("function-scheduler: reload refused why=\"{why}\""),
        };
        self.acceptor.apply_jsonrpc(jsonrpc, &mut self.reactor);
        let now = self.reactor.now();
        // What can only be had at a start stays as it is, and is said.
        let fixed = [
            ("listen", config.listen.port() != 0 && config.listen != self.config.listen),
            ("name", config.name != self.config.name),
            ("zones", config.site.zones != self.config.site.zones),
            ("kinds", config.site.kinds != self.config.site.kinds),
            ("vrrp", operator.vrrp != self.operator.vrrp),
        ];
        for (what, _) in fixed.iter().filter(|(_, differs)| *differs) {
            eprintln!("function-scheduler: reload kept what={what}");
        }
        (config.listen, config.name) = (self.config.listen, self.config.name.clone());
        config.site.zones.clone_from(&self.config.site.zones);
        config.site.kinds.clone_from(&self.config.site.kinds);
        let vrrp = self.operator.vrrp.take();
        self.operator = OperatorConfig { vrrp, ..operator };
        let known = std::mem::take(&mut config.known_events);
        self.config = config;
        self.scheduler.reconfigure(now, self.config.site.clone());
        self.pool.configure(limits::worker_limits(&self.config), &mut self.reactor, &mut self.scheduler);
        limit_memory(&self.config, &mut self.scheduler, &mut self.reactor);
        self.acceptor.set_max_connections(limits::max_connections_with_clients(&self.config));
        self.replace_checkers(now);
        self.reload_discovery(now, self.config.event_bus, known);
        eprintln!("function-scheduler: reloaded offset={}", self.discovery.last_offset());
    }

    fn replace_checkers(&mut self, now: Time) {
        let configured = assign_checker_addresses(&self.operator, &self.config.site, &mut self.pool);
        if let Some(change) = self.discovery.set_configured(configured) {
            self.apply_endpoint_change(now, change);
        }
    }

    fn handle_signal(&mut self, pipe: PipeId) {
        match self.signals.request_of(pipe) {
            Some(SignalRequest::Shutdown) => self.begin_shutdown(),
            Some(SignalRequest::PrintCounters) => self.print_counters(),
            Some(SignalRequest::Reload) => self.reload(),
            None => {}
        }
    }

    fn print_counters(&mut self) {
        eprintln!("function-scheduler: {}", self.scheduler.counters());
    }

    fn update_leader(&mut self, event: Event) {
        if let Some(election) = &mut self.leader_election {
            election.handle(event, &mut self.reactor);
        }
    }

    fn receive_advertisements(&mut self, socket: UdpSocketId) {
        if let Some(election) = &mut self.leader_election {
            election.receive(socket, &mut self.reactor, &mut self.scheduler);
        }
    }

    // ---- Shutdown

    /// Begins a graceful shutdown, unless one has begun: the server is no longer ready, and clients are asked
    /// to send no new requests.
    fn begin_shutdown(&mut self) {
        if self.shutdown.is_some() {
            return;
        }
        eprintln!(
            "function-scheduler: ending name={} owed={}",
            self.config.name,
            self.scheduler.open_requests()
        );
        self.shutdown = Some(Shutdown::new(self.reactor.now()));
        self.reactor.ready = false;
        self.update_leader(Event::Shutdown);
        self.notify_clients();
    }

    /// Asks all clients to send no new requests on their connections.
    fn notify_clients(&mut self) {
        for connection in self.reactor.connection_ids() {
            self.reactor.with_client(connection, &mut self.scheduler, |client, socket, context| {
                client.request_leave(socket, context)
            });
        }
    }

    fn shutdown_timer(&self) -> Option<Time> {
        let shutdown = self.shutdown.as_ref()?;
        shutdown.next_timer(self.reactor.now(), self.reactor.has_unsent_output())
    }

    /// Moves a shutdown on; true once it is complete.
    fn advance_shutdown(&mut self) -> bool {
        let now = self.reactor.now();
        while let Some(phase) = self.enter_next_shutdown_phase(now) {
            match phase {
                ShutdownPhase::LateRequests => self.notify_clients(),
                ShutdownPhase::Complete => return true,
                _ => {}
            }
        }
        false
    }

    fn enter_next_shutdown_phase(&mut self, now: Time) -> Option<ShutdownPhase> {
        let shutdown = self.shutdown.as_mut()?;
        let activity = Activity {
            open_requests: self.scheduler.open_requests(),
            has_unsent_output: self.reactor.has_unsent_output(),
            last_poll_was_empty: self.reactor.last_poll_was_empty(),
        };
        shutdown.advance(now, activity)
    }
}

/// Bodies of open calls take a sixth of the memory, and output that nobody reads another.
fn limit_memory(config: &SchedulerConfig, scheduler: &mut Scheduler, reactor: &mut Reactor) {
    scheduler.set_memory_limit(limits::memory_limit(config));
    reactor.unsent_limit = limits::unsent_output_limit(config);
}

/// Gives the pool the addresses of the operator's checkers; their entries of the endpoint list.
fn assign_checker_addresses(operator: &OperatorConfig, site: &Site, pool: &mut Pool) -> Vec<Endpoint> {
    let mut endpoints = Vec::new();
    for CheckerEndpoint { endpoint, socket } in operator.checker_endpoints(site) {
        pool.set_address(endpoint.worker, backend::WorkerAddress::JsonRpc(socket), None);
        endpoints.push(endpoint);
    }
    endpoints
}
