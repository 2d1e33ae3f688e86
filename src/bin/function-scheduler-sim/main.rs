//! Adapter to the simulator: decodes batches of events from standard input, hosts one policy for each
//! simulated scheduler instance, and answers each batch on standard output with the actions of the policies.
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

/// Answers batches until the input ends.
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
