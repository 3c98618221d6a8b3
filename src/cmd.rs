//! Subcommands of the `oleandertiller` binary, one module each.

pub mod ask;
pub mod check;
mod client;
pub mod demo;
pub mod mesh;
pub mod node;
pub mod report;

use std::{env, process::ExitCode};

use argh::{EarlyExit, FromArgs};

/// Exit status for wrong arguments.
pub const BAD_USAGE: u8 = 2;

/// Exit status for any other failure.
pub const FAILURE: u8 = 1;

/// A load balancer for small service fleets whose load shifts within milliseconds.
#[derive(Debug)]
#[derive(FromArgs)]
struct Args {
    /// print the version
    #[argh(switch)]
    version: bool,

    #[argh(subcommand)]
    command: Option<Command>,
}

#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand)]
enum Command {
    Node(node::Node),
    Mesh(mesh::Mesh),
    Check(check::Check),
    Ask(ask::Ask),
    Report(report::Report),
    Demo(demo::Demo),
}

/// Runs the program with the arguments of the process.
pub fn main() -> ExitCode {
    let args: Vec<String> = env::args_os().map(|arg| arg.to_string_lossy().into_owned()).collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    match Args::from_args(&["oleandertiller"], args.get(1..).unwrap_or_default()) {
        Ok(args) => run(args),
        Err(exit) => print_early_exit(&exit),
    }
}

fn run(args: Args) -> ExitCode {
    if args.version {
        println!("oleandertiller {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    match args.command {
        Some(Command::Node(node)) => node.run(),
        Some(Command::Mesh(mesh)) => mesh.run(),
        Some(Command::Check(check)) => check.run(),
        Some(Command::Ask(ask)) => ask.run(),
        Some(Command::Report(report)) => report.run(),
        Some(Command::Demo(demo)) => demo.run(),
        None => bad_usage("a subcommand is missing; see `oleandertiller --help`"),
    }
}

/// Prints the help, or the error in the arguments, and returns the exit status.
fn print_early_exit(exit: &EarlyExit) -> ExitCode {
    match exit.status {
        Ok(()) => {
            println!("{}", exit.output.trim_end());
            ExitCode::SUCCESS
        }
        // `argh` itself would exit with 1, which is `FAILURE` here.
        Err(()) => bad_usage(exit.output.trim_end()),
    }
}

/// Prints an error in the arguments and returns [`BAD_USAGE`].
pub(crate) fn bad_usage(message: &str) -> ExitCode {
    eprintln!("{message}");
    ExitCode::from(BAD_USAGE)
}

/// Prints an error and returns [`FAILURE`].
pub(crate) fn failure(message: &str) -> ExitCode {
    eprintln!("{message}");
    ExitCode::from(FAILURE)
}
