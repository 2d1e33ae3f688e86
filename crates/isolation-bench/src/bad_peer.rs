//! The kinds of bad peers.

use clap::ValueEnum;

/// A kind of peer that sends as fast as it can, and reads what it is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub(crate) enum BadPeer {
    /// No bad peer.
    None,
    /// Clients whose requests have 255 fields, and none that is needed.
    ManyFields,
    /// Clients whose requests have no field.
    NoFields,
    /// Clients that request a class that does not exist.
    UnknownClass,
    /// Clients that request functions that no worker knows, 32 at a time on each connection.
    UnknownFunctions,
    /// Clients that ask whether the scheduler is ready.
    Readiness,
    /// Clients that cancel each request at once.
    Cancellations,
    /// Clients whose frames are as long as a length can say.
    LongFrames,
    /// Clients that leave a frame half sent.
    HalfFrames,
    /// Clients that send most of a large request, wait until they are closed, and connect anew.
    PartialRequests,
    /// The same with half as many bytes, which fit into the share of each connection.
    SmallPartialRequests,
    /// The same, and the rest follows byte by byte.
    SlowPartialRequests,
    /// Clients that send most of a large request while a whole one of a usual class is open.
    PartialBesideOpen,
    /// Clients that send a length that is impossible, are closed, and connect anew at once.
    ImpossibleLengths,
    /// Clients that send hundreds of requests with large bodies at once and withdraw them.
    LargeWithdrawals,
    /// Clients that send hundreds of requests with large bodies for functions that no worker knows.
    LargeRequests,
    /// Frame clients of all kinds, drawn at random for each connection.
    Mixture,
    /// Clients that connect, send half a request and close.
    Connects,
    /// JSON-RPC clients that send batches of 64 calls.
    JsonRpcBatches,
    /// JSON-RPC clients that send lines of one digit.
    JsonRpcShortLines,
    /// JSON-RPC clients that send objects of thousands of members.
    JsonRpcManyMembers,
    /// Workers that send responses to exchanges that do not exist.
    WorkerResponses,
    /// A discovery service that sends whole lists without an end.
    EndpointLists,
    /// A VRRP peer that sends advertisements without an end.
    Advertisements,
}

/// The kinds of which [`BadPeer::Mixture`] consists.
const FRAME_CLIENTS: [BadPeer; 14] = [
    BadPeer::ManyFields,
    BadPeer::NoFields,
    BadPeer::UnknownClass,
    BadPeer::UnknownFunctions,
    BadPeer::Readiness,
    BadPeer::Cancellations,
    BadPeer::LongFrames,
    BadPeer::HalfFrames,
    BadPeer::PartialRequests,
    BadPeer::SmallPartialRequests,
    BadPeer::PartialBesideOpen,
    BadPeer::ImpossibleLengths,
    BadPeer::LargeWithdrawals,
    BadPeer::LargeRequests,
];

impl BadPeer {
    /// Returns the kind of a new connection.
    pub(crate) fn of_connection(self) -> BadPeer {
        if self == BadPeer::Mixture {
            FRAME_CLIENTS[fastrand::usize(..FRAME_CLIENTS.len())]
        } else {
            self
        }
    }

    /// Returns whether the bad peers are clients of the JSON-RPC frontend.
    pub(crate) fn is_jsonrpc_client(self) -> bool {
        matches!(
            self,
            BadPeer::JsonRpcBatches | BadPeer::JsonRpcShortLines | BadPeer::JsonRpcManyMembers
        )
    }
}
