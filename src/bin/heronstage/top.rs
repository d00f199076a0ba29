//! `top`: what a running gateway does, over and over, as rates between two looks.

use crate::cli::{Call, Exit};
use crate::remote::{columns, look, phase, print, rows, Failure, Outcome};
use crate::status::Status;
use crossterm::cursor::{Hide, MoveTo, Show};
use crossterm::terminal::{self, Clear, ClearType};
use crossterm::{execute, Command};
use std::fmt::Write;
use std::io::{self, IsTerminal};
use std::time::Duration;
use tokio::time::sleep;

/// Looks in a row that may fail before the gateway counts as gone.
const MISSES: u32 = 3;

/// What one class did between two looks, a second.
struct Rate<'a> {
    class: &'a str,
    served: f64,
    refused: f64,
    failed: f64,
}

/// Shows it until the gateway is gone, or so many looks were made.
pub async fn run(call: Call, every: Duration, looks: Option<u64>) -> Outcome {
    let live = io::stdout().is_terminal() && !call.json;
    if live {
        execute!(io::stdout(), Hide)?;
    }
    let shown = tokio::select! {
        shown = show(&call, every, looks, live) => shown,
        interrupted = tokio::signal::ctrl_c() => interrupted.map(|()| Exit::Done).map_err(Failure::from),
    };
    if live {
        execute!(io::stdout(), Show)?;
    }
    shown
}

async fn show(call: &Call, every: Duration, looks: Option<u64>, live: bool) -> Outcome {
    let (mut before, mut misses, mut made): (Option<Status>, u32, u64) = (None, 0, 0);
    loop {
        match look(call.operators).await {
            Ok((raw, now)) => {
                misses = 0;
                let rates = before.as_ref().filter(|before| before.pid == now.pid).map(|b| rates(b, &now));
                match (call.json, live) {
                    (true, _) => {
                        // One object a line.
                        let line: serde_json::Value =
                            serde_json::from_slice(&raw).map_err(io::Error::from)?;
                        print(format!("{line}\n"))?;
                    }
                    (false, true) => print(screen(&now, rates.as_deref())?)?,
                    (false, false) => print(line(&now, rates.as_deref()))?,
                }
                before = Some(now);
            }
            Err(failure) if misses + 1 >= MISSES || before.is_none() => return Err(failure),
            Err(_) => misses += 1,
        }
        made += 1;
        if looks.is_some_and(|looks| made >= looks) {
            return Ok(Exit::Done);
        }
        sleep(every).await;
    }
}

fn rates<'a>(before: &Status, now: &'a Status) -> Vec<Rate<'a>> {
    let passed = (now.uptime_s - before.uptime_s).max(1e-3);
    let rate = |class: &'a crate::status::Class| {
        let former = before.classes.iter().find(|c| c.name == class.name);
        let a_second =
            |now: u64, before: Option<u64>| now.saturating_sub(before.unwrap_or(0)) as f64 / passed;
        Rate {
            class: &class.name,
            served: a_second(class.fulfilled, former.map(|c| c.fulfilled)),
            refused: a_second(class.throttled, former.map(|c| c.throttled)),
            failed: a_second(class.faulted, former.map(|c| c.faulted)),
        }
    };
    now.classes.iter().map(rate).collect()
}

/// One line, where the output is no terminal.
fn line(now: &Status, rates: Option<&[Rate<'_>]>) -> String {
    let sum = |of: fn(&Rate<'_>) -> f64| rates.map(|rates| rates.iter().map(of).sum::<f64>());
    let shown = |rate: Option<f64>| rate.map_or("-".to_owned(), |rate| format!("{rate:.1}"));
    let members = now.members.as_ref().map_or("-".to_owned(), |members| members.present.to_string());
    format!(
        "up={:.0}s phase={} served/s={} refused/s={} failed/s={} open={} connections={} servers={}/{} members={members} \
         memory={}MiB descriptors={}\n",
        now.uptime_s,
        phase(now.phase).replace(' ', "-"),
        shown(sum(|rate| rate.served)),
        shown(sum(|rate| rate.refused)),
        shown(sum(|rate| rate.failed)),
        now.open_requests,
        now.connections,
        now.servers.listed - now.servers.avoided,
        now.servers.listed,
        now.process.resident_bytes >> 20,
        now.process.descriptors,
    )
}

/// A whole screen.
fn screen(now: &Status, rates: Option<&[Rate<'_>]>) -> Result<Vec<u8>, Failure> {
    let mut text = rows(now);
    if let Some(rates) = rates {
        text.push_str("\na second\tserved\trefused\tfailed\n");
        for Rate { class, served, refused, failed } in rates {
            // A String takes every write.
            let _ = writeln!(text, "{class}\t{served:.1}\t{refused:.1}\t{failed:.1}");
        }
    }
    let mut screen = String::new();
    let _ = MoveTo(0, 0).write_ansi(&mut screen);
    let (width, height) = terminal::size().unwrap_or((80, 24));
    let table = columns(&text)?;
    for row in String::from_utf8_lossy(&table).lines().take(usize::from(height).saturating_sub(1)) {
        screen.extend(row.chars().take(width.into()));
        let _ = Clear(ClearType::UntilNewLine).write_ansi(&mut screen);
        screen.push_str("\r\n");
    }
    let _ = Clear(ClearType::FromCursorDown).write_ansi(&mut screen);
    Ok(screen.into_bytes())
}
