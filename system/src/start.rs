//! The command line, logging and runtime that all programs share.

use crate::settings::{Settings, Watch};
use crate::status;
use eyre::{eyre, Result};
use pico_args::Arguments;
use simplelog::{ConfigBuilder, LevelFilter, SimpleLogger};
use std::future::Future;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

/// Exit code of `status` if no core process leads.
const EXIT_NO_LEADER: u8 = 2;

/// A parsed command line.
enum Command {
    Run(Option<PathBuf>),
    Check(Option<PathBuf>),
    Status {
        /// The core processes to query; if empty, the seeds of the settings.
        cores: Vec<SocketAddr>,
        settings: Option<PathBuf>,
        json: bool,
    },
    /// Prints this text, such as the help.
    Print(String),
}

fn parse_args(program: &str, about: &str) -> Result<(Command, LevelFilter)> {
    let mut args = Arguments::from_env();
    if args.contains(["-h", "--help"]) {
        let help = format!(
            "{program}: {about}\n\n{program} [run] [--settings FILE] [--log LEVEL]   run until SIGTERM\n\
             {program} check [--settings FILE]                 check the settings and exit\n\
             {program} status [--core ADDRESS]... [--json]     print the state of the whole system\n\
             {program} --version\n\nWithout --settings the path is read from {}.\n\
             LEVEL is off, error, warn, info (the default) or debug.\n\
             status queries the given core processes, or the seeds of the settings, and the members that these list.\n\
             It exits with 0 if one of them leads, with 2 if none does, and with 1 if none responds.\n",
            crate::settings::PATH_ENV_VAR
        );
        return Ok((Command::Print(help), LevelFilter::Off));
    }
    if args.contains(["-V", "--version"]) {
        return Ok((Command::Print(format!("{program} {}\n", env!("CARGO_PKG_VERSION"))), LevelFilter::Off));
    }
    let level = args.opt_value_from_str("--log")?.unwrap_or(LevelFilter::Info);
    let file = args.opt_value_from_str("--settings")?;
    let cores = args.values_from_str::<_, SocketAddr>("--core")?;
    let json = args.contains("--json");
    let command = args.subcommand()?;
    let rest = args.finish();
    if !rest.is_empty() {
        return Err(eyre!("unknown arguments {rest:?}; see {program} --help"));
    }
    if command.as_deref() != Some("status") && (json || !cores.is_empty()) {
        return Err(eyre!("--core and --json are options of status; see {program} --help"));
    }
    match command.as_deref() {
        None | Some("run") => Ok((Command::Run(file), level)),
        Some("check") => Ok((Command::Check(file), level)),
        Some("status") => Ok((Command::Status { cores, settings: file, json }, level)),
        Some(other) => Err(eyre!("unknown command {other}; see {program} --help")),
    }
}

/// The entry point of a program: executes the command line; `run` is the default command.
pub fn main<F: Future<Output = Result<()>>>(
    program: &str, about: &str, run: impl FnOnce(Settings, Watch) -> F,
) -> ExitCode {
    match execute(program, about, run) {
        Ok(code) => code,
        Err(e) => {
            eprintln!("{program}: {e:#}");
            ExitCode::FAILURE
        }
    }
}

fn execute<F: Future<Output = Result<()>>>(
    program: &str, about: &str, run: impl FnOnce(Settings, Watch) -> F,
) -> Result<ExitCode> {
    let (command, level) = parse_args(program, about)?;
    let file = match command {
        Command::Print(text) => {
            print!("{text}");
            return Ok(ExitCode::SUCCESS);
        }
        Command::Check(file) => {
            let settings = Settings::load(file)?;
            println!("{}: the settings are valid", settings.node);
            return Ok(ExitCode::SUCCESS);
        }
        Command::Status { cores, settings, json } => {
            let cores = if cores.is_empty() { Settings::load(settings)?.seeds } else { cores };
            let (text, has_leader) = block_on(status::report(cores, json))?;
            print!("{text}");
            return Ok(if has_leader { ExitCode::SUCCESS } else { ExitCode::from(EXIT_NO_LEADER) });
        }
        Command::Run(file) => file,
    };
    let mut config = ConfigBuilder::new();
    config
        .set_time_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        .set_target_level(LevelFilter::Off);
    SimpleLogger::init(level, config.build())?;
    let settings = Settings::load(file.clone())?;
    // The signal handlers of the watcher need the runtime.
    block_on(async move {
        let watch = Watch::new(file)?;
        run(settings, watch).await
    })?;
    Ok(ExitCode::SUCCESS)
}

/// Runs a future to completion on this thread.
fn block_on<T>(future: impl Future<Output = Result<T>>) -> Result<T> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    tokio::task::LocalSet::new().block_on(&runtime, future)
}
