//! Whether the requests of a connection are passed to the scheduler.

/// Whether a client has completed a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FirstFrameState {
    AwaitingFirstFrame,
    FrameReceived,
}

/// What becomes of a client's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Admission {
    /// They are passed to the scheduler.
    Serving(FirstFrameState),
    /// Every one is rejected, because there are too many clients, and the connection ends with the first.
    Shedding(FirstFrameState),
    /// One has been rejected for that: the connection ends.
    Shed,
}

impl Admission {
    /// That of a new connection whose requests are served.
    pub(super) fn serving() -> Admission {
        Admission::Serving(FirstFrameState::AwaitingFirstFrame)
    }

    /// That of a new connection that was accepted only to have its requests rejected.
    pub(super) fn shedding() -> Admission {
        Admission::Shedding(FirstFrameState::AwaitingFirstFrame)
    }

    /// The client has completed a frame.
    pub(super) fn record_frame(&mut self) {
        match self {
            Admission::Serving(progress) | Admission::Shedding(progress) => {
                *progress = FirstFrameState::FrameReceived;
            }
            Admission::Shed => {}
        }
    }

    /// Whether the client has completed a frame.
    pub(super) fn has_received_frame(self) -> bool {
        match self {
            Admission::Serving(progress) | Admission::Shedding(progress) => {
                progress == FirstFrameState::FrameReceived
            }
            Admission::Shed => true,
        }
    }

    /// Whether the request that has come is passed to the scheduler; if not, it is to be rejected.
    pub(super) fn admits_request(&mut self) -> bool {
        match self {
            Admission::Serving(_) => true,
            Admission::Shedding(_) | Admission::Shed => {
                *self = Admission::Shed;
                false
            }
        }
    }
}
