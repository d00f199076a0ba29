//! The program of the proxy.

use std::process::ExitCode;

fn main() -> ExitCode {
    oakfall_system::start::main(
        "oakfall-proxy",
        "forwards clients' requests to backends",
        oakfall_system::proxy::Proxy::run,
    )
}
