//! Gateway processes: start, kill, pause, resume, reload, upgrade and restart.

use crate::history::GatewayEvent;
use crate::model::workload::{CLASS_NAMES, MAX_UNITS, PLAN_NAMES};
use crate::plan::{DEADLINES_MS, TARGET_LATENCY_MS};
use crate::testbed::discovery::{registry_json, zone_name};
use crate::testbed::resource_usage::{process_usage, ProcessUsage};
use crate::testbed::wire::{Connection, HttpConnection, ReservedPort};
use crate::testbed::RunContext;
use rustix::process::{kill_process, waitpid, Pid, Signal, WaitOptions};
use serde_json::{json, Value};
use std::fs::File;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::sync::watch;
use tokio::time::{sleep, timeout, Instant};

/// How often the state of a process that starts is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time that a process has to exit after SIGTERM before it is killed: a gateway drains for the longest deadline, at
/// least 3 s, and 0.7 s.
const EXIT_TIMEOUT: Duration = Duration::from_millis(3_700);
/// Log lines that are included in the error if a process does not start.
const LOG_TAIL_LINES: usize = 5;
/// Time until the edge router stops routing to a gateway that drains, in s.
const DRAIN_NOTICE_S: f64 = 0.3;
/// Niceness of gateway processes. On a busy machine they yield to the lab, whose timers must be on time.
const NICENESS: &str = "5";
/// Memory limit of a gateway, in MB.
const MEMORY_LIMIT_MB: u64 = 192;

/// The child processes that have not been waited for. Dropping it kills them.
#[derive(Default)]
pub struct ChildProcesses(Mutex<Vec<Pid>>);

impl ChildProcesses {
    fn pids(&self) -> MutexGuard<'_, Vec<Pid>> {
        self.0.lock().unwrap_or_else(|e| e.into_inner())
    }
}

impl Drop for ChildProcesses {
    fn drop(&mut self) {
        for pid in self.pids().drain(..) {
            // Once it has been waited for, the id may belong to another process.
            if let Ok(None) = waitpid(Some(pid), WaitOptions::NOHANG) {
                let _ = kill_process(pid, Signal::KILL);
                let _ = waitpid(Some(pid), WaitOptions::empty());
            }
        }
    }
}

/// One process of a gateway.
#[derive(Clone)]
struct Process {
    pid: Pid,
    /// Whether the lab has ended it, so that its exit is no crash.
    exit_expected: Arc<std::sync::atomic::AtomicBool>,
    exited: watch::Receiver<bool>,
    operator: SocketAddr,
}

/// One gateway, with the processes that run it one after another.
pub struct Gateway {
    index: usize,
    directory: PathBuf,
    client_port: ReservedPort,
    /// Operator ports, used alternately, as two processes run side by side during an upgrade.
    operator_ports: [ReservedPort; 2],
    /// The client listener that its processes inherit; only if the plan upgrades it.
    inherited_listener: Option<std::net::TcpListener>,
    /// Increases when another process takes over and when the process is killed.
    generation: AtomicU64,
    /// The process that serves.
    process: Mutex<Option<Process>>,
    /// Number of processes started.
    starts: AtomicU64,
    /// Usage by processes that have exited.
    past_usage: Mutex<ProcessUsage>,
}

fn send_signal(process: &Process, signal: Signal) {
    // Fails if the process has just exited.
    let _ = kill_process(process.pid, signal);
}

impl Gateway {
    /// Reserves the ports of a gateway and creates its directory. If it is upgraded during the run, its processes
    /// inherit the client listener.
    pub fn new(index: usize, directory: &Path, is_upgraded: bool) -> io::Result<Gateway> {
        let directory = directory.join(format!("n{index}"));
        std::fs::create_dir_all(directory.join("tmp"))?;
        let client_port = ReservedPort::new(Ipv4Addr::LOCALHOST)?;
        Ok(Gateway {
            index,
            inherited_listener: if is_upgraded { Some(client_port.listen()?) } else { None },
            client_port,
            operator_ports: [
                ReservedPort::new(Ipv4Addr::LOCALHOST)?,
                ReservedPort::new(Ipv4Addr::LOCALHOST)?,
            ],
            directory,
            generation: AtomicU64::new(0),
            process: Mutex::default(),
            starts: AtomicU64::new(0),
            past_usage: Mutex::default(),
        })
    }

    /// The address for clients.
    pub fn address(&self) -> SocketAddr {
        self.client_port.address
    }

    /// The generation of its process: it changes when the process is replaced or killed.
    pub fn generation(&self) -> u64 {
        self.generation.load(Ordering::Relaxed)
    }

    fn process(&self) -> MutexGuard<'_, Option<Process>> {
        self.process.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// The CPU time used by all its processes, and the memory and threads of the current one.
    pub fn usage(&self) -> ProcessUsage {
        let past = *self.past_usage.lock().unwrap_or_else(|e| e.into_inner());
        let current =
            self.process().as_ref().map(|process| process_usage(process.pid.as_raw_nonzero().get()));
        let current = current.unwrap_or_default();
        ProcessUsage { cpu_s: past.cpu_s + current.cpu_s, ..current }
    }

    fn config(&self, context: &RunContext, operator: SocketAddr) -> Value {
        let (plan, index) = (&context.plan, self.index);
        let (version, _) = context.discovery.agent_version(context, index);
        let servers = context.registry().snapshot(version);
        let known = registry_json(context, index, version, true, &servers);
        let known: Value = serde_json::from_str(&known).unwrap_or(Value::Null);
        let class = |class: usize, effect: &str, value: f64, late: f64| {
            json!({"name": CLASS_NAMES[class], "aim-ms": TARGET_LATENCY_MS, "give-up-ms": DEADLINES_MS[class], "value": value,
                "late-worth": late, "effect": effect, "group": "all", "stream": false, "window-ms": 5000.0})
        };
        let tier = |tier: usize, pays: f64, extra: f64, excess: f64| {
            let rate = plan.traffic.rate[tier];
            json!({"name": PLAN_NAMES[tier], "refill": rate, "store-size": rate * plan.traffic.burst_s[tier],
                "max-out": 0, "pays": pays, "extra-worth": extra, "excess-cost": excess, "cap-rate": 0.0,
                "cap-depth": 0.0, "ceiling-slack": 0.0})
        };
        let mut config = json!({
            "name": format!("n{index}"),
            "listen": self.client_port.address,
            "operator": operator,
            "discovery": context.discovery.listener.address_for(index),
            "counter": context.counter.listener.address_for(index),
            "seed": format!("{:016x}", context.seeded_u64(0xC0FF_EE00 + (index as u64) * 1_000 + self.starts.load(Ordering::Relaxed))),
            "limits": {"cores": 1.0, "memory_mb": MEMORY_LIMIT_MB, "sockets": plan.fleet.descriptors},
            "known": known,
            "settings": {
                "balancers": plan.fleet.gateways, "position": index, "locality": plan.zone(index),
                "zones": (0..plan.fleet.zones).map(zone_name).collect::<Vec<_>>(), "kinds": ["std-2c"],
                "granularity-ms": 4.0, "membership-mode": "push",
                "categories": [class(0, "read_like", 3.0, 0.2), class(1, "non_idempotent", 9.0, 0.0)],
                "tiers-of-service": [tier(0, 1.3, 0.3, 0.0), tier(1, 1.6, 0.0, 0.6)],
                "domain": {"may-count": true, "counter-timeout-ms": 50.0, "count-fee": 0.02,
                    "units-top": MAX_UNITS, "trued-up": true, "peer-intake": 0.0},
                "limits": {"try-limit": 4, "may-duplicate": true, "cancel": true, "probing": true, "peers": false,
                    "retry-after": true, "max-retry-after-ms": 1000.0, "connect-timeout-ms": 250.0,
                    "idle-close-ms": 15000.0},
                "penalties": {"cross-zone": 0.01, "waste": 0.08, "probe": 0.01, "late-fail": 0.08},
                "rules": {"answer-slack-ms": 16.0, "cold-from": plan.fleet.cold_from,
                    "warm-up-ms": plan.fleet.cold_s * 1000.0, "drain-grace-ms": 250.0,
                    "fall-multiple": plan.fleet.fall_multiple, "fall-ms": plan.fleet.fall_ms,
                    "ask-within-ms": 10000.0}
            }
        });
        if let Some(relays) = &context.relays {
            config["cluster"] = json!({"name": "granite-lab", "listen": "127.0.0.1:0",
                "advertise": relays.advertised[index],
                "seeds": relays.advertised.iter().take(3).collect::<Vec<_>>(), "period_ms": 200,
                "expected": plan.fleet.gateways});
        }
        config
    }

    fn config_path(&self) -> PathBuf {
        self.directory.join("config.json")
    }

    fn log_path(&self, start: u64) -> PathBuf {
        self.directory.join(format!("log-{start}"))
    }

    fn launch(&self, program: &Path, start: u64, config: &str) -> io::Result<Child> {
        std::fs::write(self.config_path(), config)?;
        let log = File::create(self.log_path(start))?;
        let mut command = match &self.inherited_listener {
            None => {
                let mut command = Command::new("nice");
                command.args(["-n", NICENESS]).arg(program).stdin(Stdio::null());
                command
            }
            Some(listener) => {
                let mut command = Command::new("/bin/sh");
                let script = "exec nice -n \"$1\" \"$0\" 3<&0 </dev/null";
                command.args(["-c", script]).arg(program).arg(NICENESS).env("RELAY_LISTEN_FD", "3");
                command.stdin(OwnedFd::from(listener.try_clone()?));
                command
            }
        };
        command
            .env("RELAY_CONFIG", self.config_path())
            .env("TMPDIR", self.directory.join("tmp"))
            .env_remove("RELAY_OPERATOR")
            .stdout(Stdio::null())
            .stderr(log)
            .kill_on_drop(true)
            .spawn()
    }

    /// Starts a process next to the current one, if any, and waits until it is ready.
    async fn spawn(self: &Arc<Self>, context: &Arc<RunContext>) -> Result<Process, String> {
        let start = self.starts.fetch_add(1, Ordering::Relaxed);
        let operator = self.operator_ports[(start % 2) as usize].address;
        let config = self.config(context, operator).to_string();
        // Processes are started on blocking threads, and only some at a time, to keep the lab's own timers on time.
        let permit = context.start_permits.clone().acquire_owned().await;
        let gateway = self.clone();
        let program = context.options.program.clone();
        let launched = tokio::task::spawn_blocking(move || gateway.launch(&program, start, &config));
        let child = launched
            .await
            .map_err(|e| e.to_string())?
            .map_err(|e| format!("gateway {}: cannot start the process: {e}", self.index))?;
        drop(permit);
        let pid = child.id().and_then(|id| Pid::from_raw(id as i32));
        let pid = pid.ok_or_else(|| format!("gateway {}: the process exited immediately", self.index))?;
        context.children.pids().push(pid);
        let (exited_sender, exited) = watch::channel(false);
        let process = Process { pid, exit_expected: Arc::default(), exited, operator };
        tokio::spawn(self.clone().supervise(context.clone(), child, process.clone(), exited_sender));
        let start_time = Instant::now();
        while !is_ready(operator).await {
            let (ready_timeout, exited) = (context.options.ready_timeout, *process.exited.borrow());
            if exited || start_time.elapsed() > ready_timeout {
                process.exit_expected.store(true, Ordering::Relaxed);
                send_signal(&process, Signal::KILL);
                let reason = if exited {
                    "ended at its start".to_owned()
                } else {
                    format!("is not ready after {} s", ready_timeout.as_secs_f64())
                };
                return Err(format!(
                    "gateway {} {reason}; end of its log:\n{}",
                    self.index,
                    self.log_tail(start)
                ));
            }
            sleep(POLL_INTERVAL).await;
        }
        self.read_member_address(context, start).await;
        Ok(process)
    }

    fn log_tail(&self, start: u64) -> String {
        let text = std::fs::read_to_string(self.log_path(start)).unwrap_or_default();
        let lines: Vec<_> = text.lines().collect();
        lines[lines.len().saturating_sub(LOG_TAIL_LINES)..].join("\n")
    }

    /// Reads the address of its member socket from its log and passes it to the datagram relays.
    async fn read_member_address(&self, context: &RunContext, start: u64) {
        let Some(relays) = &context.relays else { return };
        let start_time = Instant::now();
        while start_time.elapsed() < context.options.ready_timeout {
            let text = std::fs::read_to_string(self.log_path(start)).unwrap_or_default();
            let addresses =
                text.lines().rev().find_map(|line| line.split_once(", reached at ")?.1.split_once(", on "));
            if let Some(address) = addresses.and_then(|(_, address)| address.trim().parse().ok()) {
                return relays.set_member_address(self.index, address);
            }
            // During an upgrade the new process joins the cluster only after the old one has left it.
            if self.inherited_listener.is_some() && start > 0 {
                return;
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits for a process to exit, and records its usage and whether it crashed.
    async fn supervise(
        self: Arc<Self>, context: Arc<RunContext>, mut child: Child, process: Process,
        exited: watch::Sender<bool>,
    ) {
        // The usage of a process can't be read after it has been waited for.
        let sample_until_exit = async {
            let mut last = ProcessUsage::default();
            loop {
                last = Some(process_usage(process.pid.as_raw_nonzero().get()))
                    .filter(|usage| usage.cpu_s >= last.cpu_s)
                    .unwrap_or(last);
                tokio::select! {
                    _ = child.wait() => return last,
                    () = sleep(Duration::from_millis(500)) => {}
                }
            }
        };
        let last = sample_until_exit.await;
        context.children.pids().retain(|pid| *pid != process.pid);
        self.past_usage.lock().unwrap_or_else(|e| e.into_inner()).cpu_s += last.cpu_s;
        if !process.exit_expected.load(Ordering::Relaxed) {
            context.record_gateway_event(self.index, GatewayEvent::Crashed);
            context.notify_router(self.index, false, context.plan.traffic.notice_s);
        }
        let _ = exited.send(true);
        let mut current = self.process();
        if current.as_ref().is_some_and(|current| current.pid == process.pid) {
            *current = None;
        }
    }

    /// Starts a process that serves from then on. Returns once it is ready.
    pub async fn start(self: &Arc<Self>, context: &Arc<RunContext>) -> Result<(), String> {
        let process = self.spawn(context).await?;
        *self.process() = Some(process);
        self.generation.fetch_add(1, Ordering::Relaxed);
        context.record_gateway_event(self.index, GatewayEvent::Ready);
        context.notify_router(self.index, true, 0.0);
        Ok(())
    }

    /// Waits for a process to exit. Returns false if it has not exited in time.
    async fn wait_for_exit(&self, process: &Process, within: Duration) -> bool {
        let mut exited = process.exited.clone();
        let waited = timeout(within, exited.wait_for(|exited| *exited)).await;
        waited.is_ok_and(|exited| exited.is_ok())
    }

    /// Sends SIGKILL and waits for the exit.
    pub async fn kill(&self, context: &RunContext) {
        let Some(process) = self.process().take() else { return };
        process.exit_expected.store(true, Ordering::Relaxed);
        self.generation.fetch_add(1, Ordering::Relaxed);
        context.record_gateway_event(self.index, GatewayEvent::Killed);
        send_signal(&process, Signal::KILL);
        context.notify_router(self.index, false, context.plan.traffic.notice_s);
        self.wait_for_exit(&process, EXIT_TIMEOUT).await;
    }

    /// Kills the process after the run, without a record in the history.
    pub async fn kill_unrecorded(&self) {
        let process = self.process().take();
        if let Some(process) = process {
            process.exit_expected.store(true, Ordering::Relaxed);
            send_signal(&process, Signal::KILL);
            self.wait_for_exit(&process, EXIT_TIMEOUT).await;
        }
    }

    /// Pauses the process by SIGSTOP or resumes it by SIGCONT.
    pub fn set_paused(&self, context: &RunContext, paused: bool) {
        let Some(process) = self.process().clone() else { return };
        context.record_gateway_event(
            self.index,
            if paused { GatewayEvent::Paused } else { GatewayEvent::Resumed },
        );
        send_signal(&process, if paused { Signal::STOP } else { Signal::CONT });
        context.notify_router(self.index, !paused, context.plan.traffic.notice_s);
    }

    /// Writes the configuration again and sends SIGHUP.
    pub fn reload(&self, context: &RunContext) -> Result<(), String> {
        let Some(process) = self.process().clone() else { return Ok(()) };
        let text = self.config(context, process.operator).to_string();
        std::fs::write(self.config_path(), text)
            .map_err(|e| format!("gateway {}: cannot write its configuration: {e}", self.index))?;
        send_signal(&process, Signal::HUP);
        Ok(())
    }

    /// Sends SIGTERM and waits for the exit. A process that does not exit in time is killed.
    async fn terminate(&self, context: &RunContext, process: &Process) {
        process.exit_expected.store(true, Ordering::Relaxed);
        context.record_gateway_event(self.index, GatewayEvent::Terminated);
        send_signal(process, Signal::TERM);
        if !self.wait_for_exit(process, EXIT_TIMEOUT).await {
            context.record_gateway_event(self.index, GatewayEvent::Killed);
            send_signal(process, Signal::KILL);
            self.wait_for_exit(process, EXIT_TIMEOUT).await;
        } else if self.inherited_listener.is_none() {
            context.record_gateway_event(self.index, GatewayEvent::Exited);
        }
    }

    /// Terminates the process and starts a new one after its exit.
    pub async fn restart(self: &Arc<Self>, context: &Arc<RunContext>) -> Result<(), String> {
        let process = self.process().clone();
        if let Some(process) = process {
            context.notify_router(self.index, false, DRAIN_NOTICE_S);
            self.terminate(context, &process).await;
        }
        self.start(context).await
    }

    /// Starts a second process and, once it is ready, terminates the first one.
    pub async fn upgrade(self: &Arc<Self>, context: &Arc<RunContext>) -> Result<(), String> {
        let old = self.process().clone();
        let new = self.spawn(context).await?;
        *self.process() = Some(new);
        self.generation.fetch_add(1, Ordering::Relaxed);
        if let Some(old) = old {
            self.terminate(context, &old).await;
            context.record_gateway_event(self.index, GatewayEvent::Ready);
            self.read_member_address(context, self.starts.load(Ordering::Relaxed) - 1).await;
        }
        Ok(())
    }
}

/// Whether the gateway with this operator address is ready to serve.
async fn is_ready(operator: SocketAddr) -> bool {
    call_operator(operator, "GET /admin/health").await.is_ok_and(|(status, _)| status == 200)
}

/// Calls the operator interface of a gateway. Returns the status and the body of the response.
pub async fn call_operator(operator: SocketAddr, line: &str) -> io::Result<(u16, Vec<u8>)> {
    let call = async {
        let stream = TcpStream::connect(operator).await?;
        let mut http = HttpConnection::new(Connection::Direct(stream));
        http.write(format!("{line} HTTP/1.1\r\nHost: x\r\n\r\n").as_bytes()).await?;
        let (head, body) = http.read_message(true).await?.ok_or(io::ErrorKind::UnexpectedEof)?;
        Ok((head.status, body))
    };
    timeout(Duration::from_secs(1), call).await.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
}
