//! Command line of `oakfall-lab`, which runs fault-injection plans and scale tests on a fleet of gateways.

use clap::{Parser, Subcommand};
use oakfall_lab::builtin_plans::{self, PLANS};
use oakfall_lab::plan::Plan;
use oakfall_lab::report;
use oakfall_lab::scale::cost_measurement::{self, Heap};
use oakfall_lab::scale::generator::FleetSize;
use oakfall_lab::scale::{self, forecast, run};
use oakfall_lab::testbed::{run_plan, run_plan_with_ready_callback, Options};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::{Command, ExitCode};
use std::time::Duration;

/// Tracks heap usage for `slopes`.
#[global_allocator]
static HEAP: peak_alloc::PeakAlloc = peak_alloc::PeakAlloc;

struct TrackedHeap;

impl Heap for TrackedHeap {
    fn current_bytes(&self) -> usize {
        HEAP.current_usage()
    }

    fn take_peak_bytes(&self) -> usize {
        let peak = HEAP.peak_usage();
        HEAP.reset_peak_usage();
        peak
    }
}

#[derive(Parser)]
#[command(version, about = "Runs fault-injection plans and scale tests on a fleet of gateways")]
struct Cli {
    /// Gateway program. Default: oakfall-gateway in the folder of this program, built first in a source
    /// checkout.
    #[arg(long, global = true, value_name = "FILE")]
    gateway: Option<PathBuf>,
    #[command(subcommand)]
    command: LabCommand,
}

#[derive(Subcommand)]
enum LabCommand {
    /// Runs the plan `demo` with five gateways, ten servers, faults and load, in under 30 s.
    Demo,
    /// Runs plans, one after the other.
    Run {
        /// Names of plans that come with the program, or paths of plan files.
        #[arg(required = true)]
        plans: Vec<String>,
        /// Seeds to run each plan with, instead of its own.
        #[arg(long, value_delimiter = ',', value_name = "N,N")]
        seeds: Vec<u64>,
        /// Appends the outcome of each run to a file, as a line of JSON.
        #[arg(long, value_name = "FILE")]
        json: Option<PathBuf>,
        /// Timeout for a gateway to become ready.
        #[arg(long, default_value_t = 30.0, value_name = "SECONDS")]
        ready_s: f64,
        /// Number of gateways, instead of the plan's.
        #[arg(long, value_name = "N")]
        gateways: Option<usize>,
        /// Number of servers listed from the start, instead of the plan's.
        #[arg(long, value_name = "N")]
        servers: Option<usize>,
        /// Requests per second, instead of the plan's. The number of customers changes in proportion.
        #[arg(long, value_name = "N")]
        per_s: Option<f64>,
        /// Duration of the load in seconds, instead of the plan's.
        #[arg(long, value_name = "N")]
        seconds: Option<f64>,
        /// Keeps the logs and configurations of the gateways in this folder.
        #[arg(long, value_name = "DIR")]
        keep: Option<PathBuf>,
    },
    /// Measures the cost of each message and each part of the state, in a single process, in under three minutes.
    Slopes {
        /// Seed of the generated configuration and load.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Writes all measurements to a file as JSON.
        #[arg(long, value_name = "FILE")]
        json: Option<PathBuf>,
    },
    /// Measures the duration and the cost of configuration changes by size, with real core processes.
    ///
    /// The gateways are simulated: they carry no traffic. Loopback adds no network latency.
    Scale {
        /// Numbers of gateways. Each is run with each value of --percent.
        #[arg(long, value_delimiter = ',', default_value = "30,100,300,930", value_name = "N,N")]
        gateways: Vec<usize>,
        /// Numbers of routes and tenants, as percentages of 7,600 and 29,000.
        #[arg(long, value_delimiter = ',', default_value = "1,10,100", value_name = "N,N")]
        percent: Vec<f64>,
        /// Number of backends. Default: in proportion to the gateways, 6,900 for 930.
        #[arg(long, value_name = "N")]
        backends: Option<usize>,
        /// Seed of the generated configuration and load.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Number of configuration changes per run.
        #[arg(long, default_value_t = 20)]
        changes: u64,
        /// Folder with the programs of the system. Default: the folder of this program.
        #[arg(long, value_name = "DIR")]
        programs: Option<PathBuf>,
        /// Output of `slopes --json`, from which a forecast is printed for each run.
        #[arg(long, value_name = "FILE")]
        slopes: Option<PathBuf>,
        /// Folder for results. Each run appends a line to `runs.jsonl`.
        #[arg(long, value_name = "DIR")]
        out: Option<PathBuf>,
    },
    /// Validates plans.
    Check {
        /// Names of plans that come with the program, or paths of plan files.
        #[arg(required = true)]
        plans: Vec<String>,
    },
    /// Lists the plans that come with the program, or prints one.
    Plans {
        /// Name of the plan to print.
        name: Option<String>,
    },
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    match run_command(&cli) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(e) => {
            eprintln!("oakfall-lab: {e}");
            ExitCode::from(2)
        }
    }
}

/// Reads the plan of this name that comes with the program, or else the file at this path.
fn read_plan(name: &str) -> Result<Plan, String> {
    let text = match builtin_plans::plan(name) {
        Some(text) => text.to_owned(),
        None => std::fs::read_to_string(name).map_err(|e| format!("{name}: {e}"))?,
    };
    Plan::read(&text).map_err(|e| format!("{name}: {e}"))
}

/// Runs the command. Returns whether all runs passed.
fn run_command(cli: &Cli) -> Result<bool, String> {
    match &cli.command {
        LabCommand::Plans { name: None } => {
            for (name, text) in PLANS {
                println!("{name:20} {}", Plan::read(text)?.about);
            }
            Ok(true)
        }
        LabCommand::Plans { name: Some(name) } => {
            let text = builtin_plans::plan(name)
                .ok_or_else(|| format!("unknown plan `{name}`: `oakfall-lab plans` lists the known ones"))?;
            print!("{text}");
            Ok(true)
        }
        LabCommand::Slopes { seed, json } => {
            let log_progress = |what: &str| eprintln!("measuring: {what}");
            let slopes = cost_measurement::measure_slopes(*seed, &TrackedHeap, &log_progress)?;
            print!("{}", cost_measurement::text(&slopes));
            if let Some(file) = json {
                let text = serde_json::to_string(&slopes).map_err(|e| e.to_string())?;
                std::fs::write(file, text).map_err(|e| format!("{}: {e}", file.display()))?;
            }
            Ok(true)
        }
        LabCommand::Scale { gateways, percent, backends, seed, changes, programs, slopes, out } => {
            let lab = std::env::current_exe().map_err(|e| format!("path of this program: {e}"))?;
            let lab_folder = lab.parent().unwrap_or(Path::new(".")).to_owned();
            let programs = programs.clone().unwrap_or(lab_folder);
            let options = run::Options { programs, seed: *seed, changes: *changes };
            let size = |gateways, percent| {
                let size = FleetSize::with_gateways(gateways, percent);
                FleetSize { backends: backends.unwrap_or(size.backends), ..size }
            };
            let sizes = percent
                .iter()
                .flat_map(|percent| gateways.iter().map(|gateways| (*percent, size(*gateways, *percent))));
            let sizes: Vec<_> = sizes.collect();
            exit_on_signals()?;
            run_scale_tests(&options, &sizes, slopes.as_deref(), out.as_deref())
        }
        LabCommand::Check { plans } => {
            for name in plans {
                read_plan(name)?;
                println!("{name}: valid");
            }
            Ok(true)
        }
        LabCommand::Demo => {
            let plan = read_plan("demo")?;
            let options = Options::new(gateway_program(cli)?);
            println!("starting {} gateways and {} servers ...", plan.fleet.gateways, plan.fleet.servers);
            let outcome = run_plan_with_ready_callback(&plan, &options, stop_signal(), |gateways| {
                println!(
                    "the load runs for {} s; meanwhile, send a request from another shell:\n\n    {}\n",
                    plan.seconds,
                    curl_command(gateways[0])
                );
                println!("at 4 s gateway 1 is killed, at 5 s gateway 2 loses its link to half of the servers, and at 9 s both faults end");
            })?;
            print!("{}", report::text(&outcome));
            Ok(outcome.passed())
        }
        LabCommand::Run { plans, seeds, json, ready_s, gateways, servers, per_s, seconds, keep } => {
            let ready = Duration::try_from_secs_f64(*ready_s).map_err(|e| format!("--ready-s: {e}"))?;
            let options = Options {
                keep_dir: keep.clone(),
                ready_timeout: ready,
                ..Options::new(gateway_program(cli)?)
            };
            let mut file = json.as_deref().map(open_for_append).transpose()?;
            let mut passed = true;
            for name in plans {
                let mut plan = read_plan(name)?;
                plan.fleet.gateways = gateways.unwrap_or(plan.fleet.gateways);
                plan.fleet.servers = servers.unwrap_or(plan.fleet.servers);
                if let Some(per_s) = per_s {
                    // The request rate of each customer stays the same.
                    let customers = plan.traffic.customers as f64 * per_s / plan.traffic.per_s;
                    plan.traffic.customers = (customers.round() as usize).max(1);
                    plan.traffic.per_s = *per_s;
                }
                plan.seconds = seconds.unwrap_or(plan.seconds);
                let seeds = if seeds.is_empty() { vec![plan.seed] } else { seeds.clone() };
                for seed in seeds {
                    plan.seed = seed;
                    let outcome = run_plan(&plan, &options, stop_signal())?;
                    print!("{}", report::text(&outcome));
                    if let Some(file) = &mut file {
                        writeln!(file, "{}", report::json(&outcome))
                            .map_err(|e| format!("writing the results: {e}"))?;
                    }
                    passed &= outcome.passed();
                }
            }
            Ok(passed)
        }
    }
}

/// Kills the processes of a scale test and exits on SIGINT and SIGTERM. The folder of the run is kept.
fn exit_on_signals() -> Result<(), String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| format!("signal handlers: {e}"))?;
    std::thread::spawn(move || {
        runtime.block_on(stop_signal());
        run::kill_processes();
        eprintln!("oakfall-lab: stopped");
        std::process::exit(2);
    });
    Ok(())
}

/// Runs a scale test for each size, one after the other. Returns whether all completed.
fn run_scale_tests(
    options: &run::Options, sizes: &[(f64, FleetSize)], slopes: Option<&Path>, out: Option<&Path>,
) -> Result<bool, String> {
    if let Some((bad, _)) = sizes.iter().find(|(percent, _)| !(0.01..=100.0).contains(percent)) {
        return Err(format!("--percent {bad}: must be from 0.01 to 100"));
    }
    if sizes.iter().any(|(_, size)| size.gateways == 0 || size.backends == 0) || options.changes == 0 {
        return Err("--gateways, --backends and --changes: must be 1 or more".to_owned());
    }
    let slopes: Vec<cost_measurement::Slope> = match slopes {
        Some(file) => {
            let text = std::fs::read_to_string(file).map_err(|e| format!("{}: {e}", file.display()))?;
            serde_json::from_str(&text).map_err(|e| format!("{}: {e}", file.display()))?
        }
        None => Vec::new(),
    };
    let mut completed = true;
    for (percent, size) in sizes {
        let log_progress = |what: &str| eprintln!("{} x {percent}: {what}", size.gateways);
        let outcome = run::run_size(options, *size, *percent, &log_progress)?;
        print!("{}", scale::report::text(&outcome));
        if outcome.failure.is_none() && !slopes.is_empty() {
            print!("{}", forecast::text(&forecast::CostModel(&slopes).compare(&outcome)));
        }
        if let Some(folder) = out {
            std::fs::create_dir_all(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
            let line = serde_json::to_string(&outcome).map_err(|e| e.to_string())?;
            writeln!(open_for_append(&folder.join("runs.jsonl"))?, "{line}")
                .map_err(|e| format!("writing the results: {e}"))?;
        }
        completed &= outcome.failure.is_none();
    }
    Ok(completed)
}

/// Returns a command line that sends a request to a gateway of the demo.
fn curl_command(gateway: std::net::SocketAddr) -> String {
    format!(
        "curl -i -H 'X-Txn: f000000000000001' -H 'X-Lane: status-read' -H 'X-Plan: basic' -H 'X-Remaining-Ms: 1500' \
         -H 'X-Quota: units=1,spread=1,first=0' 'http://{gateway}/status-read?account=0000000000000007'"
    )
}

fn open_for_append(path: &Path) -> Result<std::fs::File, String> {
    let file = std::fs::OpenOptions::new().create(true).append(true).open(path);
    file.map_err(|e| format!("{}: {e}", path.display()))
}

/// Waits for SIGINT or SIGTERM.
async fn stop_signal() {
    use tokio::signal::unix::{signal, SignalKind};
    let wait = |kind| async move {
        match signal(kind) {
            Ok(mut signal) => drop(signal.recv().await),
            // Without a handler the signal terminates the process.
            Err(_) => std::future::pending().await,
        }
    };
    tokio::select! {
        () = wait(SignalKind::interrupt()) => {}
        () = wait(SignalKind::terminate()) => {}
    }
}

/// Returns the path of the gateway program: the one given, or the one in this program's folder. The latter is built
/// first if the source is present.
fn gateway_program(cli: &Cli) -> Result<PathBuf, String> {
    if let Some(program) = &cli.gateway {
        return Ok(program.clone());
    }
    let lab = std::env::current_exe().map_err(|e| format!("path of this program: {e}"))?;
    let gateway = lab.with_file_name("oakfall-gateway");
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).parent().unwrap_or(Path::new("."));
    if root.join("Cargo.toml").is_file() {
        let mut build = Command::new(std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into()));
        build.current_dir(root).args(["build", "--quiet", "--locked", "--bin", "oakfall-gateway"]);
        if lab.parent().is_some_and(|folder| folder.ends_with("release")) {
            build.arg("--release");
        }
        let status = build.status().map_err(|e| format!("cargo build: {e}"))?;
        if !status.success() {
            return Err("cargo build of the gateway failed".to_owned());
        }
    }
    if gateway.is_file() {
        Ok(gateway)
    } else {
        Err(format!("no gateway program at {}: set one with --gateway", gateway.display()))
    }
}
