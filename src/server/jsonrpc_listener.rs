//! The listener of the JSON-RPC frontend, and its replacement on a reload.

use crate::config::JsonRpcConfig;
use crate::frontend::unix_socket::{self, SocketFile};
use crate::net::ListenerId;
use crate::runtime::Reactor;
use std::io;

/// The listener of the JSON-RPC frontend.
#[derive(Debug)]
pub(super) struct JsonRpcListener {
    listener: ListenerId,
    /// Removes the socket file when the listener is dropped.
    socket_file: SocketFile,
    config: JsonRpcConfig,
}

impl JsonRpcListener {
    /// Listens on the configured Unix socket.
    ///
    /// # Errors
    ///
    /// Returns the system error, or the error of [`unix_socket::bind`].
    pub(super) fn bind(config: &JsonRpcConfig, reactor: &mut Reactor) -> io::Result<JsonRpcListener> {
        let (listener, socket_file) = unix_socket::bind(&config.socket, config.mode)?;
        Ok(JsonRpcListener {
            listener: reactor.listen_unix(listener)?,
            socket_file,
            config: config.clone(),
        })
    }

    /// Returns the listener's id in the reactor.
    pub(super) fn id(&self) -> ListenerId {
        self.listener
    }

    /// Returns the configuration in use.
    pub(super) fn config(&self) -> &JsonRpcConfig {
        &self.config
    }
}

/// A change of the JSON-RPC frontend by a reload. Connected clients stay connected in either case.
#[derive(Debug)]
pub(super) enum JsonRpcUpdate {
    /// The socket stays; new limits apply to clients that connect from now on.
    Reconfigure(JsonRpcConfig),
    /// The current listener is replaced by another one, or closed.
    Replace(Option<JsonRpcListener>),
}

impl JsonRpcUpdate {
    /// Acquires what a new configuration needs, without replacing the current listener.
    ///
    /// # Errors
    ///
    /// Returns the error of [`JsonRpcListener::bind`], or the system error if the mode of the socket file
    /// cannot be changed.
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

    /// Applies the update to the listener in use.
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
