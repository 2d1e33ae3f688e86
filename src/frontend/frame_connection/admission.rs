//! Whether the requests of a connection are submitted to the scheduler.

/// Whether a client has sent its first complete frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FirstFrameState {
    AwaitingFirstFrame,
    FrameReceived,
}

/// How the requests of a client are handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Admission {
    /// Requests are submitted to the scheduler.
    Serving(FirstFrameState),
    /// There are too many clients: the first request is rejected and the connection is then closed.
    Shedding(FirstFrameState),
    /// A request was rejected because there are too many clients: the connection closes.
    Shed,
}

impl Admission {
    /// Creates the state of a new connection whose requests are served.
    pub(super) fn serving() -> Admission {
        Admission::Serving(FirstFrameState::AwaitingFirstFrame)
    }

    /// Creates the state of a new connection that was accepted only to reject its requests.
    pub(super) fn shedding() -> Admission {
        Admission::Shedding(FirstFrameState::AwaitingFirstFrame)
    }

    /// Records that the client has sent a complete frame.
    pub(super) fn record_frame(&mut self) {
        match self {
            Admission::Serving(first_frame) | Admission::Shedding(first_frame) => {
                *first_frame = FirstFrameState::FrameReceived;
            }
            Admission::Shed => {}
        }
    }

    /// Returns whether the client has sent a complete frame.
    pub(super) fn has_received_frame(self) -> bool {
        match self {
            Admission::Serving(first_frame) | Admission::Shedding(first_frame) => {
                first_frame == FirstFrameState::FrameReceived
            }
            Admission::Shed => true,
        }
    }

    /// Returns whether a new request is submitted to the scheduler; if not, the caller must reject it.
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
