//! Adapter for the simulator: reads batches of events from standard input, hosts one policy per simulated
//! scheduler instance, and writes the policies' actions to standard output, one reply per batch.
#![forbid(unsafe_code)]

mod host;

use function_scheduler::simulator_codec::{Reply, WireError, read_batch, read_records};
use host::Host;
use std::io::{self, BufReader, Read, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    let input = BufReader::new(io::stdin().lock());
    let output = io::stdout().lock();
    match serve(input, output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("function-scheduler-sim: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Replies to batches until the end of the input.
fn serve(mut input: impl Read, mut output: impl Write) -> Result<(), WireError> {
    let mut host = Host::default();
    while let Some(batch) = read_batch(&mut input)? {
        let mut reply = Reply::default();
        for record in read_records(&batch)? {
            host.handle(batch.now, record, &mut reply);
        }
        reply.write_to(&mut output)?;
    }
    Ok(())
}
