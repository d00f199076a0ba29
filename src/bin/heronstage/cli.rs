//! The command line: what may be asked of the program, and its exit codes.

use clap::{Args, Parser, Subcommand};
use clap_complete::Shell;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

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
    /// Serve until SIGTERM
    Serve,
    /// Show what a running gateway does
    Status(Call),
    /// Show the cluster as a running gateway sees it; 1: it is a member of none
    Members(Call),
    /// Ask clients of a running gateway to go
    Drain(Drain),
    /// Take clients again after a drain; 1: the gateway is ending
    Resume(Call),
    /// Print a shell's completions
    Completions {
        /// The shell
        shell: Shell,
    },
    /// Print the manual page
    Man,
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
