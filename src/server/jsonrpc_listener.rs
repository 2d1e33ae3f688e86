//! The JSON-RPC frontend's listener, and its replacement at a reload.

use crate::config::JsonRpcConfig;
use crate::frontend::unix_socket::{self, SocketFile};
use crate::net::ListenerId;
use crate::runtime::Reactor;
use std::io;

/// The JSON-RPC frontend's listener.
#[derive(Debug)]
pub(super) struct JsonRpcListener {
    listener: ListenerId,
    /// Removes the socket's file when the listener is dropped.
    socket_file: SocketFile,
    config: JsonRpcConfig,
}

impl JsonRpcListener {
    /// Listens on the configured Unix socket.
    ///
    /// # Errors
    ///
    /// The system's, or that of [`unix_socket::bind`].
    pub(super) fn bind(config: &JsonRpcConfig, reactor: &mut Reactor) -> io::Result<JsonRpcListener> {
        let (listener, socket_file) = unix_socket::bind(&config.socket, config.mode)?;
        Ok(JsonRpcListener {
            listener: reactor.listen_unix(listener)?,
            socket_file,
            config: config.clone(),
        })
    }

    /// The listener's id in the reactor.
    pub(super) fn id(&self) -> ListenerId {
        self.listener
    }

    /// The configuration in use.
    pub(super) fn config(&self) -> &JsonRpcConfig {
        &self.config
    }
}

/// What a reload does to the JSON-RPC frontend. Clients that are connected stay in any case.
#[derive(Debug)]
pub(super) enum JsonRpcUpdate {
    /// The socket stays, with other limits for clients that are still to come.
    Reconfigure(JsonRpcConfig),
    /// Another listener takes the place of the present one, or none does.
    Replace(Option<JsonRpcListener>),
}

impl JsonRpcUpdate {
    /// Acquires what a new configuration needs, and leaves the present listener in place.
    ///
    /// # Errors
    ///
    /// Those of [`JsonRpcListener::bind`], or the system's where the socket's file can't be given another
    /// mode.
    pub(super) fn prepare(
        current: Option<&JsonRpcListener>,
        config: Option<&JsonRpcConfig>,
        reactor: &mut Reactor,
    ) -> io::Result<JsonRpcUpdate> {
        let Some(config) = config else {
            return Ok(JsonRpcUpdate::Replace(None));
        };
        match current {
            Some(current) if current.config.socket == config.socket => {
                current.socket_file.set_mode(config.mode)?;
                Ok(JsonRpcUpdate::Reconfigure(config.clone()))
            }
            _ => {
                let listener = JsonRpcListener::bind(config, reactor)?;
                Ok(JsonRpcUpdate::Replace(Some(listener)))
            }
        }
    }

    /// Applies this update to the listener in use.
    pub(super) fn apply(self, current: &mut Option<JsonRpcListener>, reactor: &mut Reactor) {
        match self {
            JsonRpcUpdate::Reconfigure(config) => {
                if let Some(current) = current {
                    current.config = config;
                }
            }
            JsonRpcUpdate::Replace(replacement) => {
                if let Some(previous) = std::mem::replace(current, replacement) {
                    reactor.close_listener(previous.listener);
                }
            }
        }
    }
}
