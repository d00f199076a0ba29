//! The program of the agent that runs beside each proxy.

use std::process::ExitCode;

fn main() -> ExitCode {
    oakfall_system::start::main(
        "oakfall-agent",
        "replicates the state of the core processes to the proxy on the same machine",
        oakfall_system::agent::Agent::run,
    )
}
