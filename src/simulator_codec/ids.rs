//! The numbers under which the simulator knows scheduler instances and endpoint lists.

/// A hosted scheduler instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct InstanceId(pub u16);

/// An endpoint list; the simulator reuses the number for later lists.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ListId(pub u16);
