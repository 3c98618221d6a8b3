//! Entry point of the `oleandertiller` binary.

use std::process::ExitCode;

fn main() -> ExitCode {
    oleandertiller::cmd::main()
}
