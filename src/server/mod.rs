//! The server: the event loop that joins the scheduler with its frontends, its workers, discovery and
//! signals.

mod leader;
mod signals;

use crate::backend::{self, Pool};
use crate::config::{CheckerEndpoint, ConfigSources, Configuration, OperatorConfig, SchedulerConfig};
use crate::discovery::{AddressChange, Discovery, EndpointChange, WatchEvent};
use crate::frontend::unix_socket::{self, SocketFile};
use crate::frontend::{FrameConnection, JsonRpcConnection};
use crate::model::{Endpoint, Site, Span, Time};
use crate::net::{ListenerId, PipeId, Reactor, ReactorEvent, Stream, SystemClock, UdpSocketId};
use crate::scheduler::{Command, Scheduler};
use crate::vrrp::Event;
use leader::LeaderElection;
use signals::{SignalPipes, SignalRequest};
use std::collections::BTreeSet;
use std::io;
use std::net::SocketAddr;
use std::panic::{AssertUnwindSafe, catch_unwind};

/// After SIGTERM clients still come for a while; nothing ends before this.
const PART: Span = Span::from_millis(1_200);
/// When connections that came after SIGTERM are told that they are to leave.
const LATE_LEAVE: Span = Span::from_millis(750);
/// How long answers may wait to be written before the end, from when the last is put in line.
const LAST_WRITE: Span = Span::from_millis(500);
/// Pause before clients are accepted again after the system could not give one a descriptor.
const ACCEPT_AGAIN: Span = Span::from_millis(50);
/// Descriptors kept for the poll, the listeners, the pipes, the bus and the standard streams.
const RESERVED: usize = 32;

struct Server {
    sources: ConfigSources,
    scheduler: Scheduler,
    reactor: Reactor,
    pool: Pool,
    config: SchedulerConfig,
    operator: OperatorConfig,
    discovery: Discovery,
    /// When to look again at the listeners: the system tells of a client that waits there once only.
    accept_again: Option<Time>,
    /// The listener of the second front, and its file.
    rpc: Option<(ListenerId, SocketFile)>,
    rpc_clients: BTreeSet<u64>,
    /// Without it this server always takes requests on the JSON-RPC front.
    leader_election: Option<LeaderElection>,
    signals: SignalPipes,
    /// Since when the daemon is on its way out.
    ending: Option<Time>,
    /// Since when nothing is owed any more, on the way out.
    settled: Option<Time>,
    told_late: bool,
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
        let rpc = match &operator.jsonrpc {
            None => None,
            Some(front) => {
                let (listener, file) = unix_socket::bind(&front.socket, front.mode)?;
                Some((reactor.listen_unix(listener)?, file))
            }
        };
        let leader_election = match &operator.vrrp {
            Some(vrrp) => Some(LeaderElection::new(vrrp, &mut reactor)?),
            None => None,
        };
        reactor.active = leader_election.is_none();
        let mut scheduler = Scheduler::new(config.site.clone(), config.seed);
        limit_memory(&config, &mut scheduler, &mut reactor);
        let mut pool = Pool::new(worker_limits(&config));
        let configured = assign_checker_addresses(&operator, &config.site, &mut pool);
        let known = std::mem::take(&mut config.known_events);
        let discovery = Discovery::new(config.bus, known, configured, reactor.now());
        Ok(Server {
            sources,
            scheduler,
            reactor,
            pool,
            config,
            discovery,
            accept_again: None,
            operator,
            rpc,
            rpc_clients: BTreeSet::new(),
            leader_election,
            signals,
            ending: None,
            settled: None,
            told_late: false,
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
            let until = until.chain(self.next_step()).chain(self.accept_again).chain(election).min();
            for signal in self.reactor.poll(until, &mut self.scheduler)? {
                match signal {
                    ReactorEvent::ClientWaiting(listener) => self.accept(listener),
                    ReactorEvent::PipeReadable(pipe) => self.handle_signal(pipe),
                    ReactorEvent::DatagramWaiting(socket) => self.receive_advertisements(socket),
                }
            }
            let now = self.reactor.now();
            if self.accept_again.take_if(|at| *at <= now).is_some() {
                self.reactor.listener_ids().into_iter().for_each(|listener| self.accept(listener));
            }
            self.update_leader(Event::TimerExpired);
            self.settle();
            if self.ended() {
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

    fn accept(&mut self, listener: ListenerId) {
        loop {
            // Clients hold a third of the descriptors at most; what workers need is kept free.
            let budget = self.config.max_descriptors.saturating_sub(RESERVED);
            let room = self.reactor.connection_count() < budget - budget / 8;
            match self.reactor.accept(listener) {
                Ok(Some(stream)) if room || self.reactor.close_longest_idle(&mut self.scheduler) => {
                    let now = self.reactor.now();
                    if self.rpc.as_ref().is_some_and(|(number, _)| *number == listener) {
                        self.accept_rpc(now, stream);
                        continue;
                    }
                    let connection = Box::new(FrameConnection::new(now));
                    let limits = FrameConnection::buffer_limits();
                    self.reactor.add_connected(stream, connection, limits, &mut self.scheduler);
                }
                Ok(Some(_)) if !self.scheduler.may_log(self.reactor.now()) => {}
                Ok(Some(_)) => eprintln!("function-scheduler: accept dropped why=\"no descriptors left\""),
                Ok(None) => return,
                Err(e) if e.kind() == io::ErrorKind::ConnectionAborted => {}
                Err(e) => {
                    let now = self.reactor.now();
                    if self.scheduler.may_log(now) {
                        eprintln!("function-scheduler: accept failed why=\"{e}\"");
                    }
                    self.accept_again = Some(now + ACCEPT_AGAIN);
                    return;
                }
            }
        }
    }

    fn accept_rpc(&mut self, now: Time, stream: Stream) {
        let Some(front) = &self.operator.jsonrpc else { return };
        let reactor = &mut self.reactor;
        self.rpc_clients.retain(|id| reactor.has_connection(*id));
        if self.rpc_clients.len() >= front.max_clients {
            // The one that has held its place longest without anything open makes room, if there is one.
            let idle = |id: &u64| Some((reactor.idle_since(*id)?, *id));
            if let Some((_, id)) = self.rpc_clients.iter().filter_map(idle).min() {
                reactor.close_connection(id, &mut self.scheduler);
                self.rpc_clients.remove(&id);
            }
        }
        if self.rpc_clients.len() >= front.max_clients && !self.scheduler.may_log(now) {
            return;
        }
        if self.rpc_clients.len() >= front.max_clients {
            return eprintln!("function-scheduler: accept dropped why=\"max_clients\"");
        }
        let connection = Box::new(JsonRpcConnection::new(now, front.max_line_bytes));
        let limits = JsonRpcConnection::buffer_limits(front.max_line_bytes);
        self.rpc_clients.extend(reactor.add_connected(stream, connection, limits, &mut self.scheduler));
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
        if let Err(why) = self.reload_fronts(&operator) {
            return eprintln!("function-scheduler: reload refused why=\"{why}\"");
        }
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
        self.pool.configure(worker_limits(&self.config), &mut self.reactor, &mut self.scheduler);
        limit_memory(&self.config, &mut self.scheduler, &mut self.reactor);
        self.replace_checkers(now);
        self.reload_discovery(now, self.config.bus, known);
        eprintln!("function-scheduler: reloaded offset={}", self.discovery.last_offset());
    }

    /// The second front's part of the operator's file. Its socket moves if the file names another; clients
    /// that are connected stay. Where the new socket cannot be had nothing has changed.
    fn reload_fronts(&mut self, operator: &OperatorConfig) -> io::Result<()> {
        let path = |operator: &OperatorConfig| operator.jsonrpc.as_ref().map(|front| front.socket.clone());
        let same = path(operator) == path(&self.operator);
        let new = match (&operator.jsonrpc, &self.rpc) {
            (Some(front), Some((_, file))) if same => return file.set_mode(front.mode),
            (None, _) => None,
            (Some(front), _) => {
                let (listener, file) = unix_socket::bind(&front.socket, front.mode)?;
                Some((self.reactor.listen_unix(listener)?, file))
            }
        };
        if let Some((listener, _)) = std::mem::replace(&mut self.rpc, new) {
            self.reactor.close_listener(listener);
        }
        Ok(())
    }

    fn replace_checkers(&mut self, now: Time) {
        let configured = assign_checker_addresses(&self.operator, &self.config.site, &mut self.pool);
        if let Some(change) = self.discovery.set_configured(configured) {
            self.apply_endpoint_change(now, change);
        }
    }

    fn handle_signal(&mut self, pipe: PipeId) {
        match self.signals.request_of(pipe) {
            Some(SignalRequest::Shutdown) => self.begin_end(),
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

    // ---- The end

    /// SIGTERM: no longer ready, clients are asked to leave, but what still comes is taken and answered.
    fn begin_end(&mut self) {
        if self.ending.is_some() {
            return;
        }
        eprintln!(
            "function-scheduler: ending name={} owed={}",
            self.config.name,
            self.scheduler.open_requests()
        );
        self.ending = Some(self.reactor.now());
        self.reactor.ready = false;
        self.update_leader(Event::Shutdown);
        self.leave_all();
    }

    fn leave_all(&mut self) {
        for id in self.reactor.connection_ids() {
            self.reactor.with_client(id, &mut self.scheduler, |client, socket, context| {
                client.request_leave(socket, context)
            });
        }
    }

    fn next_step(&self) -> Option<Time> {
        let since = self.ending?;
        let now = self.reactor.now();
        if self.settled.is_some() && now >= since + PART && !self.reactor.has_unsent_output() {
            // One more look at the sockets.
            return Some(now);
        }
        let given_up = self.settled.map(|settled| settled.max(since + PART) + LAST_WRITE);
        let steps = [Some(since + LATE_LEAVE), Some(since + PART), given_up];
        steps.into_iter().flatten().find(|at| *at > now)
    }

    fn ended(&mut self) -> bool {
        let Some(since) = self.ending else { return false };
        let now = self.reactor.now();
        if now >= since + LATE_LEAVE && !self.told_late {
            self.told_late = true;
            self.leave_all();
        }
        if self.scheduler.open_requests() > 0 {
            self.settled = None;
            return false;
        }
        // The last answer may come as late as its call allows: the time to write it counts from then.
        let settled = (*self.settled.get_or_insert(now)).max(since + PART);
        // A request may wait unread behind answers that have just gone out, and closing on it would take from
        // its client also what that has not read yet. The end comes when the sockets have nothing more.
        let done = !self.reactor.has_unsent_output() && self.reactor.last_poll_was_empty();
        now >= since + PART && (done || now >= settled + LAST_WRITE)
    }
}

/// Bodies of open calls take a sixth of the memory, and output that nobody reads another.
fn limit_memory(config: &SchedulerConfig, scheduler: &mut Scheduler, reactor: &mut Reactor) {
    scheduler.set_memory_limit(config.memory_mb << 20);
    reactor.unsent_limit = (config.memory_mb << 20) / 6;
}

/// What the configuration lets connections to workers take.
fn worker_limits(config: &SchedulerConfig) -> backend::Limits {
    let site = &config.site;
    backend::Limits {
        attempts_per_connection: site.attempts_per_connection,
        // Closed before the worker's own limit, or a command could cross its close.
        idle_timeout: site.idle_timeout.mul_f64(0.8),
        // The platform allows connects 50 ms more than the simulator does.
        connect_timeout: Span(site.connect_timeout.0 + Span::from_millis(50).0),
        max_connections: config.max_descriptors.saturating_sub(RESERVED),
        schedulers: site.settings.fleet_size as usize,
    }
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
