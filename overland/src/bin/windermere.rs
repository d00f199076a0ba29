//! The agent beside a proxy.

use std::process::ExitCode;

fn main() -> ExitCode {
    overland::start::main(
        "windermere",
        "keeps the links to the core and feeds the proxy beside it",
        overland::agent::Agent::run,
    )
}
