//! Tests that replies are encoded in the format of the page WIRE.

use super::support::simulator_wire::hex;
use super::{FUNCTION, INSTANCE, OTHER_REQUEST, REQUEST, WORKER};
use function_scheduler::simulator_codec::Reply;
use function_scheduler::{Action, RejectionCause, Span};

#[test]
fn actions_are_encoded_in_the_wire_format() {
    let actions = [
        Action::Send {
            id: REQUEST,
            worker: WORKER,
            timeout: Span(80_000_000),
        },
        Action::Load {
            worker: WORKER,
            instances: 1,
            function: FUNCTION,
        },
        Action::Unload {
            worker: WORKER,
            function: FUNCTION,
        },
        Action::Cancel {
            id: REQUEST,
            attempt: 0,
        },
        Action::Reject {
            id: OTHER_REQUEST,
            retry_after: Span(250_000_000),
            cause: RejectionCause::NotServed,
        },
        Action::HealthCheck { worker: WORKER },
        Action::Fail { id: OTHER_REQUEST },
        Action::SetTimer {
            delay: Span(500_000_000),
        },
        Action::Subscribe,
    ];
    let records = hex("01 00000014 0003 5d3a91c4 0000000004c4b400 0a124a07 1f43 \
         05 00000011 0003 0a124a07 1f43 01 0000007c55d20a01 \
         0b 00000010 0003 0a124a07 1f43 0000007c55d20a01 \
         04 00000008 0003 5d3a91c4 0000 \
         09 0000000e 0003 0e6f2b19 000000000ee6b280 \
         06 00000008 0003 0a124a07 1f43 \
         0a 00000006 0003 0e6f2b19 \
         0d 0000000e 0003 000000001dcd6500 00000000 \
         08 00000003 0003 01");
    let mut reply = Reply::default();
    for action in &actions {
        reply.add_action(INSTANCE, action);
    }
    let mut expected = (actions.len() as u32).to_be_bytes().to_vec();
    expected.extend((records.len() as u32).to_be_bytes());
    expected.extend(records);
    assert_eq!(reply.into_bytes(), expected);
}

#[test]
fn a_fault_is_encoded_in_the_wire_format() {
    let mut reply = Reply::default();
    reply.add_fault(INSTANCE, "index out of range");
    let expected = "00000001 0000001b 03 00000016 0003 0012 696e646578206f7574206f662072616e6765";
    assert_eq!(reply.into_bytes(), hex(expected));
}

#[test]
fn the_text_of_a_fault_is_truncated_to_1000_bytes() {
    let mut reply = Reply::default();
    reply.add_fault(INSTANCE, &"x".repeat(1001));
    let bytes = reply.into_bytes();
    assert_eq!(bytes[..8], hex("00000001 000003f1"));
    assert_eq!(bytes[8..17], hex("03 000003ec 0003 03e8"));
    assert_eq!(bytes[17..], [b'x'; 1000]);
}
