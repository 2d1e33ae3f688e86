//! The codec of the simulator's adapter, and the adapter's program around it.

use function_scheduler::simulator_codec::{
    InstanceId, ListId, Record, Reply, WireError, read_batch, read_records,
};
use function_scheduler::*;
use std::io::Write;
use std::process::{Command, Output, Stdio};

/// Settings of a site, with a key that the program does not know.
const SETTINGS: &str = r#"{"fleetSize": 3, "index": 1, "somethingNew": [1],
  "classes": [{"deadlineNs": 6000000000, "effect": "retryable", "objectiveNs": 1200000000}],
  "bounds": {"mostTries": 5},
  "contract": {"coldFrom": 0.17, "coldNs": 16000000000, "fallMultiple": 2.0, "fallNs": 1000000000},
  "familyInfo": {"keepNs": 8100000000, "notLoaded": "miss", "mayOrder": true, "loadSpanNs": 0}}"#;

/// A request for instance 3, in hexadecimal.
const ACCEPT: &str = "03 0000002f 0003 5d3a91c4 40000000 0000 00000000 0000 000000000e4e1c00 \
     0000000000b71b00 01 43c00000 0000007c55d20a01";

const INSTANCE: InstanceId = InstanceId(3);
const WORKER: WorkerId = WorkerId(0x0a12_4a07_1f43);
const OTHER_WORKER: WorkerId = WorkerId(0x0a90_11f2_1f6c);
const FUNCTION: FunctionId = FunctionId(0x7c_55d2_0a01);
const REQUEST: RequestId = RequestId(0x5d3a_91c4);
const OTHER_REQUEST: RequestId = RequestId(0x0e6f_2b19);

/// Bytes of a record's code and length, which stand before its fields.
const RECORD_HEADER_LENGTH: usize = 5;
/// Last byte of a record's length.
const RECORD_LENGTH_LAST_BYTE: usize = 4;
/// Last byte of the length in a batch's header.
const BATCH_LENGTH_LAST_BYTE: usize = 11;
/// Last byte of the number of records in a batch's header.
const BATCH_COUNT_LAST_BYTE: usize = 15;

/// The bytes that hexadecimal digits stand for; anything else in the text is skipped.
fn hex(text: &str) -> Vec<u8> {
    let digits: Vec<u8> = text.bytes().filter(u8::is_ascii_hexdigit).collect();
    digits
        .chunks(2)
        .map(|pair| u8::from_str_radix(std::str::from_utf8(pair).unwrap(), 16).unwrap())
        .collect()
}

/// A batch with these records at this clock time in nanoseconds.
fn batch(now: u64, records: &[Vec<u8>]) -> Vec<u8> {
    let records_bytes = records.concat();
    let mut bytes = now.to_be_bytes().to_vec();
    bytes.extend((records_bytes.len() as u32 + 4).to_be_bytes());
    bytes.extend((records.len() as u32).to_be_bytes());
    bytes.extend(records_bytes);
    bytes
}

/// A batch whose byte at this position is another.
fn batch_with_byte(records: &[Vec<u8>], position: usize, byte: u8) -> Vec<u8> {
    let mut bytes = batch(5, records);
    bytes[position] = byte;
    bytes
}

/// An `OPEN_INSTANCE` record with these settings.
fn open_instance(instance: u16, settings: &str) -> Vec<u8> {
    let mut record = vec![1];
    record.extend((14 + settings.len() as u32).to_be_bytes());
    record.extend(instance.to_be_bytes());
    record.extend(7u64.to_be_bytes());
    record.extend((settings.len() as u32).to_be_bytes());
    record.extend(settings.as_bytes());
    record
}

/// An `ACCEPT` record that ends inside its fields.
fn short_accept() -> Vec<u8> {
    let length = 0x20;
    let mut record = hex(ACCEPT);
    record[RECORD_LENGTH_LAST_BYTE] = length;
    record.truncate(RECORD_HEADER_LENGTH + usize::from(length));
    record
}

/// An `ACCEPT` record whose length reaches beyond its fields.
fn long_accept() -> Vec<u8> {
    let mut record = hex(ACCEPT);
    record[RECORD_LENGTH_LAST_BYTE] = 0x30;
    record
}

/// Decodes one batch.
fn decode(mut bytes: &[u8]) -> Result<Vec<Record>, WireError> {
    let batch = read_batch(&mut bytes)?;
    read_records(&batch.unwrap())
}

/// Runs the adapter's program with this input.
fn run(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_function-scheduler-sim"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    child.stdin.take().unwrap().write_all(input).unwrap();
    child.wait_with_output().unwrap()
}

#[test]
fn endpoint_records_are_decoded_as_the_wire_page_writes_them() {
    let roster = "0c 00000034 0000 00000002 00 0000 00 0a124a07 1f43 3f800000 0000000000000000 00 \
         01 0000 00 0a9011f2 1f6c 3fc00000 000000016b969d00 00";
    let sync = "02 00000009 0003 00000029 02 0000";
    let records = decode(&batch(9, &[hex(roster), hex(sync)])).unwrap();
    let Record::EndpointList {
        list: ListId(0),
        endpoints,
    } = &records[0]
    else {
        panic!()
    };
    assert_eq!(endpoints.len(), 2);
    assert_eq!(endpoints[0].started_at, None);
    assert_eq!(endpoints[1].zone, ZoneId(1));
    assert_eq!(endpoints[1].weight, 1.5);
    assert_eq!(endpoints[1].worker, OTHER_WORKER);
    let Record::EndpointUpdate { instance, kind, list } = records[1] else {
        panic!()
    };
    assert_eq!(instance, INSTANCE);
    assert_eq!(kind, EndpointUpdateKind::CachedSnapshot);
    assert_eq!(list, ListId(0));
}

#[test]
fn request_and_outcome_records_are_decoded_as_the_wire_page_writes_them() {
    let answer = "05 0000001a 0003 5d3a91c4 0000 0a124a07 1f43 00 00000000011a49a0 01 19 00";
    let probe_result = "08 0000001e 0003 0000000000155cc0 04 0a9011f2 1f6c 03 3f1eb8523ecccccd3fa00000";
    let records = decode(&batch(9, &[hex(ACCEPT), hex(answer), hex(probe_result)])).unwrap();
    let Record::Event {
        event: Event::RequestReceived(request),
        ..
    } = &records[0]
    else {
        panic!()
    };
    assert_eq!(request.concurrency, 2.0);
    assert_eq!(request.memory_mb, 384.0);
    assert_eq!(request.load_time, None);
    assert_eq!(request.remaining, Span(240_000_000));
    assert_eq!(request.function, FUNCTION);
    let Record::Event {
        event: Event::AttemptFinished(outcome),
        ..
    } = &records[1]
    else {
        panic!()
    };
    assert_eq!(outcome.instance_state, InstanceState::Loaded);
    assert_eq!(outcome.function_in_flight, 3);
    assert!(outcome.request_finished);
    let Record::Event {
        event: Event::HealthCheckFinished { worker, status },
        ..
    } = records[2]
    else {
        panic!()
    };
    assert_eq!(worker, OTHER_WORKER);
    assert_eq!(status, HealthCheckStatus::Timeout);
}

#[test]
fn timer_client_and_load_records_are_decoded_as_the_wire_page_writes_them() {
    let timer = "07 00000006 0003 0000004d";
    let cancelled_by_client = "06 00000006 0003 0e6f2b19";
    let stands = "0b 0000001a 0003 01 0a9011f2 1f6c 000000002625a000 00 0000007c55d20a01";
    let records = decode(&batch(9, &[hex(timer), hex(cancelled_by_client), hex(stands)])).unwrap();
    assert!(matches!(
        records[0],
        Record::Event {
            instance: INSTANCE,
            event: Event::TimerFired
        }
    ));
    let Record::Event {
        event: Event::ClientDisconnected(id),
        ..
    } = records[1]
    else {
        panic!()
    };
    assert_eq!(id, OTHER_REQUEST);
    let Record::Event {
        event: Event::LoadFinished(outcome),
        ..
    } = &records[2]
    else {
        panic!()
    };
    assert_eq!(outcome.instances, 1);
    assert_eq!(outcome.worker, OTHER_WORKER);
    assert_eq!(outcome.latency, Span(640_000_000));
    assert_eq!(outcome.status, LoadStatus::Ok);
    assert_eq!(outcome.function, FUNCTION);
}

/// Decodes one record, which holds an event.
fn decode_event(record: &str) -> Event {
    let mut records = decode(&batch(9, &[hex(record)])).unwrap();
    let Some(Record::Event { event, .. }) = records.pop() else {
        panic!("no event")
    };
    event
}

#[test]
fn every_status_of_the_wire_page_is_known_of_an_attempt() {
    for (code, expected) in [
        (0, AttemptStatus::Ok),
        (13, AttemptStatus::Error),
        (8, AttemptStatus::AtCapacity),
        (4, AttemptStatus::Timeout),
        (14, AttemptStatus::ConnectFailed),
        (10, AttemptStatus::Reset),
        (1, AttemptStatus::Cancelled),
        (9, AttemptStatus::Expired),
        (5, AttemptStatus::Miss),
    ] {
        let answer =
            format!("05 0000001a 0003 5d3a91c4 0000 0a124a07 1f43 {code:02x} 00000000011a49a0 01 19 00");
        let Event::AttemptFinished(outcome) = decode_event(&answer) else {
            panic!("code {code}")
        };
        assert_eq!(outcome.status, expected, "code {code}");
    }
}

#[test]
fn every_status_of_the_wire_page_is_known_of_a_load_order() {
    for (code, expected) in [
        (0, LoadStatus::Ok),
        (13, LoadStatus::Error),
        (8, LoadStatus::AtCapacity),
        (4, LoadStatus::Timeout),
        (14, LoadStatus::ConnectFailed),
        (10, LoadStatus::Reset),
        (1, LoadStatus::Timeout),
        (9, LoadStatus::NotSent),
        (5, LoadStatus::Timeout),
    ] {
        let stands =
            format!("0b 0000001a 0003 01 0a9011f2 1f6c 000000002625a000 {code:02x} 0000007c55d20a01");
        let Event::LoadFinished(outcome) = decode_event(&stands) else {
            panic!("code {code}")
        };
        assert_eq!(outcome.status, expected, "code {code}");
    }
}

#[test]
fn every_status_of_the_wire_page_is_known_of_a_health_check() {
    for (code, expected) in [
        (0, HealthCheckStatus::Alive),
        (13, HealthCheckStatus::Failed),
        (8, HealthCheckStatus::Failed),
        (4, HealthCheckStatus::Timeout),
        (14, HealthCheckStatus::Failed),
        (10, HealthCheckStatus::Failed),
        (1, HealthCheckStatus::Failed),
        (9, HealthCheckStatus::Failed),
        (5, HealthCheckStatus::Failed),
    ] {
        let probe_result = format!("08 00000011 0003 0000000000155cc0 {code:02x} 0a9011f2 1f6c");
        let Event::HealthCheckFinished { status, .. } = decode_event(&probe_result) else {
            panic!("code {code}")
        };
        assert_eq!(status, expected, "code {code}");
    }
}

#[test]
fn a_record_of_an_unknown_kind_is_ignored() {
    let records = decode(&batch(9, &[hex("63 00000001 ff"), hex(ACCEPT)])).unwrap();
    assert!(matches!(records[0], Record::Ignored));
    assert!(matches!(
        records[1],
        Record::Event {
            instance: INSTANCE,
            ..
        }
    ));
}

#[test]
fn actions_are_encoded_as_the_wire_page_writes_them() {
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
fn a_fault_is_encoded_as_the_wire_page_writes_it() {
    let mut reply = Reply::default();
    reply.add_fault(INSTANCE, "index out of range");
    let expected = "00000001 0000001b 03 00000016 0003 0012 696e646578206f7574206f662072616e6765";
    assert_eq!(reply.into_bytes(), hex(expected));
}

#[test]
fn the_text_of_a_fault_is_cut_after_a_thousand_bytes() {
    let mut reply = Reply::default();
    reply.add_fault(INSTANCE, &"x".repeat(1001));
    let bytes = reply.into_bytes();
    assert_eq!(bytes[..8], hex("00000001 000003f1"));
    assert_eq!(bytes[8..17], hex("03 000003ec 0003 03e8"));
    assert_eq!(bytes[17..], [b'x'; 1000]);
}

#[test]
fn an_empty_batch_gets_an_empty_reply_and_the_end_of_input_is_no_error() {
    let output = run(&batch(5, &[]));
    assert_eq!(output.status.code(), Some(0));
    assert_eq!(output.stdout, [0; 8]);
    assert!(output.stderr.is_empty());
}

#[test]
fn a_malformed_batch_is_reported_and_gets_no_reply() {
    let whole = batch(5, &[hex(ACCEPT)]);
    for (input, expected) in [
        (whole[..9].to_vec(), "batch header"),
        (whole[..30].to_vec(), "cut short"),
        (batch(5, &[short_accept()]), "ACCEPT at position 16"),
        (batch(5, &[long_accept()]), "ACCEPT at position 16"),
    ] {
        let output = run(&input);
        let error = String::from_utf8(output.stderr).unwrap();
        assert_eq!(output.status.code(), Some(1), "{error}");
        assert!(output.stdout.is_empty(), "{error}");
        assert!(error.contains(expected), "{error}");
    }
}

#[test]
fn a_decoding_error_names_the_record_and_its_position() {
    let accept = hex(ACCEPT);
    let timer = hex("07 00000006 0003 0000004d");
    let unknown_status = hex("05 0000001a 0003 5d3a91c4 0000 0a124a07 1f43 63 00000000011a49a0 01 19 00");
    let unknown_kind = hex("02 00000009 0003 00000029 04 0000");
    let unknown_state =
        hex("0c 0000001d 0000 00000001 00 0000 03 0a124a07 1f43 3f800000 0000000000000000 00");
    let whole = batch(5, std::slice::from_ref(&accept));
    for (input, expected) in [
        (whole[..9].to_vec(), "batch header: cut short after 9 of 16 bytes"),
        (
            batch_with_byte(&[], BATCH_LENGTH_LAST_BYTE, 3),
            "batch header: length 3 at position 8 does not fit",
        ),
        (
            whole[..30].to_vec(),
            "batch: cut short after 14 of 52 bytes of records",
        ),
        (
            batch_with_byte(std::slice::from_ref(&accept), BATCH_COUNT_LAST_BYTE, 2),
            "record 1 at position 68: missing",
        ),
        (
            batch(5, &[hex("07 00")]),
            "records at position 16: 4 bytes wanted at its byte 1, it has 2",
        ),
        (
            batch(5, &[long_accept()]),
            "ACCEPT at position 16: its length 48 does not fit",
        ),
        (
            batch(5, &[short_accept()]),
            "ACCEPT at position 16: 8 bytes wanted at its byte 26, it has 32",
        ),
        (
            batch(5, &[accept, unknown_status]),
            "ANSWER at position 68: status 99 at its byte 14 is not known",
        ),
        (
            batch(5, &[unknown_kind]),
            "SYNC at position 16: list kind 4 at its byte 6 is not known",
        ),
        (
            batch(5, &[unknown_state]),
            "ROSTER at position 16: mode 3 at its byte 9 is not known",
        ),
        (
            batch_with_byte(&[timer], BATCH_COUNT_LAST_BYTE, 0),
            "batch: 11 bytes left after record 0",
        ),
    ] {
        assert_eq!(decode(&input).unwrap_err().to_string(), expected);
    }
}

#[test]
fn settings_that_lack_a_rule_are_a_fault_that_names_it() {
    assert!(config::parse_settings(SETTINGS.as_bytes()).is_ok());
    for missing in [
        "coldFrom",
        "fallMultiple",
        "mostTries",
        "keepNs",
        "loadSpanNs",
        "effect",
    ] {
        let error = config::parse_settings(SETTINGS.replace(missing, "x").as_bytes())
            .unwrap_err()
            .to_string();
        assert!(error.contains(missing), "{error}");
    }
    let output = run(&batch(5, &[open_instance(2, "no json")]));
    assert_eq!(output.status.code(), Some(0));
    let first_record_code = output.stdout[8];
    assert_eq!(first_record_code, 3, "FAULT");
}

#[test]
fn an_instance_sends_requests_to_its_workers_until_it_is_killed() {
    let roster = hex("0c 0000001d 0000 00000001 00 0000 00 0a124a07 1f43 3f800000 0000000000000000 00");
    let sync = hex("02 00000009 0003 00000029 02 0000");
    let kill = hex("0a 00000002 0003");
    let mut input = batch(5, &[open_instance(3, SETTINGS), roster, sync]);
    input.extend(batch(6, &[hex(ACCEPT)]));
    input.extend(batch(7, &[kill, hex(ACCEPT)]));
    let output = run(&input);
    assert_eq!(output.status.code(), Some(0));
    let replies = output.stdout;
    let forward = hex("01 00000014 0003 5d3a91c4 000000000e4e1c00 0a124a07 1f43");
    assert!(replies.windows(forward.len()).any(|part| part == forward));
    let last_reply = &replies[replies.len() - 8..];
    assert_eq!(last_reply, [0; 8]);
}
