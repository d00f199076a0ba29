//! The gateway program: sockets, protocols and the command line. Load-balancing decisions are made by the
//! library.

mod backend_protocol;
mod cli;
mod cluster;
mod config;
mod counter;
mod descriptor_share;
mod discovery;
mod gateway;
mod logs;
mod metrics;
mod operator;
mod peers;
mod remote;
mod server;
mod status;
mod tables;
mod top;

use clap::{CommandFactory, Parser};
use cli::{Cli, Command, ExitStatus};
use config::Source;
use remote::Failure;
use std::future::Future;
use std::process::ExitCode;

fn main() -> ExitCode {
    let result = match Cli::parse().command {
        None => serve(Source::Platform),
        Some(Command::Serve(args)) => serve(args.into()),
        Some(Command::Check(layers)) => remote::check(&layers.into()),
        Some(Command::Config(show)) => remote::config(show),
        Some(Command::Reload(args)) => block_on(remote::reload(args)),
        Some(Command::Status(args)) => block_on(remote::status(args)),
        Some(Command::Members(args)) => block_on(remote::members(args)),
        Some(Command::Drain(args)) => block_on(remote::drain(args)),
        Some(Command::Resume(args)) => block_on(remote::resume(args)),
        Some(Command::Log { levels, call }) => block_on(remote::log(call, &levels)),
        Some(Command::Top { call, every, looks }) => block_on(top::run(call, every, looks)),
        Some(Command::Completions { shell }) => {
            let mut text = Vec::new();
            clap_complete::generate(shell, &mut Cli::command(), "oakfall-gateway", &mut text);
            remote::print_output(&text)
        }
        Some(Command::Man) => {
            let mut text = Vec::new();
            // Writing to a Vec cannot fail.
            let _ = clap_mangen::Man::new(Cli::command()).render(&mut text);
            remote::print_output(&text)
        }
    };
    match result {
        Ok(exit) => exit.into(),
        Err(Failure { exit: ExitStatus::Success, .. }) => ExitStatus::Success.into(),
        Err(Failure { exit, message }) => {
            message.lines().for_each(|line| eprintln!("oakfall-gateway: {line}"));
            exit.into()
        }
    }
}

fn serve(source: Source) -> Result<ExitStatus, Failure> {
    gateway::serve(source)
        .map(|()| ExitStatus::Success)
        .map_err(|message| Failure { exit: ExitStatus::InvalidInput, message })
}

/// Runs a command's future on a runtime of its own.
fn block_on(command: impl Future<Output = Result<ExitStatus, Failure>>) -> Result<ExitStatus, Failure> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.map_err(|e| Failure { exit: ExitStatus::Failed, message: e.to_string() })?.block_on(command)
}
