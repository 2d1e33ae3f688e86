//! Tests that a decoding error states its position in the batch and its cause.

use super::decode;
use super::support::simulator_wire::{
    ACCEPT, BATCH_COUNT_LAST_BYTE, BATCH_LENGTH_LAST_BYTE, batch, batch_with_byte, hex, long_accept,
    short_accept,
};

#[test]
fn a_decoding_error_names_the_record_and_its_position() {
    let accept = hex(ACCEPT);
    let timer = hex("07 00000006 0003 0000004d");
    let unknown_status = hex("05 0000001a 0003 5d3a91c4 0000 0a124a07 1f43 63 00000000011a49a0 01 19 00");
    let unknown_kind = hex("02 00000009 0003 00000029 04 0000");
    let unknown_state =
        hex("0c 0000001d 0000 00000001 00 0000 03 0a124a07 1f43 3f800000 0000000000000000 00");
    let complete_batch = batch(5, std::slice::from_ref(&accept));
    for (input, expected) in [
        (
            complete_batch[..9].to_vec(),
            "batch header: cut short after 9 of 16 bytes",
        ),
        (
            batch_with_byte(&[], BATCH_LENGTH_LAST_BYTE, 3),
            "batch header: length 3 at position 8 is too small",
        ),
        (
            complete_batch[..30].to_vec(),
            "batch: cut short after 14 of 52 bytes of records",
        ),
        (
            batch_with_byte(std::slice::from_ref(&accept), BATCH_COUNT_LAST_BYTE, 2),
            "record 1 at position 68: missing",
        ),
        (
            batch(5, &[hex("07 00")]),
            "records at position 16: field of 4 bytes at offset 1 exceeds the length 2",
        ),
        (
            batch(5, &[long_accept()]),
            "ACCEPT at position 16: length 48 exceeds the batch",
        ),
        (
            batch(5, &[short_accept()]),
            "ACCEPT at position 16: field of 8 bytes at offset 26 exceeds the length 32",
        ),
        (
            batch(5, &[accept, unknown_status]),
            "ANSWER at position 68: unknown status 99 at offset 14",
        ),
        (
            batch(5, &[unknown_kind]),
            "SYNC at position 16: unknown list kind 4 at offset 6",
        ),
        (
            batch(5, &[unknown_state]),
            "ROSTER at position 16: unknown mode 3 at offset 9",
        ),
        (
            batch_with_byte(&[timer], BATCH_COUNT_LAST_BYTE, 0),
            "batch: 11 bytes left after 0 records",
        ),
    ] {
        assert_eq!(decode(&input).unwrap_err().to_string(), expected);
    }
}
