//! Adapter between the decision module and a simulator: reads batches of events from standard input, and
//! answers each with a batch of actions on standard output.

mod frame;
mod setup;

use frame::{Batch, Fields, Reply, ENTRY_BYTES};
use oakfall::{Action, BackendEntry, BackendState, CallResult, Event, Gateway, Load, Outcome, Request};
use std::collections::BTreeMap;
use std::io::{self, BufReader, Write};
use std::process::ExitCode;

/// Codes of the event records that configure the adapter itself.
const REMOVE_INSTANCE: u8 = 2;
const CREATE_INSTANCE: u8 = 5;
const DEFINE_LIST: u8 = 11;
/// Maximum number of values in a load report.
const MAX_LOAD_VALUES: usize = 4;

/// A simulated gateway.
struct Instance {
    gateway: Gateway,
    report_names: Vec<String>,
}

#[derive(Default)]
struct Adapter {
    instances: BTreeMap<u32, Instance>,
    /// Backend lists by number, which events refer to.
    lists: BTreeMap<u32, Vec<BackendEntry>>,
    /// Buffer of the actions for one event.
    actions: Vec<Action>,
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("oakfall-simulator: {message}");
            ExitCode::from(2)
        }
    }
}

fn run() -> Result<(), String> {
    let mut input = BufReader::new(io::stdin().lock());
    let mut output = io::stdout().lock();
    let mut adapter = Adapter::default();
    while let Some(batch) = Batch::read(&mut input)? {
        let mut reply = Reply::default();
        for record in batch.events() {
            let handled = adapter.handle(&batch, &record, &mut reply);
            handled.map_err(|error| format!("batch {}: {error}", batch.number))?;
        }
        let written = output.write_all(&reply.encode(batch.number)).and_then(|()| output.flush());
        written.map_err(|error| format!("writing the reply to batch {} failed: {error}", batch.number))?;
    }
    Ok(())
}

impl Adapter {
    /// Handles one event record, and appends the resulting actions to the reply.
    fn handle(&mut self, batch: &Batch, record: &Fields, reply: &mut Reply) -> Result<(), String> {
        let code = record.u8(0)?;
        if code == DEFINE_LIST {
            let bytes = batch.tail(record, 5, ENTRY_BYTES)?;
            let frame_offset = record.frame_offset();
            let entries = bytes.chunks_exact(ENTRY_BYTES);
            let entries = entries.map(|entry| list_entry(&Fields::new(entry, frame_offset)));
            self.lists.insert(record.u32(1)?, entries.collect::<Result<_, _>>()?);
            return Ok(());
        }
        let number = record.u32(1)?;
        match code {
            CREATE_INSTANCE => {
                let text = std::str::from_utf8(batch.tail(record, 13, 1)?).map_err(|error| {
                    format!("record at byte {}: settings are not valid UTF-8: {error}", record.frame_offset())
                })?;
                let setup = setup::parse(text)?;
                let gateway = Gateway::new(setup.settings, record.u64(5)?, batch.clock);
                self.instances.insert(number, Instance { gateway, report_names: setup.report_names });
                return Ok(());
            }
            REMOVE_INSTANCE => {
                self.instances.remove(&number);
                return Ok(());
            }
            _ => {}
        }
        let Some(instance) = self.instances.get_mut(&number) else {
            return Err(format!("record at byte {} is for unknown instance {number}", record.frame_offset()));
        };
        let names = &instance.report_names;
        let event = match code {
            1 => Event::Probed {
                backend: record.u32(6)?,
                result: call_result(record, 5)?,
                took_ms: record.f64(10)?,
                load: load_report(record, 18, names)?,
            },
            3 => Event::ClientGone { id: record.u64(5)? },
            4 => Event::Counted {
                key: record.u64(6)?,
                result: call_result(record, 5)?,
                total: record.f32(14)?,
                took_ms: record.f64(18)?,
            },
            6 => Event::Message { from: u32::from(record.u16(5)?), body: batch.tail(record, 7, 1)?.to_vec() },
            7 => Event::ResponseStarted { id: record.u64(5)?, attempt: record.u8(13)? },
            8 => match record.u8(5)? {
                3 => Event::ListFailed,
                scope @ 0..=2 => {
                    let list = record.u32(14)?;
                    let entries = self.lists.get(&list).cloned().ok_or_else(|| {
                        format!(
                            "record at byte {} refers to list {list}, which is not defined",
                            record.frame_offset()
                        )
                    })?;
                    Event::List { full: scope != 0, entries }
                }
                scope => {
                    return Err(format!(
                        "record at byte {}: unknown list scope {scope}",
                        record.frame_offset()
                    ))
                }
            },
            9 => Event::Timer { token: record.u64(5)? },
            10 => Event::Outcome(Outcome {
                id: record.u64(5)?,
                attempt: record.u8(13)?,
                backend: record.u32(15)?,
                result: call_result(record, 29)?,
                is_final: record.u8(14)? != 0,
                units: Some(f64::from(record.u16(19)?)).filter(|units| *units > 0.0),
                took_ms: record.f64(21)?,
                load: load_report(record, 32, names)?,
            }),
            12 => Event::Request(Request {
                id: record.u64(5)?,
                customer: record.u64(26)?,
                plan: u32::from(record.u16(43)?),
                class: u32::from(record.u8(34)?),
                units: record.f32(22)?,
                budget_ms: record.f64(35)?,
                customer_gateways: record.f32(17)?,
                is_retry: record.u8(21)? & 2 != 0,
                body_streams: false,
                pool: 0,
                canary_pool: None,
                zone_mask: u64::MAX,
            }),
            code => {
                return Err(format!("record at byte {}: unknown event code {code}", record.frame_offset()))
            }
        };
        instance.gateway.handle(batch.clock, event, &mut self.actions);
        for action in self.actions.drain(..) {
            add_action(reply, number, &action);
        }
        Ok(())
    }
}

fn list_entry(record: &Fields) -> Result<BackendEntry, String> {
    let state = match record.u8(8)? {
        0 => BackendState::Gone,
        1 => BackendState::Ready,
        2 => BackendState::Draining,
        state => {
            return Err(format!("record at byte {}: unknown backend state {state}", record.frame_offset()))
        }
    };
    Ok(BackendEntry {
        id: record.u32(0)?,
        zone: u32::from(record.u8(4)?),
        kind: u32::from(record.u8(5)?),
        cell: u32::from(record.u16(6)?),
        state,
        size: record.f32(9)?,
        started: record.f64(13)?,
        pool: 0,
        distance_cost: 0.0,
        cold_until: 0.0,
        cold_per_s: 0.0,
        limited_until: 0.0,
        limit: 0,
    })
}

fn call_result(record: &Fields, offset: usize) -> Result<CallResult, String> {
    Ok(match record.u8(offset)? {
        0 => CallResult::Ok,
        5 => CallResult::Error,
        11 => CallResult::Rejected,
        104 => CallResult::Reset,
        110 => CallResult::Timeout,
        111 => CallResult::ConnectFailed,
        114 => CallResult::NotSent,
        125 => CallResult::Cancelled,
        code => return Err(format!("record at byte {}: unknown outcome code {code}", record.frame_offset())),
    })
}

fn load_report(record: &Fields, offset: usize, names: &[String]) -> Result<Load, String> {
    let mut load = Load::default();
    let count = usize::from(record.u8(offset)?).min(MAX_LOAD_VALUES);
    for (index, name) in names.iter().take(count).enumerate() {
        let value = Some(record.f32(offset + 1 + 4 * index)?).filter(|value| value.is_finite());
        match name.as_str() {
            "concurrent" => load.in_flight = value,
            "depth" => load.queue_depth = value,
            "load_share" => load.cpu_utilization = value,
            "mean_ms" => load.service_ms = value,
            "tps" => load.served_per_s = value,
            "err_ps" => load.errors_per_s = value,
            _ => {}
        }
    }
    Ok(load)
}

fn add_action(reply: &mut Reply, instance: u32, action: &Action) {
    let code = match action {
        Action::Send { .. } => 65,
        Action::Refuse { .. } => 66,
        Action::Fail { .. } => 67,
        Action::Cancel { .. } => 68,
        Action::Timer { .. } => 69,
        Action::Probe { .. } => 70,
        Action::SendMessage { .. } => 72,
        Action::Log { .. } => 73,
        Action::Watch => 75,
        Action::Count { .. } => 77,
    };
    let mut record = reply.add_record(code, instance);
    match action {
        Action::Send { id, backend, timeout_ms } => {
            record
                .put(5, &id.to_le_bytes())
                .put(13, &timeout_ms.to_le_bytes())
                .put(21, &backend.to_le_bytes());
        }
        Action::Refuse { id, retry_after_ms, .. } => {
            record.put(5, &id.to_le_bytes()).put(13, &retry_after_ms.to_le_bytes());
        }
        Action::Fail { id } => {
            record.put(5, &id.to_le_bytes());
        }
        Action::Cancel { id, attempt } => {
            record.put(5, &id.to_le_bytes()).put(13, &[*attempt]);
        }
        Action::Timer { token, after_ms } => {
            record.put(5, &token.to_le_bytes()).put(13, &after_ms.to_le_bytes());
        }
        Action::Probe { backend } => {
            record.put(5, &backend.to_le_bytes());
        }
        Action::SendMessage { to, body } => {
            record.put(5, &to.to_le_bytes()).put_tail(9, body);
        }
        Action::Log { line } => {
            record.put_tail(5, line.as_bytes());
        }
        Action::Watch => {
            record.put(5, &[1]);
        }
        Action::Count { key, amount, lifetime_ms } => {
            let amount = *amount as f32;
            record
                .put(5, &key.to_le_bytes())
                .put(13, &amount.to_le_bytes())
                .put(17, &lifetime_ms.to_le_bytes());
        }
    }
}
