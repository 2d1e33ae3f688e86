//! Tests of the simulator's wire codec and of the program that connects the policy to the simulator.

mod actions;
mod errors;
mod events;
mod program;
mod statuses;
#[path = "../support/mod.rs"]
#[allow(dead_code, reason = "each test crate uses a part of the support code")]
mod support;

use function_scheduler::simulator_codec::{InstanceId, Record, WireError, read_batch, read_records};
use function_scheduler::{Event, FunctionId, RequestId, WorkerId};
use support::simulator_wire::{batch, hex};

const INSTANCE: InstanceId = InstanceId(3);
const WORKER: WorkerId = WorkerId(0x0a12_4a07_1f43);
const OTHER_WORKER: WorkerId = WorkerId(0x0a90_11f2_1f6c);
const FUNCTION: FunctionId = FunctionId(0x7c_55d2_0a01);
const REQUEST: RequestId = RequestId(0x5d3a_91c4);
const OTHER_REQUEST: RequestId = RequestId(0x0e6f_2b19);

/// Decodes the records of one batch.
fn decode(mut bytes: &[u8]) -> Result<Vec<Record>, WireError> {
    let batch = read_batch(&mut bytes)?;
    read_records(&batch.unwrap())
}

/// Decodes a batch with `records`, each given in hexadecimal.
fn decode_records<const N: usize>(records: [&str; N]) -> [Record; N] {
    let decoded = decode(&batch(9, &records.map(hex))).unwrap();
    decoded.try_into().expect("one record each")
}

/// Decodes a batch with `records`, each an event of [`INSTANCE`] given in hexadecimal.
fn decode_events<const N: usize>(records: [&str; N]) -> [Event; N] {
    decode_records(records).map(|record| match record {
        Record::Event {
            instance: INSTANCE,
            event,
        } => event,
        other => panic!("not an event of the instance: {other:?}"),
    })
}
