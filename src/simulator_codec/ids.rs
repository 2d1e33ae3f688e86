//! Numbers by which the simulator identifies scheduler instances and endpoint lists.

/// Identifier of a simulated scheduler instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct InstanceId(pub u16);

/// Identifier of an endpoint list.
///
/// The simulator reuses an identifier for a later list, which replaces the earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ListId(pub u16);
