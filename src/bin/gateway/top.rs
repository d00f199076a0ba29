//! The command `top`: polls a gateway's status and shows it with the request rates between two samples.

use crate::cli::{ExitStatus, OperatorArgs};
use crate::remote::{align_columns, fetch_status, phase_name, print, status_rows, CommandResult, Failure};
use crate::status::{ClassCounts, Status};
use crossterm::cursor::{Hide, MoveTo, Show};
use crossterm::terminal::{self, Clear, ClearType};
use crossterm::{execute, Command};
use std::fmt::Write;
use std::io::{self, IsTerminal};
use std::time::Duration;
use tokio::time::sleep;

/// Number of consecutive failed calls after which the command fails.
const MAX_FAILURES: u32 = 3;

/// Request rates of one class between two samples, per second.
struct ClassRates<'a> {
    class: &'a str,
    served: f64,
    refused: f64,
    failed: f64,
}

/// Shows samples until the gateway does not respond, the given number has been shown, or the user interrupts.
pub async fn run(call: OperatorArgs, interval: Duration, max_samples: Option<u64>) -> CommandResult {
    let is_screen = io::stdout().is_terminal() && !call.json;
    if is_screen {
        execute!(io::stdout(), Hide)?;
    }
    let shown = tokio::select! {
        shown = show(&call, interval, max_samples, is_screen) => shown,
        interrupted = tokio::signal::ctrl_c() => interrupted.map(|()| ExitStatus::Success).map_err(Failure::from),
    };
    if is_screen {
        execute!(io::stdout(), Show)?;
    }
    shown
}

async fn show(
    call: &OperatorArgs, interval: Duration, max_samples: Option<u64>, is_screen: bool,
) -> CommandResult {
    let (mut previous, mut failures, mut samples): (Option<Status>, u32, u64) = (None, 0, 0);
    loop {
        match fetch_status(call.operators).await {
            Ok((body, current)) => {
                failures = 0;
                let rates = previous
                    .as_ref()
                    .filter(|previous| previous.pid == current.pid)
                    .map(|previous| rates(previous, &current));
                match (call.json, is_screen) {
                    (true, _) => {
                        // One JSON object per line.
                        let line: serde_json::Value =
                            serde_json::from_slice(&body).map_err(io::Error::from)?;
                        print(format!("{line}\n"))?;
                    }
                    (false, true) => print(screen(&current, rates.as_deref())?)?,
                    (false, false) => print(line(&current, rates.as_deref()))?,
                }
                previous = Some(current);
            }
            Err(failure) if failures + 1 >= MAX_FAILURES || previous.is_none() => return Err(failure),
            Err(_) => failures += 1,
        }
        samples += 1;
        if max_samples.is_some_and(|max| samples >= max) {
            return Ok(ExitStatus::Success);
        }
        sleep(interval).await;
    }
}

fn rates<'a>(previous: &Status, current: &'a Status) -> Vec<ClassRates<'a>> {
    let elapsed_s = (current.uptime_s - previous.uptime_s).max(1e-3);
    let class_rates = |class: &'a ClassCounts| {
        let earlier = previous.classes.iter().find(|c| c.name == class.name);
        let per_second =
            |count: u64, earlier: Option<u64>| count.saturating_sub(earlier.unwrap_or(0)) as f64 / elapsed_s;
        ClassRates {
            class: &class.name,
            served: per_second(class.fulfilled, earlier.map(|c| c.fulfilled)),
            refused: per_second(class.throttled, earlier.map(|c| c.throttled)),
            failed: per_second(class.faulted, earlier.map(|c| c.faulted)),
        }
    };
    current.classes.iter().map(class_rates).collect()
}

/// A sample as one line, for output that is not a terminal.
fn line(status: &Status, rates: Option<&[ClassRates<'_>]>) -> String {
    let sum = |rate: fn(&ClassRates<'_>) -> f64| rates.map(|rates| rates.iter().map(rate).sum::<f64>());
    let format_rate = |rate: Option<f64>| rate.map_or("-".to_owned(), |rate| format!("{rate:.1}"));
    let members = status.members.as_ref().map_or("-".to_owned(), |members| members.present.to_string());
    format!(
        "up={:.0}s phase={} served/s={} refused/s={} failed/s={} open={} connections={} servers={}/{} members={members} \
         memory={}MiB descriptors={}\n",
        status.uptime_s,
        phase_name(status.phase).replace(' ', "-"),
        format_rate(sum(|rate| rate.served)),
        format_rate(sum(|rate| rate.refused)),
        format_rate(sum(|rate| rate.failed)),
        status.open_requests,
        status.connections,
        status.servers.listed - status.servers.avoided,
        status.servers.listed,
        status.process.resident_bytes >> 20,
        status.process.descriptors,
    )
}

/// A sample as a whole terminal screen, with the control sequences that draw it.
fn screen(status: &Status, rates: Option<&[ClassRates<'_>]>) -> Result<Vec<u8>, Failure> {
    let mut text = status_rows(status);
    if let Some(rates) = rates {
        text.push_str("\nper second\tserved\trefused\tfailed\n");
        for ClassRates { class, served, refused, failed } in rates {
            // Writing to a String cannot fail.
            let _ = writeln!(text, "{class}\t{served:.1}\t{refused:.1}\t{failed:.1}");
        }
    }
    let mut screen = String::new();
    let _ = MoveTo(0, 0).write_ansi(&mut screen);
    let (width, height) = terminal::size().unwrap_or((80, 24));
    let table = align_columns(&text)?;
    for row in String::from_utf8_lossy(&table).lines().take(usize::from(height).saturating_sub(1)) {
        screen.extend(row.chars().take(width.into()));
        let _ = Clear(ClearType::UntilNewLine).write_ansi(&mut screen);
        screen.push_str("\r\n");
    }
    let _ = Clear(ClearType::FromCursorDown).write_ansi(&mut screen);
    Ok(screen.into_bytes())
}
