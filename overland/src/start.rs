//! What the programs have in common: their command line, their log, and their start and end.

use crate::settings::{Settings, Watch};
use eyre::{eyre, Result};
use pico_args::Arguments;
use simplelog::{ConfigBuilder, LevelFilter, SimpleLogger};
use std::future::Future;
use std::path::PathBuf;
use std::process::ExitCode;

/// What a command line asks for.
enum Wanted {
    Run(Option<PathBuf>),
    Check(Option<PathBuf>),
    Say(String),
}

fn read(program: &str, about: &str) -> Result<(Wanted, LevelFilter)> {
    let mut args = Arguments::from_env();
    if args.contains(["-h", "--help"]) {
        let help = format!(
            "{program}: {about}\n\n{program} [run] [--settings FILE] [--log LEVEL]   run until SIGTERM\n\
             {program} check [--settings FILE]                 read the settings, tell what is wrong, and end\n\
             {program} --version\n\nWithout --settings the file is the one that {} names.\n\
             LEVEL is off, error, warn, info (as it is) or debug.\n",
            crate::settings::VARIABLE
        );
        return Ok((Wanted::Say(help), LevelFilter::Off));
    }
    if args.contains(["-V", "--version"]) {
        return Ok((Wanted::Say(format!("{program} {}\n", env!("CARGO_PKG_VERSION"))), LevelFilter::Off));
    }
    let level = args.opt_value_from_str("--log")?.unwrap_or(LevelFilter::Info);
    let file = args.opt_value_from_str("--settings")?;
    let command = args.subcommand()?;
    let rest = args.finish();
    if !rest.is_empty() {
        return Err(eyre!("unknown: {rest:?}; see {program} --help"));
    }
    match command.as_deref() {
        None | Some("run") => Ok((Wanted::Run(file), level)),
        Some("check") => Ok((Wanted::Check(file), level)),
        Some(other) => Err(eyre!("no command {other}; see {program} --help")),
    }
}

/// Runs a program.
pub fn main<F: Future<Output = Result<()>>>(
    program: &str, about: &str, run: impl FnOnce(Settings, Watch) -> F,
) -> ExitCode {
    match started(program, about, run) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{program}: {e:#}");
            ExitCode::FAILURE
        }
    }
}

fn started<F: Future<Output = Result<()>>>(
    program: &str, about: &str, run: impl FnOnce(Settings, Watch) -> F,
) -> Result<()> {
    let (wanted, level) = read(program, about)?;
    let file = match wanted {
        Wanted::Say(text) => {
            print!("{text}");
            return Ok(());
        }
        Wanted::Check(file) => {
            let settings = Settings::load(file)?;
            println!("{}: the settings are sound", settings.node);
            return Ok(());
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
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    // Signals are heard from within.
    tokio::task::LocalSet::new().block_on(&runtime, async move {
        let watch = Watch::new(file)?;
        run(settings, watch).await
    })
}
