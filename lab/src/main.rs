//! `granite-lab`: plays plans of faults on a fleet of real gateways.

use clap::{Parser, Subcommand};
use granite_lab::plan::Plan;
use granite_lab::plans::{self, PLANS};
use granite_lab::report;
use granite_lab::scale::draw::Size;
use granite_lab::scale::weigh::{self, Heap};
use granite_lab::scale::{self, forecast, run};
use granite_lab::stage::{play, play_with_ready_callback, Options};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::{Command, ExitCode};
use std::time::Duration;

/// Counts what this process holds, for `slopes`.
#[global_allocator]
static HEAP: peak_alloc::PeakAlloc = peak_alloc::PeakAlloc;

struct Counted;

impl Heap for Counted {
    fn now(&self) -> usize {
        HEAP.current_usage()
    }

    fn peak(&self) -> usize {
        let peak = HEAP.peak_usage();
        HEAP.reset_peak_usage();
        peak
    }
}

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
    /// Measures what each message and each part of the state costs, in this process alone, in under three minutes.
    Slopes {
        /// Of what is drawn.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Writes all points to a file as JSON.
        #[arg(long, value_name = "FILE")]
        json: Option<PathBuf>,
    },
    /// Real core processes before hollow gateways: how long changes take, and what they cost, by size.
    ///
    /// Hollow gateways carry no traffic, and loopback has no distance.
    Scale {
        /// Numbers of gateways, each played with each part of the table.
        #[arg(long, value_delimiter = ',', default_value = "30,100,300,930", value_name = "N,N")]
        gateways: Vec<usize>,
        /// Routes and tenants, in 100 of 7,600 and 29,000.
        #[arg(long, value_delimiter = ',', default_value = "1,10,100", value_name = "N,N")]
        percent: Vec<f64>,
        /// Backends, whatever the number of gateways; without it 6,900 for 930 gateways, and as many for each.
        #[arg(long, value_name = "N")]
        backends: Option<usize>,
        /// Of what is drawn.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Changes of the configuration in each run.
        #[arg(long, default_value_t = 20)]
        changes: u64,
        /// The folder with the system's programs; without it that of this program.
        #[arg(long, value_name = "DIR")]
        programs: Option<PathBuf>,
        /// What `slopes --json` wrote: its forecast stands beside each run.
        #[arg(long, value_name = "FILE")]
        slopes: Option<PathBuf>,
        /// A folder for `runs.jsonl`, to which a line is added for each run, and for the plots of all that stand in it.
        #[arg(long, value_name = "DIR")]
        out: Option<PathBuf>,
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
        Verb::Slopes { seed, json } => {
            let said = |what: &str| eprintln!("weighs: {what}");
            let slopes = weigh::weigh(*seed, &Counted, &said)?;
            print!("{}", weigh::text(&slopes));
            if let Some(file) = json {
                let text = serde_json::to_string(&slopes).map_err(|e| e.to_string())?;
                std::fs::write(file, text).map_err(|e| format!("{}: {e}", file.display()))?;
            }
            Ok(true)
        }
        Verb::Scale { gateways, percent, backends, seed, changes, programs, slopes, out } => {
            let own = std::env::current_exe().map_err(|e| format!("this program: {e}"))?;
            let beside = own.parent().unwrap_or(Path::new(".")).to_owned();
            let programs = programs.clone().unwrap_or(beside);
            let options = run::Options { programs, seed: *seed, changes: *changes };
            let size = |gateways, percent| {
                let size = Size::of(gateways, percent);
                Size { backends: backends.unwrap_or(size.backends), ..size }
            };
            let sizes =
                percent.iter().flat_map(|percent| gateways.iter().map(|of| (*percent, size(*of, *percent))));
            let sizes: Vec<_> = sizes.collect();
            end_with_signals()?;
            scale(&options, &sizes, slopes.as_deref(), out.as_deref())
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
            let outcome = play_with_ready_callback(&plan, &options, stopped(), |gateways| {
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
            let options =
                Options { keep_dir: keep.clone(), ready_timeout: ready, ..Options::new(program(cli)?) };
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

/// Ctrl-C and SIGTERM end the processes of a run, and this one. The folder of the run stays.
fn end_with_signals() -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("signals: {e}"))?;
    std::thread::spawn(move || {
        runtime.block_on(stopped());
        run::kill();
        eprintln!("granite-lab: stopped");
        std::process::exit(2);
    });
    Ok(())
}

/// Plays all sizes, each in turn. True if all were played to their end.
fn scale(
    options: &run::Options, sizes: &[(f64, Size)], slopes: Option<&Path>, out: Option<&Path>,
) -> Result<bool, String> {
    if let Some((bad, _)) = sizes.iter().find(|(percent, _)| !(0.01..=100.0).contains(percent)) {
        return Err(format!("--percent {bad}: from 0.01 to 100"));
    }
    if sizes.iter().any(|(_, size)| size.gateways == 0 || size.backends == 0) || options.changes == 0 {
        return Err("--gateways, --backends and --changes: 1 at least".to_owned());
    }
    let slopes: Vec<weigh::Slope> = match slopes {
        Some(file) => {
            let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
            serde_json::from_str(&text).map_err(|e| format!("{}: {e}", file.display()))?
        }
        None => Vec::new(),
    };
    let mut played = true;
    for (percent, size) in sizes {
        let said = |what: &str| eprintln!("{} x {percent}: {what}", size.gateways);
        let outcome = run::play(options, *size, *percent, &said)?;
        print!("{}", scale::report::text(&outcome));
        if outcome.failed.is_none() && !slopes.is_empty() {
            print!("{}", forecast::text(&forecast::Model(&slopes).beside(&outcome)));
        }
        if let Some(folder) = out {
            std::fs::create_dir_all(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
            let line = serde_json::to_string(&outcome).map_err(|e| e.to_string())?;
            writeln!(append(&folder.join("runs.jsonl"))?, "{line}")
                .map_err(|e| format!("the results: {e}"))?;
        }
        played &= outcome.failed.is_none();
    }
    Ok(played)
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
