//! The program of a core process.

use std::process::ExitCode;

fn main() -> ExitCode {
    oakfall_system::start::main(
        "oakfall-core",
        "replicates the configuration and the registry of backends, and serves the API",
        oakfall_system::control::Control::run,
    )
}
