//! Errors of the configuration: which document cannot be used, which key, and what is wrong with it.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;

/// A document of which the configuration consists.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigDocument {
    /// The platform's configuration file.
    SchedulerFile,
    /// The operator's file.
    OperatorFile,
    /// The site's settings, which the platform's file contains.
    Settings,
}

impl fmt::Display for ConfigDocument {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str(match self {
            ConfigDocument::SchedulerFile => "configuration",
            ConfigDocument::OperatorFile => "operator's file",
            ConfigDocument::Settings => "settings",
        })
    }
}

/// Why a configuration cannot be used.
#[derive(Debug, Error)]
#[error("{document}: {problem}")]
pub struct ConfigError {
    /// The document that cannot be used.
    pub document: ConfigDocument,
    /// What is wrong with it.
    pub problem: ConfigProblem,
}

/// What is wrong with a document. Keys are paths as the document writes them, such as `classes[0].effect`.
#[derive(Debug, Error)]
pub enum ConfigProblem {
    /// The file cannot be read.
    #[error("cannot read {}: {source}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The error of the system call.
        source: io::Error,
    },
    /// It is not JSON, or lacks a key, or a key's value has another type. The inner error names the key and
    /// the line.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// It is not TOML, or lacks a key, or has an unknown one, or a key's value has another type. The inner
    /// error names the key and the line.
    #[error("{0}")]
    Toml(#[from] Box<toml::de::Error>),
    /// A value is not among those listed for its key.
    #[error("{key} is '{value}'")]
    UnknownValue {
        /// The key.
        key: String,
        /// Its value.
        value: String,
    },
    /// A key is missing that the value of another key requires.
    #[error("{parent} lacks {key}")]
    MissingKey {
        /// The object that should hold the key.
        parent: String,
        /// The key.
        key: &'static str,
    },
    /// A number is outside the range of its key.
    #[error("{key} is not between {min} and {max}")]
    OutOfRange {
        /// The key.
        key: &'static str,
        /// Least valid value.
        min: usize,
        /// Greatest valid value.
        max: usize,
    },
    /// A number of the virtual router is outside its range (RFC 9568, section 5.2).
    #[error("vrrp.vrid, priority and interval_cs start from 1")]
    VirtualRouterOutOfRange {
        /// The key.
        key: &'static str,
    },
    /// An address on which advertisements are sent or received is not a loopback address.
    #[error("vrrp.bind and peers are loopback addresses")]
    NotLoopback {
        /// The key.
        key: &'static str,
        /// The address.
        address: SocketAddr,
    },
    /// The id of a JSON-RPC worker is not `s-` and 8 hexadecimal digits.
    #[error("checkers.id '{id}' is not 's-' and 8 hexadecimal digits")]
    InvalidJsonRpcWorkerId {
        /// The id.
        id: String,
    },
    /// Two JSON-RPC workers have the same id.
    #[error("checkers.id '{id}' is given twice")]
    DuplicateJsonRpcWorkerId {
        /// The id.
        id: String,
    },
}

impl ConfigProblem {
    pub(super) fn unknown_value(key: impl Into<String>, value: &str) -> ConfigProblem {
        ConfigProblem::UnknownValue {
            key: key.into(),
            value: value.to_owned(),
        }
    }

    /// The error that names `document` as the one with this problem.
    pub(super) fn in_document(self, document: ConfigDocument) -> ConfigError {
        ConfigError {
            document,
            problem: self,
        }
    }
}
