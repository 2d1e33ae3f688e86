//! Tests of the program that connects the policy to the simulator, run as a process.

use super::support::simulator_wire::{ACCEPT, batch, hex, long_accept, open_instance, short_accept};
use function_scheduler::config;
use std::io::Write;
use std::process::{Command, Output, Stdio};

/// Site settings with an unknown key, which the program ignores.
const SETTINGS: &str = r#"{"fleetSize": 3, "index": 1, "somethingNew": [1],
  "classes": [{"deadlineNs": 6000000000, "effect": "retryable", "objectiveNs": 1200000000}],
  "bounds": {"mostTries": 5},
  "contract": {"coldFrom": 0.17, "coldNs": 16000000000, "fallMultiple": 2.0, "fallNs": 1000000000},
  "familyInfo": {"keepNs": 8100000000, "notLoaded": "miss", "mayOrder": true, "loadSpanNs": 0}}"#;

/// Runs the program with `input` on its standard input until it exits.
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
fn an_empty_batch_gets_an_empty_reply_and_the_end_of_input_is_no_error() {
    let output = run(&batch(5, &[]));
    assert_eq!(output.status.code(), Some(0));
    assert_eq!(output.stdout, [0; 8]);
    assert!(output.stderr.is_empty());
}

#[test]
fn a_malformed_batch_is_reported_and_gets_no_reply() {
    let complete_batch = batch(5, &[hex(ACCEPT)]);
    for (input, expected) in [
        (complete_batch[..9].to_vec(), "batch header"),
        (complete_batch[..30].to_vec(), "cut short"),
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
fn invalid_settings_are_a_fault_and_a_missing_key_is_named() {
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
    assert!(replies.windows(forward.len()).any(|window| window == forward));
    let last_reply = &replies[replies.len() - 8..];
    assert_eq!(last_reply, [0; 8]);
}
