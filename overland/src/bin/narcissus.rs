//! The program of a core process.

use std::process::ExitCode;

fn main() -> ExitCode {
    overland::start::main(
        "narcissus",
        "replicates the configuration and the registry of backends, and serves the API",
        overland::control::Control::run,
    )
}
