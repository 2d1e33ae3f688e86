//! Tests of encoded messages byte by byte, and of each decode error.

use super::*;

fn example() -> Advertisement {
    Advertisement {
        virtual_router_id: 7,
        priority: 100,
        interval_centiseconds: 100,
        addresses: vec![Ipv4Addr::new(127, 0, 0, 100)],
    }
}

/// Returns the encoded example with a modification and the matching checksum.
fn modified_message(change: fn(&mut Vec<u8>)) -> Vec<u8> {
    let mut message = example().encode();
    change(&mut message);
    set_checksum(&mut message);
    message
}

#[test]
fn a_message_is_encoded_as_the_protocol_writes_it_and_decoded_again() {
    let message = example().encode();
    // 0x3107 + 0x6401 + 0x0064 + 0x7f00 + 0x0064 = 0x114d0, folded 0x14d1, inverted 0xeb2e.
    assert_eq!(message, [0x31, 7, 100, 1, 0, 100, 0xeb, 0x2e, 127, 0, 0, 100]);
    assert_eq!(Advertisement::decode(&message), Ok(example()));
}

#[test]
fn a_malformed_message_is_dropped_with_its_reason() {
    let message = example().encode();
    let wrong_priority = [&message[..2], &[101], &message[3..]].concat();
    let without_address = modified_message(|message| {
        message[3] = 0;
        message.truncate(HEADER_LENGTH);
    });
    let zero_interval = modified_message(|message| message[4..6].copy_from_slice(&[0xf0, 0]));
    for (message, error, text) in [
        (vec![], DecodeError::TooShort, "cut short"),
        (message[..7].to_vec(), DecodeError::TooShort, "cut short"),
        (
            message[..11].to_vec(),
            DecodeError::AddressCountMismatch,
            "length does not match the address count",
        ),
        (
            modified_message(|message| message[0] = 0x21),
            DecodeError::UnsupportedVersion,
            "not version 3",
        ),
        (
            modified_message(|message| message[0] = 0x32),
            DecodeError::UnknownType,
            "not an advertisement",
        ),
        (
            modified_message(|message| message[3] = 2),
            DecodeError::AddressCountMismatch,
            "length does not match the address count",
        ),
        (
            modified_message(|message| message[1] = 0),
            DecodeError::ZeroField,
            "virtual router id or interval is zero",
        ),
        (
            zero_interval,
            DecodeError::ZeroField,
            "virtual router id or interval is zero",
        ),
        (without_address, DecodeError::NoAddress, "no address"),
        (wrong_priority, DecodeError::ChecksumMismatch, "checksum mismatch"),
    ] {
        assert_eq!(Advertisement::decode(&message), Err(error), "{message:?}");
        assert_eq!(error.to_string(), text);
    }
}

#[test]
fn reserved_bits_are_ignored() {
    let message = modified_message(|message| message[4] |= 0xf0);
    assert_eq!(Advertisement::decode(&message), Ok(example()));
}
