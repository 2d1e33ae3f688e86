//! A switch with hysteresis: it changes only after several consecutive observations that differ from it.

/// A switch, initially off, with the number of consecutive observations that differed from it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Hysteresis {
    on: bool,
    disagreements: u8,
}

impl Hysteresis {
    /// Returns whether the switch is on.
    pub(crate) fn is_on(&self) -> bool {
        self.on
    }

    /// Records an observation and returns whether the switch changed.
    ///
    /// The switch changes after `needed` consecutive observations that differ from its state.
    pub(crate) fn observe(&mut self, observed: bool, needed: u8) -> bool {
        self.disagreements = if observed == self.on {
            0
        } else {
            self.disagreements + 1
        };
        let switches = self.disagreements >= needed;
        if switches {
            self.on = !self.on;
            self.disagreements = 0;
        }
        switches
    }
}
