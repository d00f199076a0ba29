//! The program of the proxy.

use std::process::ExitCode;

fn main() -> ExitCode {
    overland::start::main("pelion", "forwards clients' requests to backends", overland::proxy::Proxy::run)
}
