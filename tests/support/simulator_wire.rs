//! Encodes records and batches of the simulator's wire format, as the page WIRE defines them.

/// An `ACCEPT` record of a request for instance 3, in hexadecimal.
pub(crate) const ACCEPT: &str = "03 0000002f 0003 5d3a91c4 40000000 0000 00000000 0000 000000000e4e1c00 \
     0000000000b71b00 01 43c00000 0000007c55d20a01";

/// The code of an `OPEN_INSTANCE` record.
const OPEN_INSTANCE: u8 = 1;
/// The number of bytes of an `OPEN_INSTANCE` record's fields before its settings.
const OPEN_INSTANCE_FIXED_LENGTH: u32 = 14;
/// The number of bytes of a record's code and length, which precede its fields.
const RECORD_HEADER_LENGTH: usize = 5;
/// The index of the last byte of a record's length.
const RECORD_LENGTH_LAST_BYTE: usize = 4;
/// The number of bytes of a batch's record count, which the length in its header includes.
const COUNT_LENGTH: u32 = 4;

/// The index of the last byte of the length in a batch's header.
pub(crate) const BATCH_LENGTH_LAST_BYTE: usize = 11;
/// The index of the last byte of the record count in a batch's header.
pub(crate) const BATCH_COUNT_LAST_BYTE: usize = 15;

/// Decodes hexadecimal digits; all other characters in the text are skipped.
pub(crate) fn hex(text: &str) -> Vec<u8> {
    let digits: Vec<u8> = text.bytes().filter(u8::is_ascii_hexdigit).collect();
    digits
        .chunks(2)
        .map(|pair| u8::from_str_radix(std::str::from_utf8(pair).unwrap(), 16).unwrap())
        .collect()
}

/// Encodes a batch of these records at this clock time in nanoseconds.
pub(crate) fn batch(now: u64, records: &[Vec<u8>]) -> Vec<u8> {
    let records_bytes = records.concat();
    let mut bytes = now.to_be_bytes().to_vec();
    bytes.extend((records_bytes.len() as u32 + COUNT_LENGTH).to_be_bytes());
    bytes.extend((records.len() as u32).to_be_bytes());
    bytes.extend(records_bytes);
    bytes
}

/// Encodes a batch of these records and replaces its byte at this position.
pub(crate) fn batch_with_byte(records: &[Vec<u8>], position: usize, byte: u8) -> Vec<u8> {
    let mut bytes = batch(5, records);
    bytes[position] = byte;
    bytes
}

/// Encodes an `OPEN_INSTANCE` record with these settings.
pub(crate) fn open_instance(instance: u16, settings: &str) -> Vec<u8> {
    let mut record = vec![OPEN_INSTANCE];
    record.extend((OPEN_INSTANCE_FIXED_LENGTH + settings.len() as u32).to_be_bytes());
    record.extend(instance.to_be_bytes());
    record.extend(7u64.to_be_bytes());
    record.extend((settings.len() as u32).to_be_bytes());
    record.extend(settings.as_bytes());
    record
}

/// Returns an `ACCEPT` record that ends within its fields.
pub(crate) fn short_accept() -> Vec<u8> {
    let length = 0x20;
    let mut record = hex(ACCEPT);
    record[RECORD_LENGTH_LAST_BYTE] = length;
    record.truncate(RECORD_HEADER_LENGTH + usize::from(length));
    record
}

/// Returns an `ACCEPT` record whose length exceeds that of its fields.
pub(crate) fn long_accept() -> Vec<u8> {
    let mut record = hex(ACCEPT);
    record[RECORD_LENGTH_LAST_BYTE] = 0x30;
    record
}
