//! What the programs have in common: their command line, their log, and their start and end.

use crate::settings::{Settings, Watch};
use crate::status;
use eyre::{eyre, Result};
use pico_args::Arguments;
use simplelog::{ConfigBuilder, LevelFilter, SimpleLogger};
use std::future::Future;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

/// The exit code of `status` where nobody leads.
const LED_BY_NOBODY: u8 = 2;

/// What a command line asks for.
enum Wanted {
    Run(Option<PathBuf>),
    Check(Option<PathBuf>),
    /// The core processes to ask, or the settings that name them; whether JSON is wanted.
    Status(Vec<SocketAddr>, Option<PathBuf>, bool),
    Say(String),
}

fn read(program: &str, about: &str) -> Result<(Wanted, LevelFilter)> {
    let mut args = Arguments::from_env();
    if args.contains(["-h", "--help"]) {
        let help = format!(
            "{program}: {about}\n\n{program} [run] [--settings FILE] [--log LEVEL]   run until SIGTERM\n\
             {program} check [--settings FILE]                 read the settings, tell what is wrong, and end\n\
             {program} status [--core ADDRESS]... [--json]     ask the core what it knows of the whole system\n\
             {program} --version\n\nWithout --settings the file is the one that {} names.\n\
             LEVEL is off, error, warn, info (as it is) or debug.\n\
             status asks the core processes that are named, or the seeds of the settings, and the members that these name.\n\
             It ends with 0 if one of them leads, with 2 if none does, and with 1 if none answers.\n",
            crate::settings::VARIABLE
        );
        return Ok((Wanted::Say(help), LevelFilter::Off));
    }
    if args.contains(["-V", "--version"]) {
        return Ok((Wanted::Say(format!("{program} {}\n", env!("CARGO_PKG_VERSION"))), LevelFilter::Off));
    }
    let level = args.opt_value_from_str("--log")?.unwrap_or(LevelFilter::Info);
    let file = args.opt_value_from_str("--settings")?;
    let cores = args.values_from_str::<_, SocketAddr>("--core")?;
    let json = args.contains("--json");
    let command = args.subcommand()?;
    let rest = args.finish();
    if !rest.is_empty() {
        return Err(eyre!("unknown: {rest:?}; see {program} --help"));
    }
    if command.as_deref() != Some("status") && (json || !cores.is_empty()) {
        return Err(eyre!("--core and --json go with status; see {program} --help"));
    }
    match command.as_deref() {
        None | Some("run") => Ok((Wanted::Run(file), level)),
        Some("check") => Ok((Wanted::Check(file), level)),
        Some("status") => Ok((Wanted::Status(cores, file, json), level)),
        Some(other) => Err(eyre!("no command {other}; see {program} --help")),
    }
}

/// Runs a program.
pub fn main<F: Future<Output = Result<()>>>(
    program: &str, about: &str, run: impl FnOnce(Settings, Watch) -> F,
) -> ExitCode {
    match started(program, about, run) {
        Ok(code) => code,
        Err(e) => {
            eprintln!("{program}: {e:#}");
            ExitCode::FAILURE
        }
    }
}

fn started<F: Future<Output = Result<()>>>(
    program: &str, about: &str, run: impl FnOnce(Settings, Watch) -> F,
) -> Result<ExitCode> {
    let (wanted, level) = read(program, about)?;
    let file = match wanted {
        Wanted::Say(text) => {
            print!("{text}");
            return Ok(ExitCode::SUCCESS);
        }
        Wanted::Check(file) => {
            let settings = Settings::load(file)?;
            println!("{}: the settings are sound", settings.node);
            return Ok(ExitCode::SUCCESS);
        }
        Wanted::Status(cores, file, json) => {
            let cores = if cores.is_empty() { Settings::load(file)?.seeds } else { cores };
            let (text, led) = within(status::tell(cores, json))?;
            print!("{text}");
            return Ok(if led { ExitCode::SUCCESS } else { ExitCode::from(LED_BY_NOBODY) });
        }
        Wanted::Run(file) => file,
    };
    let mut config = ConfigBuilder::new();
    config
        .set_time_level(LevelFilter::Off)
        .set_thread_level(LevelFilter::Off)
        .set_target_level(LevelFilter::Off);
    SimpleLogger::init(level, config.build())?;
    let settings = Settings::load(file.clone())?;
    // Signals are heard from within.
    within(async move {
        let watch = Watch::new(file)?;
        run(settings, watch).await
    })?;
    Ok(ExitCode::SUCCESS)
}

/// Runs to its end, on this thread alone.
fn within<T>(work: impl Future<Output = Result<T>>) -> Result<T> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    tokio::task::LocalSet::new().block_on(&runtime, work)
}
