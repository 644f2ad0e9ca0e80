//! Hosts plankwalk instances on the simulator's wire, on standard input and output.

use std::io::{BufReader, BufWriter, stdin, stdout};
use std::process::ExitCode;

fn main() -> ExitCode {
    match plankwalk::wire::serve(BufReader::new(stdin().lock()), BufWriter::new(stdout().lock())) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("plankwalk-wirehost: {e}");
            ExitCode::FAILURE
        }
    }
}
