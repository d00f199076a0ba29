//! The command line: commands, arguments and exit codes.

use crate::config::{Named, Source};
use clap::{Args, Parser, Subcommand};
use clap_complete::Shell;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use tracing_subscriber::filter::Targets;

/// Exit status of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// The command succeeded.
    Done = 0,
    /// The gateway refused the command, or its condition did not hold.
    No = 1,
    /// The command line or a file is invalid.
    Bad = 2,
    /// The gateway could not be reached, or did not respond in time.
    Unreached = 3,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        ExitCode::from(exit as u8)
    }
}

/// A gateway that holds customers to their quotas before a fleet of servers.
///
/// Without a command it serves by the file that RELAY_CONFIG names.
#[derive(Parser)]
#[command(name = "heronstage", version, args_conflicts_with_subcommands = true)]
#[command(after_help = "Exit codes: 0 done, 1 no, 2 usage or bad input, 3 not reached.")]
pub struct Cli {
    #[command(subcommand)]
    pub command: Option<Command>,
}

/// Commands of the program.
#[derive(Subcommand)]
pub enum Command {
    /// Serve until SIGTERM, by --config or the file that RELAY_CONFIG names
    Serve(ServeArgs),
    /// Tell every mistake of a configuration; 2: it has some
    Check(ConfigArgs),
    /// Show what a configuration says, and what may be said
    #[command(subcommand)]
    Config(ConfigCommand),
    /// Show what a running gateway does
    Status(OperatorArgs),
    /// Show the cluster as a running gateway sees it; 1: it is a member of none
    Members(OperatorArgs),
    /// Ask clients of a running gateway to go
    Drain(DrainArgs),
    /// Take clients again after a drain; 1: the gateway is ending
    Resume(OperatorArgs),
    /// Have the gateway read its configuration anew, and tell which keys changed; 1: it was turned down
    Reload(OperatorArgs),
    /// Change what a running gateway logs until its configuration is read anew, like `info,request=debug`
    Log {
        /// A level, and levels for parts by their names in the log
        levels: Targets,
        #[command(flatten)]
        call: OperatorArgs,
    },
    /// Show over and over what a running gateway does; lines where the output is no terminal
    Top {
        #[command(flatten)]
        call: OperatorArgs,
        /// Seconds between two looks
        #[arg(long, value_name = "SECONDS", default_value = "1", value_parser = parse_seconds)]
        every: Duration,
        /// End after so many looks
        #[arg(long, value_name = "NUMBER")]
        looks: Option<u64>,
    },
    /// Print a shell's completions
    Completions {
        /// The shell
        shell: Shell,
    },
    /// Print the manual page
    Man,
}

/// A configuration file and the keys that override it.
#[derive(Args)]
pub struct ConfigArgs {
    /// TOML or JSON, by its ending; the platform's own form is JSON with `settings`
    #[arg(value_name = "FILE")]
    pub file: PathBuf,
    /// Set a key over the file and the environment
    #[arg(long, value_name = "KEY=VALUE", value_parser = parse_key_value)]
    pub set: Vec<(String, String)>,
}

impl From<ConfigArgs> for Named {
    fn from(args: ConfigArgs) -> Self {
        Named { path: args.file, set: args.set }
    }
}

/// Arguments of `serve`.
#[derive(Args)]
pub struct ServeArgs {
    /// TOML or JSON, by its ending; variables like HERONSTAGE_LIMITS__DESCRIPTORS come over it
    #[arg(long, value_name = "FILE")]
    pub config: Option<PathBuf>,
    /// Set a key over the file and the environment
    #[arg(long, value_name = "KEY=VALUE", value_parser = parse_key_value, requires = "config")]
    pub set: Vec<(String, String)>,
}

impl From<ServeArgs> for Source {
    fn from(args: ServeArgs) -> Self {
        match args.config {
            Some(path) => Source::Named(Named { path, set: args.set }),
            None => Source::Platform,
        }
    }
}

/// Subcommands of `config`.
#[derive(Subcommand)]
pub enum ConfigCommand {
    /// Show what holds, and where each value comes from: default, file, environment or flag
    Show {
        #[command(flatten)]
        args: ConfigArgs,
        /// Print JSON
        #[arg(long)]
        json: bool,
    },
    /// Print the JSON Schema of the file
    Schema,
    /// Print a commented file that starts as it stands
    Example,
    /// Print all keys as a table in Markdown
    Keys,
}

fn parse_key_value(text: &str) -> Result<(String, String), String> {
    let pair = text.split_once('=').filter(|(key, _)| !key.is_empty());
    let (key, value) = pair.ok_or_else(|| "expected KEY=VALUE".to_owned())?;
    Ok((key.to_owned(), value.to_owned()))
}

/// Arguments of commands that call a running gateway.
#[derive(Args)]
pub struct OperatorArgs {
    /// Where the gateway hears operators
    #[arg(long, value_name = "ADDRESS", env = "RELAY_OPERATOR")]
    pub operators: SocketAddr,
    /// Print JSON
    #[arg(long)]
    pub json: bool,
}

/// Arguments of `drain`.
#[derive(Args)]
pub struct DrainArgs {
    #[command(flatten)]
    pub call: OperatorArgs,
    /// Wait until no request is open and no client connected
    #[arg(long)]
    pub wait: bool,
    /// Give up the wait after so many seconds; 1: it was not over
    #[arg(long, value_name = "SECONDS", default_value = "30", value_parser = parse_seconds, requires = "wait")]
    pub timeout: Duration,
}

fn parse_seconds(text: &str) -> Result<Duration, String> {
    let seconds = text.parse::<f64>().ok().filter(|s| *s >= 0.0);
    let duration = seconds.and_then(|s| Duration::try_from_secs_f64(s).ok());
    duration.ok_or_else(|| "expected a number of seconds".to_owned())
}
