//! Numeric codes of the simulator's wire protocol: those of the event records, of the action records, and of
//! the values of each coded field.

use crate::{
    Action, AttemptStatus, EndpointState, EndpointUpdateKind, HealthCheckStatus, InstanceState, LoadStatus,
};

/// Declares the event records: the code of each, its name on the page WIRE, and its variant.
macro_rules! event_codes {
    ($($code:literal $name:literal => $variant:ident,)*) => {
        /// Kinds of the records that the simulator sends.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub(super) enum EventCode {
            $($variant,)*
        }

        impl EventCode {
            /// Returns the kind of record with this code, or `None` if the code is unknown.
            pub(super) fn from_code(code: u8) -> Option<EventCode> {
                match code {
                    $($code => Some(EventCode::$variant),)*
                    _ => None,
                }
            }

            /// Returns the name of the record on the page WIRE.
            pub(super) fn name(self) -> &'static str {
                match self {
                    $(EventCode::$variant => $name,)*
                }
            }
        }
    };
}

event_codes! {
    1 "OPEN_INSTANCE" => OpenInstance,
    2 "SYNC" => Sync,
    3 "ACCEPT" => Accept,
    4 "STARTED" => Started,
    5 "ANSWER" => Answer,
    6 "CANCELLED_BY_CLIENT" => CancelledByClient,
    7 "TIMER" => Timer,
    8 "PROBE_RESULT" => ProbeResult,
    9 "NOTE_FROM" => NoteFrom,
    10 "KILL" => Kill,
    11 "STANDS" => Stands,
    12 "ROSTER" => Roster,
}

/// Kinds of the records that the scheduler sends, with their names and codes on the page WIRE.
///
/// The other action records of that page are not used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub(super) enum ActionCode {
    Forward = 1,
    Fault = 3,
    DropAttempt = 4,
    Mount = 5,
    Touch = 6,
    Track = 8,
    TurnAway = 9,
    RespondError = 10,
    FreeUp = 11,
    WakeMe = 13,
}

impl From<&Action> for ActionCode {
    fn from(action: &Action) -> ActionCode {
        match action {
            Action::Send { .. } => ActionCode::Forward,
            Action::Cancel { .. } => ActionCode::DropAttempt,
            Action::Reject { .. } => ActionCode::TurnAway,
            Action::Fail { .. } => ActionCode::RespondError,
            Action::Load { .. } => ActionCode::Mount,
            Action::Unload { .. } => ActionCode::FreeUp,
            Action::HealthCheck { .. } => ActionCode::Touch,
            Action::SetTimer { .. } => ActionCode::WakeMe,
            Action::Subscribe => ActionCode::Track,
        }
    }
}

/// A value that is encoded in a field of one byte.
pub(super) trait FieldCode: Sized {
    /// Name of the field in error messages.
    const FIELD_NAME: &'static str;

    /// Returns the value with this code, or `None` if the code is not defined.
    fn from_code(code: u8) -> Option<Self>;
}

/// Declares the codes of a field: its name in error messages, and the value for each code.
macro_rules! field_codes {
    ($(#[$doc:meta])* $type:ident $field:literal { $($code:literal => $variant:ident,)* }) => {
        $(#[$doc])*
        impl FieldCode for $type {
            const FIELD_NAME: &'static str = $field;

            fn from_code(code: u8) -> Option<$type> {
                match code {
                    $($code => Some($type::$variant),)*
                    _ => None,
                }
            }
        }
    };
}

field_codes! {
    /// The field `status` of `ANSWER`.
    AttemptStatus "status" {
        0 => Ok,
        1 => Cancelled,
        4 => Timeout,
        5 => Miss,
        8 => AtCapacity,
        9 => Expired,
        10 => Reset,
        13 => Error,
        14 => ConnectFailed,
    }
}

field_codes! {
    /// The field `status` of `STANDS`.
    ///
    /// The page WIRE defines neither 1 (cancelled) nor 5 (miss) for load orders. Both are decoded as an
    /// order that got no response.
    LoadStatus "status" {
        0 => Ok,
        1 => Timeout,
        4 => Timeout,
        5 => Timeout,
        8 => AtCapacity,
        9 => NotSent,
        10 => Reset,
        13 => Error,
        14 => ConnectFailed,
    }
}

field_codes! {
    /// The field `status` of `PROBE_RESULT`: 0 if the worker is alive, otherwise the reason of the failure.
    HealthCheckStatus "status" {
        0 => Alive,
        1 => Failed,
        4 => Timeout,
        5 => Failed,
        8 => Failed,
        9 => Failed,
        10 => Failed,
        13 => Failed,
        14 => Failed,
    }
}

field_codes! {
    /// The field `how` of `SYNC`.
    EndpointUpdateKind "list kind" {
        0 => Delta,
        1 => Snapshot,
        2 => CachedSnapshot,
        3 => Failed,
    }
}

field_codes! {
    /// The field `mode` of an endpoint in `ROSTER`.
    EndpointState "mode" {
        0 => Ready,
        1 => Draining,
        2 => Gone,
    }
}

/// The field `remark` of `ANSWER`: the state of the instance in the low bits, and the number of requests in
/// flight in the bits above.
#[derive(Clone, Copy, Debug)]
pub(super) struct AnswerRemark(pub(super) u8);

impl AnswerRemark {
    const INSTANCE_STATE_BITS: u32 = 3;
    const INSTANCE_STATE_MASK: u8 = (1 << AnswerRemark::INSTANCE_STATE_BITS) - 1;

    /// Returns whether an instance of the function was loaded, or `Unknown` if the field does not say.
    pub(super) fn instance_state(self) -> InstanceState {
        match self.0 & AnswerRemark::INSTANCE_STATE_MASK {
            1 => InstanceState::Loaded,
            2 => InstanceState::LoadStarted,
            3 => InstanceState::LoadAwaited,
            4 => InstanceState::LoadFailed,
            _ => InstanceState::Unknown,
        }
    }

    /// Returns the number of requests for the same function that were in flight at the worker when this one
    /// arrived.
    pub(super) fn function_in_flight(self) -> u32 {
        u32::from(self.0 >> AnswerRemark::INSTANCE_STATE_BITS)
    }
}
