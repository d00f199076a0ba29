//! The proxy that carries the traffic.

use std::process::ExitCode;

fn main() -> ExitCode {
    overland::start::main(
        "pelion",
        "takes clients' requests and sends them to backends",
        overland::proxy::Proxy::run,
    )
}
