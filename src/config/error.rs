//! Configuration errors, which name the invalid document, the key and the problem.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;

/// One of the documents that make up the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigDocument {
    /// The platform's configuration file.
    SchedulerFile,
    /// The operator's file.
    OperatorFile,
    /// The site's settings, which are embedded in the platform's file.
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

/// An error in one of the configuration documents.
#[derive(Debug, Error)]
#[error("{document}: {problem}")]
pub struct ConfigError {
    /// The invalid document.
    pub document: ConfigDocument,
    /// The problem found in the document.
    pub problem: ConfigProblem,
}

/// A problem in a configuration document.
///
/// Keys are paths in the notation of the document, such as `classes[0].effect`.
#[derive(Debug, Error)]
pub enum ConfigProblem {
    /// The file cannot be read.
    #[error("cannot read {}: {source}", path.display())]
    Unreadable {
        /// Path of the file.
        path: PathBuf,
        /// Error of the system call.
        source: io::Error,
    },
    /// The document is not valid JSON, lacks a required key, or has a value of the wrong type.
    ///
    /// The inner error names the key and the line.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// The document is not valid TOML, lacks a required key, or has an unknown key or a value of the wrong
    /// type.
    ///
    /// The inner error names the key and the line.
    #[error("{0}")]
    Toml(#[from] Box<toml::de::Error>),
    /// A value is not one of those defined for its key.
    #[error("{key} is '{value}'")]
    UnknownValue {
        /// Path of the key that has the value.
        key: String,
        /// Value as it was read.
        value: String,
    },
    /// A key that the value of another key requires is missing.
    #[error("{parent} lacks {key}")]
    MissingKey {
        /// Path of the object that lacks the key.
        parent: String,
        /// Name of the missing key, without its path.
        key: &'static str,
    },
    /// A number is outside the range that is valid for its key.
    #[error("{key} is not between {min} and {max}")]
    OutOfRange {
        /// Path of the key that has the number.
        key: &'static str,
        /// Smallest valid value.
        min: usize,
        /// Largest valid value.
        max: usize,
    },
    /// A numeric parameter of the virtual router is outside its range (RFC 9568, section 5.2).
    #[error("vrrp.vrid, priority and interval_cs start from 1")]
    VirtualRouterOutOfRange {
        /// Path of the key that has the parameter.
        key: &'static str,
    },
    /// An address for sending or receiving VRRP advertisements is not a loopback address.
    #[error("vrrp.bind and peers are loopback addresses")]
    NotLoopback {
        /// Path of the key that has the address.
        key: &'static str,
        /// Address that is not a loopback address.
        address: SocketAddr,
    },
    /// The id of a JSON-RPC worker is not `s-` followed by 8 hexadecimal digits.
    #[error("checkers.id '{id}' is not 's-' and 8 hexadecimal digits")]
    InvalidJsonRpcWorkerId {
        /// Id as it was read.
        id: String,
    },
    /// Two JSON-RPC workers have the same id.
    #[error("checkers.id '{id}' is given twice")]
    DuplicateJsonRpcWorkerId {
        /// Id that occurs twice.
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

    /// Returns the [`ConfigError`] that reports this problem in `document`.
    pub(super) fn in_document(self, document: ConfigDocument) -> ConfigError {
        ConfigError {
            document,
            problem: self,
        }
    }
}
