//! The command line: what may be asked of the program, and its exit codes.

use crate::config::{FileSource, Source};
use clap::{Args, Parser, Subcommand};
use clap_complete::Shell;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;
use tracing_subscriber::filter::Targets;

/// How a command ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exit {
    /// It was done, or the answer is yes.
    Done = 0,
    /// The answer is no.
    No = 1,
    /// The command line or a file is wrong.
    Bad = 2,
    /// The gateway was not reached, or gave no answer in time.
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

#[derive(Subcommand)]
pub enum Command {
    /// Serve until SIGTERM, by --config or the file that RELAY_CONFIG names
    Serve(Serve),
    /// Tell every mistake of a configuration; 2: it has some
    Check(Layers),
    /// Show what a configuration says, and what may be said
    #[command(subcommand)]
    Config(Configuration),
    /// Show what a running gateway does
    Status(Call),
    /// Show the cluster as a running gateway sees it; 1: it is a member of none
    Members(Call),
    /// Ask clients of a running gateway to go
    Drain(Drain),
    /// Take clients again after a drain; 1: the gateway is ending
    Resume(Call),
    /// Have the gateway read its configuration anew, and tell which keys changed; 1: it was turned down
    Reload(Call),
    /// Change what a running gateway logs until its configuration is read anew, like `info,request=debug`
    Log {
        /// A level, and levels for parts by their names in the log
        levels: Targets,
        #[command(flatten)]
        call: Call,
    },
    /// Show over and over what a running gateway does; lines where the output is no terminal
    Top {
        #[command(flatten)]
        call: Call,
        /// Seconds between two looks
        #[arg(long, value_name = "SECONDS", default_value = "1", value_parser = seconds)]
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

/// A file and what comes over it.
#[derive(Args)]
pub struct Layers {
    /// TOML or JSON, by its ending; the platform's own form is JSON with `settings`
    #[arg(value_name = "FILE")]
    pub file: PathBuf,
    /// Set a key over the file and the environment
    #[arg(long, value_name = "KEY=VALUE", value_parser = pair)]
    pub set: Vec<(String, String)>,
}

impl From<Layers> for FileSource {
    fn from(layers: Layers) -> Self {
        FileSource { path: layers.file, set: layers.set }
    }
}

#[derive(Args)]
pub struct Serve {
    /// TOML or JSON, by its ending; variables like HERONSTAGE_LIMITS__DESCRIPTORS come over it
    #[arg(long, value_name = "FILE")]
    pub config: Option<PathBuf>,
    /// Set a key over the file and the environment
    #[arg(long, value_name = "KEY=VALUE", value_parser = pair, requires = "config")]
    pub set: Vec<(String, String)>,
}

impl From<Serve> for Source {
    fn from(serve: Serve) -> Self {
        match serve.config {
            Some(path) => Source::File(FileSource { path, set: serve.set }),
            None => Source::Platform,
        }
    }
}

#[derive(Subcommand)]
pub enum Configuration {
    /// Show what holds, and where each value comes from: default, file, environment or flag
    Show {
        #[command(flatten)]
        layers: Layers,
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

fn pair(text: &str) -> Result<(String, String), String> {
    let pair = text.split_once('=').filter(|(key, _)| !key.is_empty());
    let (key, value) = pair.ok_or_else(|| "KEY=VALUE is wanted".to_owned())?;
    Ok((key.to_owned(), value.to_owned()))
}

/// Whom to call, and how to print.
#[derive(Args)]
pub struct Call {
    /// Where the gateway hears operators
    #[arg(long, value_name = "ADDRESS", env = "RELAY_OPERATOR")]
    pub operators: SocketAddr,
    /// Print JSON
    #[arg(long)]
    pub json: bool,
}

#[derive(Args)]
pub struct Drain {
    #[command(flatten)]
    pub call: Call,
    /// Wait until no request is open and no client connected
    #[arg(long)]
    pub wait: bool,
    /// Give up the wait after so many seconds; 1: it was not over
    #[arg(long, value_name = "SECONDS", default_value = "30", value_parser = seconds, requires = "wait")]
    pub timeout: Duration,
}

fn seconds(text: &str) -> Result<Duration, String> {
    let seconds = text.parse::<f64>().ok().filter(|s| *s >= 0.0);
    let wait = seconds.and_then(|s| Duration::try_from_secs_f64(s).ok());
    wait.ok_or_else(|| "a number of seconds is needed".to_owned())
}
