//! The vocabulary that the policy shares with the code around it: identifiers, time, settings, the endpoint
//! list, events and actions. It takes no decisions.

mod actions;
mod endpoints;
mod events;
mod ids;
mod settings;
mod site;
mod time;

pub use actions::*;
pub use endpoints::*;
pub use events::*;
pub use ids::*;
pub use settings::*;
pub use site::*;
pub use time::*;
