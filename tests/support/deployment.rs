//! Deployments for most tests: one stand-in worker, a scheduler that knows it, and a client of one frontend.
//!
//! The parts are separate values, so that a test can move or drop each of them.

use super::configuration::Configuration;
use super::discovery::{StandInDiscovery, WatchConnection};
use super::frame_client::FrameClient;
use super::jsonrpc_client::{JsonRpcClient, operator_file};
use super::scheduler_process::SchedulerProcess;
use super::settings::default_settings;
use super::worker::StandInWorker;
use serde_json::Value;

/// Starts a node agent, a scheduler with the default settings, and a client of the frame protocol.
pub(crate) fn deploy() -> (StandInWorker, SchedulerProcess, FrameClient) {
    deploy_with_settings(default_settings())
}

/// Starts the deployment of [`deploy`] with these settings.
pub(crate) fn deploy_with_settings(settings: Value) -> (StandInWorker, SchedulerProcess, FrameClient) {
    let worker = StandInWorker::node_agent();
    let scheduler = SchedulerProcess::start_with_settings(&[worker.address()], settings);
    let client = FrameClient::connect(&scheduler);
    (worker, scheduler, client)
}

/// Starts a node agent, a discovery service, and a scheduler with these settings that watches this service.
///
/// The last value is the scheduler's first watch connection.
pub(crate) fn deploy_with_discovery(
    settings: Value,
) -> (StandInWorker, StandInDiscovery, SchedulerProcess, WatchConnection) {
    let worker = StandInWorker::node_agent();
    let discovery = StandInDiscovery::new();
    let scheduler = Configuration::new(&[worker.address()])
        .settings(settings)
        .discovery(discovery.address())
        .start();
    let watch = discovery.accept_from(1);
    (worker, discovery, scheduler, watch)
}

/// Starts a node agent, a scheduler with these settings and an open JSON-RPC frontend, and a client of that
/// frontend.
pub(crate) fn deploy_jsonrpc(settings: Value) -> (StandInWorker, SchedulerProcess, JsonRpcClient) {
    let worker = StandInWorker::node_agent();
    let scheduler = Configuration::new(&[worker.address()])
        .settings(settings)
        .operator_file(operator_file)
        .start();
    let client = JsonRpcClient::connect(&scheduler);
    (worker, scheduler, client)
}
