//! `granite-lab`: plays plans of faults on a fleet of real gateways.

use clap::{Parser, Subcommand};
use granite_lab::plan::Plan;
use granite_lab::plans::{self, PLANS};
use granite_lab::report;
use granite_lab::stage::{play, play_watched, Options};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::{Command, ExitCode};
use std::time::Duration;

#[derive(Parser)]
#[command(version, about = "Plays plans of faults on a fleet of real gateways")]
struct Cli {
    /// The gateway's program; without it the one beside this program, built first in a checkout.
    #[arg(long, global = true, value_name = "FILE")]
    gateway: Option<PathBuf>,
    #[command(subcommand)]
    command: Verb,
}

#[derive(Subcommand)]
enum Verb {
    /// Five gateways, ten servers, faults and load: what was served, refused and lost, in under 30 s.
    Demo,
    /// Plays plans, each in turn: names of those that come with the program, or files.
    Run {
        /// Plans.
        #[arg(required = true)]
        plans: Vec<String>,
        /// Other seeds than the plan's own, each played in turn.
        #[arg(long, value_delimiter = ',', value_name = "N,N")]
        seeds: Vec<u64>,
        /// Appends each outcome to a file, a line of JSON each.
        #[arg(long, value_name = "FILE")]
        json: Option<PathBuf>,
        /// A gateway that is not ready by then is taken to hang.
        #[arg(long, default_value_t = 30.0, value_name = "SECONDS")]
        ready_s: f64,
        /// Another size: gateways, listed servers, first tries a second, seconds.
        #[arg(long, value_name = "N")]
        gateways: Option<usize>,
        /// Listed servers.
        #[arg(long, value_name = "N")]
        servers: Option<usize>,
        /// First tries a second; as many more or fewer customers.
        #[arg(long, value_name = "N")]
        per_s: Option<f64>,
        /// Seconds of load.
        #[arg(long, value_name = "N")]
        seconds: Option<f64>,
        /// Keeps logs and configurations of the gateways in a folder.
        #[arg(long, value_name = "DIR")]
        keep: Option<PathBuf>,
    },
    /// Reads plans and says what is wrong with them.
    Check {
        /// Plans.
        #[arg(required = true)]
        plans: Vec<String>,
    },
    /// Lists the plans that come with the program, or prints one.
    Plans {
        /// Its name.
        name: Option<String>,
    },
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    match act(&cli) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(e) => {
            eprintln!("granite-lab: {e}");
            ExitCode::from(2)
        }
    }
}

fn read(name: &str) -> Result<Plan, String> {
    let text = match plans::plan(name) {
        Some(text) => text.to_owned(),
        None => std::fs::read_to_string(name).map_err(|e| format!("{name}: {e}"))?,
    };
    Plan::read(&text).map_err(|e| format!("{name}: {e}"))
}

fn act(cli: &Cli) -> Result<bool, String> {
    match &cli.command {
        Verb::Plans { name: None } => {
            for (name, text) in PLANS {
                println!("{name:20} {}", Plan::read(text)?.about);
            }
            Ok(true)
        }
        Verb::Plans { name: Some(name) } => {
            let text = plans::plan(name).ok_or_else(|| format!("no plan `{name}` comes with the program"))?;
            print!("{text}");
            Ok(true)
        }
        Verb::Check { plans } => {
            for name in plans {
                read(name)?;
                println!("{name}: no mistake");
            }
            Ok(true)
        }
        Verb::Demo => {
            let plan = read("demo")?;
            let options = Options::new(program(cli)?);
            println!("starting {} gateways before {} servers ...", plan.fleet.gateways, plan.fleet.servers);
            let outcome = play_watched(&plan, &options, stopped(), |gateways| {
                println!(
                    "load runs for {} s; meanwhile, in another shell:\n\n    {}\n",
                    plan.seconds,
                    curl(gateways[0])
                );
                println!("at 4 s gateway 1 is killed, at 5 s gateway 2 loses its link to half of the servers; at 9 s all heals");
            })?;
            print!("{}", report::text(&outcome));
            Ok(outcome.held())
        }
        Verb::Run { plans, seeds, json, ready_s, gateways, servers, per_s, seconds, keep } => {
            let ready = Duration::try_from_secs_f64(*ready_s).map_err(|e| format!("--ready-s: {e}"))?;
            let options = Options { keep: keep.clone(), ready, ..Options::new(program(cli)?) };
            let mut file = json.as_deref().map(append).transpose()?;
            let mut held = true;
            for name in plans {
                let mut plan = read(name)?;
                plan.fleet.gateways = gateways.unwrap_or(plan.fleet.gateways);
                plan.fleet.servers = servers.unwrap_or(plan.fleet.servers);
                if let Some(per_s) = per_s {
                    // Each customer goes on asking as much as before.
                    let customers = plan.traffic.customers as f64 * per_s / plan.traffic.per_s;
                    plan.traffic.customers = (customers.round() as usize).max(1);
                    plan.traffic.per_s = *per_s;
                }
                plan.seconds = seconds.unwrap_or(plan.seconds);
                let seeds = if seeds.is_empty() { vec![plan.seed] } else { seeds.clone() };
                for seed in seeds {
                    plan.seed = seed;
                    let outcome = play(&plan, &options, stopped())?;
                    print!("{}", report::text(&outcome));
                    if let Some(file) = &mut file {
                        writeln!(file, "{}", report::json(&outcome))
                            .map_err(|e| format!("the results: {e}"))?;
                    }
                    held &= outcome.held();
                }
            }
            Ok(held)
        }
    }
}

/// A request that a person can send while the demo runs.
fn curl(gateway: std::net::SocketAddr) -> String {
    format!(
        "curl -i -H 'X-Txn: f000000000000001' -H 'X-Lane: status-read' -H 'X-Plan: basic' -H 'X-Remaining-Ms: 1500' \
         -H 'X-Quota: units=1,spread=1,first=0' 'http://{gateway}/status-read?account=0000000000000007'"
    )
}

fn append(path: &Path) -> Result<std::fs::File, String> {
    let file = std::fs::OpenOptions::new().create(true).append(true).open(path);
    file.map_err(|e| format!("{}: {e}", path.display()))
}

/// Ctrl-C or SIGTERM.
async fn stopped() {
    use tokio::signal::unix::{signal, SignalKind};
    let wait = |kind| async move {
        match signal(kind) {
            Ok(mut signal) => drop(signal.recv().await),
            // Without a handler the signal ends the process.
            Err(_) => std::future::pending().await,
        }
    };
    tokio::select! {
        () = wait(SignalKind::interrupt()) => {}
        () = wait(SignalKind::terminate()) => {}
    }
}

/// The gateway's program: as named, or the one beside this program, which a checkout builds first.
fn program(cli: &Cli) -> Result<PathBuf, String> {
    if let Some(program) = &cli.gateway {
        return Ok(program.clone());
    }
    let own = std::env::current_exe().map_err(|e| format!("this program: {e}"))?;
    let beside = own.with_file_name("heronstage");
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).parent().unwrap_or(Path::new("."));
    if root.join("Cargo.toml").is_file() {
        let mut build = Command::new(std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into()));
        build.current_dir(root).args(["build", "--quiet", "--locked", "--bin", "heronstage"]);
        if own.parent().is_some_and(|folder| folder.ends_with("release")) {
            build.arg("--release");
        }
        let built = build.status().map_err(|e| format!("cargo build: {e}"))?;
        if !built.success() {
            return Err("the gateway does not build".to_owned());
        }
    }
    if beside.is_file() {
        Ok(beside)
    } else {
        Err(format!("no gateway at {}: name one by --gateway", beside.display()))
    }
}
