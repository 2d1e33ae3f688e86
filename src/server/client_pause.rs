//! Whether the input of clients waits until commands that are left have been executed.

/// Maximum number of turns of the event loop in a row in which clients wait.
const MAX_PAUSED_TURNS: u32 = 4;

/// Lets clients wait while earlier work is left, so that what was accepted goes on before new requests are read. It
/// does not last: workers that send at full speed would otherwise keep all clients waiting.
#[derive(Debug, Default)]
pub(super) struct ClientPause {
    /// Number of turns in a row in which clients have waited.
    paused_turns: u32,
}

impl ClientPause {
    /// Returns whether clients wait in the next turn, given whether commands are left.
    pub(super) fn update(&mut self, has_commands: bool) -> bool {
        let is_paused = has_commands && self.paused_turns < MAX_PAUSED_TURNS;
        self.paused_turns = if is_paused { self.paused_turns + 1 } else { 0 };
        is_paused
    }
}
