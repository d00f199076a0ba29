//! What runs came to: a table for people, and plots.

use super::run::{Outcome, Process};
use super::weigh::short;
use plotters::prelude::*;
use serde_json::Value;
use std::path::Path;

fn all(values: &[f64]) -> String {
    values.iter().map(|value| short(*value)).collect::<Vec<_>>().join(", ")
}

/// One run as text.
pub fn text(run: &Outcome) -> String {
    let size = run.size;
    let mut text = format!(
        "{} gateways, {} backends, {} routes, {} tenants ({} in 100), {:.2} MB of configuration; {} gateways hold the table\n",
        size.gateways, size.backends, size.routes, size.tenants, run.percent, run.config_mb, run.needs.whole
    );
    let mut line = |what: String| text.push_str(&format!("  {what}\n"));
    let reckoned = run.needs.memory_mb();
    line(format!("memory reckoned before: {reckoned:.0} MB"));
    if let Some(why) = &run.failed {
        line(format!("NOT played to its end: {why}"));
    }
    if run.start_s.is_finite() {
        line(format!(
            "up after {} s; {} s later all backends were known and nothing changed; load {} on {} cores",
            short(run.start_s),
            short(run.settled_s),
            short(run.load[0]),
            run.load[1]
        ));
    }
    if run.rest_s > 0.0 {
        let rest = &run.rest;
        let each = |count: u64| short(count as f64 / size.gateways as f64 / run.rest_s);
        line(format!(
            "a gateway at rest: {} words and {} bytes a second to the core, {} answers and {} bytes back; {} cores of \
             agent and proxy",
            each(rest.words.messages),
            each(rest.words.bytes),
            each(rest.pulses.messages),
            each(rest.pulses.bytes + rest.whole.bytes + rest.changes.bytes),
            short(rest.cpu_s() / size.gateways as f64 / run.rest_s),
        ));
    }
    if !run.changes.is_empty() && run.changing_s > 0.0 {
        line(format!(
            "a change for a gateway: {} MB; agent {} ms, proxy {} ms of processor",
            short(run.change_bytes() / 1e6),
            short(1000.0 * run.changing.changes.cpu_s / run.changing.changes.messages.max(1) as f64),
            short(1000.0 * run.changing.feeds.cpu_s / size.gateways as f64 / run.changes.len() as f64),
        ));
    }
    let done = run.changes.iter().filter(|change| change.missing == 0).count();
    line(format!("{done} of {} changes in force everywhere", run.changes.len()));
    if !run.changes.is_empty() {
        let middle = |of: fn(&super::run::Change) -> f64| {
            let mut values: Vec<f64> = run.changes.iter().map(of).collect();
            values.sort_by(f64::total_cmp);
            (short(values[values.len() / 2]), short(values[values.len() - 1]))
        };
        let (acked, last) = middle(|change| change.acked_s.unwrap_or(f64::INFINITY));
        line(format!("acknowledged after {acked} s in the middle, {last} s at most"));
        let (held, last) = middle(|change| change.held_s[2]);
        line(format!("held by all agents after {held} s in the middle, {last} s at most"));
        line(format!(
            "in force after {} s (50, 95, 100 in 100 of gateways, the middle change)",
            all(&run.force_s())
        ));
        let calls: u32 = run.changes.iter().map(|change| change.calls).sum();
        line(format!("the operator called {calls} times; who leads changed {} times", run.leaders));
    }
    line(format!("a restarted gateway is back after {} s (50, 95, 100 in 100)", all(&run.back_s)));
    line(format!("a zone's gateways are back after {} s", short(run.zone_back_s)));
    line(format!(
        "beats: {} answered, {} lost, {} ms each",
        run.beats_taken,
        run.beats_lost,
        short(run.beat_ms)
    ));
    let parts: [(&str, &Process); 4] = [
        ("leader", &run.leader),
        ("follower", &run.follower),
        ("real agent", &run.agent),
        ("real proxy", &run.proxy),
    ];
    for (what, process) in parts {
        line(format!(
            "{what}: {} cores at rest, {} s of processor a change, {} MB at its peak, {} MB of disk, {} descriptors",
            short(process.rest_cores),
            short(process.change_cpu_s),
            short(process.peak_mb),
            short(process.disk_mb),
            process.descriptors
        ));
    }
    text
}

/// Lines of a plot.
const COLOURS: [RGBColor; 4] =
    [RGBColor(31, 119, 180), RGBColor(214, 110, 20), RGBColor(44, 140, 60), RGBColor(150, 50, 160)];

/// What the plots show of a run: its part of the table in 100, its gateways, and a value for each plot.
struct Shown {
    percent: f64,
    gateways: f64,
    values: [f64; 4],
}

/// Reads a line of `runs.jsonl`; none where a run was not played to its end. What JSON calls null is never.
fn shown(line: &Value) -> Option<Shown> {
    let number = |value: &Value| value.as_f64().unwrap_or(f64::INFINITY);
    if !line["failed"].is_null() {
        return None;
    }
    let (gateways, changes) = (line["size"]["gateways"].as_f64()?, line["changes"].as_array()?);
    let mut force: Vec<f64> = changes.iter().map(|change| number(&change["force_s"][2])).collect();
    force.sort_by(f64::total_cmp);
    let told = &line["changing"];
    let bytes = number(&told["whole"]["bytes"]) + number(&told["changes"]["bytes"]);
    let leader = &line["leader"];
    let values = [
        force.get(force.len() / 2).copied()?,
        bytes / 1e6 / gateways / changes.len() as f64,
        number(&leader["change_cpu_s"]),
        number(&leader["peak_mb"]),
    ];
    Some(Shown { percent: line["percent"].as_f64()?, gateways, values })
}

/// The plots of all runs of a folder's `runs.jsonl`: `force.svg`, `bytes.svg`, `leader-cores.svg`, `leader-memory.svg`.
pub fn plots(folder: &Path) -> Result<(), String> {
    let file = folder.join("runs.jsonl");
    let wrong = |e: &dyn std::fmt::Display| format!("{}: {e}", file.display());
    let text = std::fs::read_to_string(&file).map_err(|e| wrong(&e))?;
    let lines: Result<Vec<Value>, _> = text.lines().map(serde_json::from_str).collect();
    let runs: Vec<_> = lines.map_err(|e| wrong(&e))?.iter().filter_map(shown).collect();
    let kinds = [
        ("force", "s from Put until in force at 100 in 100 of gateways", 7.0),
        ("bytes", "MB for a gateway at a change", 0.0),
        ("leader-cores", "s of the leader's processor for a change", 0.0),
        ("leader-memory", "MB of the leader at its peak", 256.0),
    ];
    for (at, (name, what, bound)) in kinds.into_iter().enumerate() {
        let file = folder.join(format!("{name}.svg"));
        plot(&runs, &file, what, at, bound).map_err(|e| format!("{}: {e}", file.display()))?;
    }
    Ok(())
}

/// One plot: against gateways, a line for each part of the table; both scales are logarithms. A bound above nought is drawn.
fn plot(
    runs: &[Shown], file: &Path, what: &str, at: usize, bound: f64,
) -> Result<(), Box<dyn std::error::Error>> {
    let points = |percent: f64| -> Vec<(f64, f64)> {
        let runs = runs.iter().filter(|run| run.percent == percent);
        let points = runs.map(|run| (run.gateways, run.values[at]));
        points.filter(|(_, y)| y.is_finite() && *y > 0.0).collect()
    };
    let mut percents: Vec<f64> = runs.iter().map(|run| run.percent).collect();
    percents.sort_by(f64::total_cmp);
    percents.dedup();
    let drawn: Vec<(f64, f64)> = percents.iter().flat_map(|percent| points(*percent)).collect();
    let lowest = drawn.iter().map(|(_, y)| *y).fold(f64::INFINITY, f64::min);
    let highest = drawn.iter().map(|(_, y)| *y).fold(bound, f64::max);
    let (left, right) = drawn.iter().fold((f64::INFINITY, 0f64), |(l, r), (x, _)| (l.min(*x), r.max(*x)));
    if drawn.is_empty() {
        return Ok(());
    }
    let area = SVGBackend::new(file, (760, 460)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(what, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(64)
        .build_cartesian_2d(
            (left * 0.8..right * 1.25).log_scale(),
            (lowest * 0.7..highest * 1.4).log_scale(),
        )?;
    chart
        .configure_mesh()
        .x_desc("gateways")
        .y_label_formatter(&|y| short(*y))
        .x_label_formatter(&|x| short(*x))
        .draw()?;
    for (percent, colour) in percents.iter().zip(COLOURS.iter().cycle()) {
        let points = points(*percent);
        let label = format!("{percent} in 100 of routes and tenants");
        chart
            .draw_series(LineSeries::new(points.clone(), colour.stroke_width(2)))?
            .label(label)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], colour.stroke_width(2)));
        chart.draw_series(points.into_iter().map(|at| Circle::new(at, 3, colour.filled())))?;
    }
    if bound > 0.0 {
        chart
            .draw_series(LineSeries::new([(left * 0.8, bound), (right * 1.25, bound)], BLACK))?
            .label("the letter's bound")
            .legend(|(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], BLACK));
    }
    chart.configure_series_labels().background_style(WHITE).border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}
