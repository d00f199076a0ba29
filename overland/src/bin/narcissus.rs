//! A core process.

use std::process::ExitCode;

fn main() -> ExitCode {
    overland::start::main(
        "narcissus",
        "agrees with the other core processes on the state, and answers backends and operators",
        overland::control::Control::run,
    )
}
