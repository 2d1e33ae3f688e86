//! Startup of the server: creates its sockets and state from the configuration, retrying transient failures.

use super::accept::Acceptor;
use super::client_pause::ClientPause;
use super::endpoints::assign_jsonrpc_worker_addresses;
use super::error::ServerError;
use super::jsonrpc_listener::JsonRpcListener;
use super::leader::LeaderElection;
use super::memory_budget::MemoryBudget;
use super::signals::Signals;
use super::transient::{START_RETRY_INTERVAL, START_TIMEOUT, is_transient};
use super::{Server, limits};
use crate::backend::Pool;
use crate::config::{ConfigProblem, ConfigSources, Configuration, JsonRpcConfig, VrrpConfig};
use crate::discovery::Discovery;
use crate::runtime::{self, Reactor};
use crate::scheduler::Scheduler;
use std::io;
use std::net::SocketAddr;
use std::time::Instant;
use tracing::{info, warn};

/// Sets up a server, retrying after transient failures. Returns `None` if a shutdown is requested meanwhile.
///
/// # Errors
///
/// Returns the last error if it is not transient or the failures persist for [`START_TIMEOUT`].
pub(super) fn start(sources: &ConfigSources, signals: &Signals) -> Result<Option<Server>, ServerError> {
    let began_at = Instant::now();
    let mut failures = 0u32;
    loop {
        match Server::new(sources, signals) {
            Err(error) if is_transient_start_failure(&error) && began_at.elapsed() < START_TIMEOUT => {
                failures += 1;
                if failures == 1 {
                    warn!(cause = error.to_string().as_str(), "start failed, retrying");
                }
            }
            result => return result.map(Some),
        }
        let is_cancelled = signals.wait_for_shutdown(START_RETRY_INTERVAL);
        if is_cancelled.map_err(ServerError::SignalHandlers)? {
            info!("start cancelled");
            return Ok(None);
        }
    }
}

/// Returns whether a startup that failed with this error may succeed if retried.
fn is_transient_start_failure(error: &ServerError) -> bool {
    match error {
        ServerError::Configuration(error) => match &error.problem {
            ConfigProblem::Unreadable { source, .. } => is_transient(source),
            _ => false,
        },
        // `AddrInUse` means that another process is listening at the path of the JSON-RPC frontend. That
        // process is a second server, not a predecessor that is about to exit.
        ServerError::JsonRpcSocket { source, .. } => {
            source.kind() != io::ErrorKind::AddrInUse && is_transient(source)
        }
        ServerError::Reactor(source)
        | ServerError::SignalHandlers(source)
        | ServerError::Listen { source, .. }
        | ServerError::VrrpSocket { source, .. } => is_transient(source),
        ServerError::Poll(_) => false,
    }
}

impl Server {
    /// Reads the configuration, binds all sockets and sets up the state. The server does not serve yet.
    fn new(sources: &ConfigSources, signals: &Signals) -> Result<Server, ServerError> {
        let Configuration {
            scheduler: mut config,
            operator,
        } = sources.load()?;
        let scheduler = Scheduler::new(config.site.clone(), config.seed);
        let mut reactor = runtime::reactor(scheduler).map_err(ServerError::Reactor)?;
        let signals = signals.watch(&mut reactor).map_err(ServerError::SignalHandlers)?;
        config.listen = listen(config.listen, &mut reactor)?;
        let jsonrpc = operator.jsonrpc.as_ref();
        let jsonrpc = jsonrpc
            .map(|config| bind_jsonrpc(config, &mut reactor))
            .transpose()?;
        let vrrp = operator.vrrp.as_ref();
        let leader_election = vrrp
            .map(|config| join_election(config, &mut reactor))
            .transpose()?;
        reactor.shared.active = leader_election.is_none();
        let client_limits = limits::client_limits(&config);
        MemoryBudget::new(config.memory_mb).apply(client_limits.guaranteed, &mut reactor);
        let mut pool = Pool::new(limits::worker_limits(&config));
        let configured = assign_jsonrpc_worker_addresses(&operator, &config.site, &mut pool);
        let known_events = std::mem::take(&mut config.known_events);
        Ok(Server {
            sources: sources.clone(),
            discovery: Discovery::new(config.discovery_service, known_events, configured, reactor.now()),
            acceptor: Acceptor::new(client_limits, jsonrpc),
            client_pause: ClientPause::default(),
            reactor,
            pool,
            config,
            leader_election,
            signals,
            reload_retry: None,
            shutdown: None,
        })
    }
}

/// Listens for clients. Returns the bound address, with the port that the system chose if the configured one
/// is 0.
fn listen(address: SocketAddr, reactor: &mut Reactor) -> Result<SocketAddr, ServerError> {
    reactor
        .listen_tcp(address)
        .map_err(|source| ServerError::Listen { address, source })
}

/// Listens for clients of the JSON-RPC frontend.
fn bind_jsonrpc(config: &JsonRpcConfig, reactor: &mut Reactor) -> Result<JsonRpcListener, ServerError> {
    JsonRpcListener::bind(config, reactor).map_err(|source| ServerError::JsonRpcSocket {
        path: config.socket.clone(),
        source,
    })
}

/// Joins the leader election.
fn join_election(config: &VrrpConfig, reactor: &mut Reactor) -> Result<LeaderElection, ServerError> {
    LeaderElection::new(config, reactor).map_err(|source| ServerError::VrrpSocket {
        address: config.bind,
        source,
    })
}
