//! The parts into which the memory limit is divided.

use crate::server::memory_budget::MemoryBudget;

/// Largest request of a usual client as a frame: the largest body (page PROTOCOL), with room for its fields.
const LARGEST_FRAME: usize = (16 << 10) + 700;
/// The same request as a JSON-RPC line, in which the body is in base64.
const LARGEST_LINE: usize = (16 << 10) * 4 / 3 + 1_000;

/// Guards against a share of the memory for input that does not hold the largest request of each of the clients
/// that the page PROTOCOL allows, at the least memory and the most descriptors of the page TERMS (second review, case 6).
#[test]
fn the_least_memory_holds_the_largest_request_of_every_client() {
    let limits = MemoryBudget::new(32).input_limits(1024 / 3);
    let share = limits.guaranteed_bytes / limits.connections;
    assert!(share >= LARGEST_FRAME.max(LARGEST_LINE), "{share}");
}
