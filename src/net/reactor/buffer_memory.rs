//! The memory of the buffers of all connections.

use super::Reactor;
use crate::net::SharedState;

/// The capacity of the buffers of all connections, in bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BufferMemory {
    /// Input of clients.
    pub client_input: usize,
    /// Output to clients.
    pub client_output: usize,
    /// Input of workers and discovery.
    pub other_input: usize,
    /// Output to workers and discovery.
    pub other_output: usize,
}

impl<S: SharedState + 'static> Reactor<S> {
    /// Returns the memory of the buffers of all connections.
    pub fn buffer_memory(&self) -> BufferMemory {
        let mut memory = BufferMemory::default();
        for managed in self.connections.values() {
            let (input, output) = if managed.is_client {
                (&mut memory.client_input, &mut memory.client_output)
            } else {
                (&mut memory.other_input, &mut memory.other_output)
            };
            *input += managed.stream.input.capacity();
            *output += managed.stream.output_capacity();
        }
        memory
    }
}
