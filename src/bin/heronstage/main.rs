//! One gateway on real sockets, and the command line round it. The decisions are in the library.

mod beside;
mod cli;
mod cluster;
mod config;
mod counter;
mod discovery;
mod figures;
mod gateway;
mod logs;
mod operator;
mod peers;
mod remote;
mod server;
mod speech;
mod status;
mod tables;
mod top;

use clap::{CommandFactory, Parser};
use cli::{Cli, Command, Exit};
use config::Source;
use remote::Failure;
use std::future::Future;
use std::process::ExitCode;

fn main() -> ExitCode {
    let done = match Cli::parse().command {
        None => serve(Source::Platform),
        Some(Command::Serve(args)) => serve(args.into()),
        Some(Command::Check(layers)) => remote::check(&layers.into()),
        Some(Command::Config(show)) => remote::config(show),
        Some(Command::Reload(args)) => wait(remote::reload(args)),
        Some(Command::Status(args)) => wait(remote::status(args)),
        Some(Command::Members(args)) => wait(remote::members(args)),
        Some(Command::Drain(args)) => wait(remote::drain(args)),
        Some(Command::Resume(args)) => wait(remote::resume(args)),
        Some(Command::Log { levels, call }) => wait(remote::log(call, &levels)),
        Some(Command::Top { call, every, looks }) => wait(top::run(call, every, looks)),
        Some(Command::Completions { shell }) => {
            let mut text = Vec::new();
            clap_complete::generate(shell, &mut Cli::command(), "heronstage", &mut text);
            remote::made(&text)
        }
        Some(Command::Man) => {
            let mut text = Vec::new();
            // A Vec takes every write.
            let _ = clap_mangen::Man::new(Cli::command()).render(&mut text);
            remote::made(&text)
        }
    };
    match done {
        Ok(exit) => exit.into(),
        Err(Failure { exit: Exit::Done, .. }) => Exit::Done.into(),
        Err(Failure { exit, why }) => {
            why.lines().for_each(|line| eprintln!("heronstage: {line}"));
            exit.into()
        }
    }
}

fn serve(source: Source) -> Result<Exit, Failure> {
    gateway::serve(source).map(|()| Exit::Done).map_err(|why| Failure { exit: Exit::Bad, why })
}

fn wait(command: impl Future<Output = Result<Exit, Failure>>) -> Result<Exit, Failure> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.map_err(|e| Failure { exit: Exit::No, why: e.to_string() })?.block_on(command)
}
