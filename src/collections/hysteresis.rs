//! A switch that follows its input only once the input has been steady.

/// A switch, off at first, with the observations in a row that disagreed with it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Hysteresis {
    on: bool,
    disagreements: u8,
}

impl Hysteresis {
    /// Whether it is on.
    pub(crate) fn is_on(&self) -> bool {
        self.on
    }

    /// Takes in an observation; after `needed` in a row that disagree the switch switches. Returns whether it
    /// turned.
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
