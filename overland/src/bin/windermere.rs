//! The program of the agent that runs beside each proxy.

use std::process::ExitCode;

fn main() -> ExitCode {
    overland::start::main(
        "windermere",
        "replicates the state of the core processes to the proxy on the same machine",
        overland::agent::Agent::run,
    )
}
