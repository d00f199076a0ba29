//! The command line: commands, arguments and exit codes.

use crate::config::{FileSource, Source};
use clap::{Args, Parser, Subcommand};
use clap_complete::Shell;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use tracing_subscriber::filter::Targets;

/// Exit status of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    /// The command succeeded.
    Success = 0,
    /// The gateway refused the command, or its condition did not hold.
    Failed = 1,
    /// The command line or a file is invalid.
    InvalidInput = 2,
    /// The gateway could not be reached, or did not respond in time.
    Unreachable = 3,
}

impl From<ExitStatus> for ExitCode {
    fn from(exit: ExitStatus) -> Self {
        ExitCode::from(exit as u8)
    }
}

/// A gateway that enforces customers' quotas in front of a fleet of servers.
///
/// Without a command it serves, with the configuration file named by RELAY_CONFIG.
#[derive(Parser)]
#[command(name = "oakfall-gateway", version, args_conflicts_with_subcommands = true)]
#[command(
    after_help = "Exit codes: 0 success, 1 refused or failed, 2 invalid usage or input, 3 gateway not reached."
)]
pub struct Cli {
    #[command(subcommand)]
    pub command: Option<Command>,
}

/// Commands of the program.
#[derive(Subcommand)]
pub enum Command {
    /// Serve until SIGTERM, with the configuration file from --config or RELAY_CONFIG
    Serve(ServeArgs),
    /// Print all errors in a configuration; exit with 2 if there are any
    Check(ConfigArgs),
    /// Show the effective configuration, or describe the available keys
    #[command(subcommand)]
    Config(ConfigCommand),
    /// Show the status of a running gateway
    Status(OperatorArgs),
    /// Show the cluster members known to a running gateway; exit with 1 if it is not in a cluster
    Members(OperatorArgs),
    /// Drain a running gateway: its clients are asked to close their connections
    Drain(DrainArgs),
    /// End a drain and accept clients again; exit with 1 if the gateway is shutting down
    Resume(OperatorArgs),
    /// Reload the configuration and print the changed keys; exit with 1 if the gateway rejects it
    Reload(OperatorArgs),
    /// Set the log levels of a running gateway, such as `info,request=debug`, until a reload changes them
    Log {
        /// Default level, and levels for single targets
        levels: Targets,
        #[command(flatten)]
        call: OperatorArgs,
    },
    /// Show the status of a running gateway repeatedly; print lines if the output is not a terminal
    Top {
        #[command(flatten)]
        call: OperatorArgs,
        /// Interval between samples, in seconds
        #[arg(long, value_name = "SECONDS", default_value = "1", value_parser = parse_seconds)]
        every: Duration,
        /// Exit after this number of samples
        #[arg(long, value_name = "NUMBER")]
        looks: Option<u64>,
    },
    /// Print shell completions
    Completions {
        /// Shell to generate completions for
        shell: Shell,
    },
    /// Print the manual page
    Man,
}

/// A configuration file and the keys that override it.
#[derive(Args)]
pub struct ConfigArgs {
    /// TOML or JSON file, by extension; the platform's format is JSON with a `settings` key
    #[arg(value_name = "FILE")]
    pub file: PathBuf,
    /// Set a key; overrides the file and the environment
    #[arg(long, value_name = "KEY=VALUE", value_parser = parse_key_value)]
    pub set: Vec<(String, String)>,
}

impl From<ConfigArgs> for FileSource {
    fn from(args: ConfigArgs) -> Self {
        FileSource { path: args.file, set: args.set }
    }
}

/// Arguments of `serve`.
#[derive(Args)]
pub struct ServeArgs {
    /// TOML or JSON file, by extension; overridden by variables such as HERONSTAGE_LIMITS__DESCRIPTORS
    #[arg(long, value_name = "FILE")]
    pub config: Option<PathBuf>,
    /// Set a key; overrides the file and the environment
    #[arg(long, value_name = "KEY=VALUE", value_parser = parse_key_value, requires = "config")]
    pub set: Vec<(String, String)>,
}

impl From<ServeArgs> for Source {
    fn from(args: ServeArgs) -> Self {
        match args.config {
            Some(path) => Source::File(FileSource { path, set: args.set }),
            None => Source::Platform,
        }
    }
}

/// Subcommands of `config`.
#[derive(Subcommand)]
pub enum ConfigCommand {
    /// Show the effective value of each key and its source: default, file, environment or flag
    Show {
        #[command(flatten)]
        args: ConfigArgs,
        /// Print JSON
        #[arg(long)]
        json: bool,
    },
    /// Print the JSON Schema of the configuration file
    Schema,
    /// Print a commented example file that the gateway can start with
    Example,
    /// Print all keys as a Markdown table
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
    /// Address of the gateway's operator listener
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
    /// Wait until no request is open and no client is connected
    #[arg(long)]
    pub wait: bool,
    /// Timeout of --wait, in seconds; exit with 1 when it expires
    #[arg(long, value_name = "SECONDS", default_value = "30", value_parser = parse_seconds, requires = "wait")]
    pub timeout: Duration,
}

fn parse_seconds(text: &str) -> Result<Duration, String> {
    let seconds = text.parse::<f64>().ok().filter(|s| *s >= 0.0);
    let duration = seconds.and_then(|s| Duration::try_from_secs_f64(s).ok());
    duration.ok_or_else(|| "expected a number of seconds".to_owned())
}
