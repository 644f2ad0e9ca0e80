//! Hosts instances of the decision module on the simulator's wire protocol, over standard input and output.

use std::io::{BufReader, BufWriter, stdin, stdout};
use std::process::ExitCode;

fn main() -> ExitCode {
    match yarrowhill_adapter::serve(BufReader::new(stdin().lock()), BufWriter::new(stdout().lock())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("yarrowhill-adapter: {e}");
            ExitCode::FAILURE
        }
    }
}
