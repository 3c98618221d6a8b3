//! Command line of the benchmarks.

mod cmd;

use std::process::ExitCode;

use argh::FromArgs;

/// Load and experiment tool for oleandertiller.
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Capacity(cmd::capacity::CapacityArgs),
    Compare(cmd::compare::CompareArgs),
    Path(cmd::path::PathArgs),
}

fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let result = match args.command {
        Command::Capacity(args) => cmd::capacity::run(&args),
        Command::Compare(args) => cmd::compare::run(&args),
        Command::Path(args) => cmd::path::run(&args),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("bench: {e}");
            ExitCode::FAILURE
        }
    }
}
