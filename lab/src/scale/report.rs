//! Reports of scale runs: text and plots.

use super::cost_measurement::format_short;
use super::run::{ChangeResult, ProcessMetrics, RunResult};
use plotters::prelude::*;
use serde_json::Value;
use std::path::Path;

fn format_list(values: &[f64]) -> String {
    values.iter().map(|value| format_short(*value)).collect::<Vec<_>>().join(", ")
}

/// Formats the result of a run as text.
pub fn text(run: &RunResult) -> String {
    let size = run.size;
    let mut text = format!(
        "{} gateways, {} backends, {} routes, {} tenants ({}%), {:.2} MB of configuration; {} gateways build the route table\n",
        size.gateways, size.backends, size.routes, size.tenants, run.percent, run.config_mb, run.estimate.full_gateways
    );
    let mut line = |line: String| text.push_str(&format!("  {line}\n"));
    let estimate_mb = run.estimate.memory_mb();
    line(format!("estimated memory: {estimate_mb:.0} MB"));
    if let Some(reason) = &run.failure {
        line(format!("NOT completed: {reason}"));
    }
    if run.start_s.is_finite() {
        line(format!(
            "started within {} s; state settled {} s later; load average {} on {} cores",
            format_short(run.start_s),
            format_short(run.settled_s),
            format_short(run.load[0]),
            run.load[1]
        ));
    }
    if run.rest_s > 0.0 {
        let rest = &run.rest;
        let per_gateway_and_s = |count: u64| format_short(count as f64 / size.gateways as f64 / run.rest_s);
        line(format!(
            "a gateway at rest: {} messages/s and {} bytes/s to the core, {} replies/s and {} bytes/s back; {} cores of \
             agent and proxy",
            per_gateway_and_s(rest.agent_messages.messages),
            per_gateway_and_s(rest.agent_messages.bytes),
            per_gateway_and_s(rest.heartbeat_replies.messages),
            per_gateway_and_s(rest.heartbeat_replies.bytes + rest.snapshots.bytes + rest.changes.bytes),
            format_short(rest.cpu_s() / size.gateways as f64 / run.rest_s),
        ));
    }
    if !run.changes.is_empty() && run.changing_s > 0.0 {
        let (agent, proxy) = (&run.changing.changes, &run.changing.proxy_updates);
        line(format!(
            "a change at a gateway: {} MB; CPU time: agent {} ms, proxy {} ms",
            format_short(run.change_bytes() / 1e6),
            format_short(1000.0 * agent.cpu_s / agent.messages.max(1) as f64),
            format_short(1000.0 * proxy.cpu_s / size.gateways as f64 / run.changes.len() as f64),
        ));
    }
    let complete = run.changes.iter().filter(|change| change.missing_count == 0).count();
    line(format!("{complete} of {} changes in effect at all gateways", run.changes.len()));
    if !run.changes.is_empty() {
        let median_and_max = |of: fn(&ChangeResult) -> f64| {
            let mut values: Vec<f64> = run.changes.iter().map(of).collect();
            values.sort_by(f64::total_cmp);
            (format_short(values[values.len() / 2]), format_short(values[values.len() - 1]))
        };
        let (median, max) = median_and_max(|change| change.acked_s.unwrap_or(f64::INFINITY));
        line(format!("acknowledged after: median {median} s, maximum {max} s"));
        let (median, max) = median_and_max(|change| change.agent_applied_s[2]);
        line(format!("applied by all agents after: median {median} s, maximum {max} s"));
        line(format!(
            "in effect at 50%, 95%, 100% of gateways after {} s (median change)",
            format_list(&run.median_in_effect_s())
        ));
        let calls: u32 = run.changes.iter().map(|change| change.calls).sum();
        line(format!("{calls} calls of the operator; the leader changed {} times", run.leader_changes));
    }
    line(format!("restart of a gateway: {} s (50%, 95%, 100% of restarts)", format_list(&run.restart_s)));
    line(format!("restart of all gateways of a zone: {} s", format_short(run.zone_restart_s)));
    line(format!(
        "heartbeats: {} succeeded, {} failed, mean response time {} ms",
        run.heartbeats_succeeded,
        run.heartbeats_failed,
        format_short(run.heartbeat_ms)
    ));
    let processes: [(&str, &ProcessMetrics); 4] = [
        ("leader", &run.leader),
        ("follower", &run.follower),
        ("real agent", &run.agent),
        ("real proxy", &run.proxy),
    ];
    for (name, usage) in processes {
        line(format!(
            "{name}: {} cores at rest, {} s of CPU time per change, {} MB peak memory, {} MB of disk, {} descriptors",
            format_short(usage.rest_cores),
            format_short(usage.change_cpu_s),
            format_short(usage.peak_mb),
            format_short(usage.disk_mb),
            usage.descriptors
        ));
    }
    text
}

/// Colours of the lines of a plot.
const COLOURS: [RGBColor; 4] =
    [RGBColor(31, 119, 180), RGBColor(214, 110, 20), RGBColor(44, 140, 60), RGBColor(150, 50, 160)];

/// The metrics of a run in the plots.
struct PlottedRun {
    /// Routes and tenants, in percent of the full size's.
    percent: f64,
    gateways: f64,
    /// One value per plot.
    values: [f64; 4],
}

/// Reads a line of `runs.jsonl`. None for a run that failed. A null value counts as infinite.
fn plotted_run(line: &Value) -> Option<PlottedRun> {
    let number = |value: &Value| value.as_f64().unwrap_or(f64::INFINITY);
    if !line["failed"].is_null() {
        return None;
    }
    let (gateways, changes) = (line["size"]["gateways"].as_f64()?, line["changes"].as_array()?);
    let mut in_effect_s: Vec<f64> = changes.iter().map(|change| number(&change["force_s"][2])).collect();
    in_effect_s.sort_by(f64::total_cmp);
    let stats = &line["changing"];
    let bytes = number(&stats["whole"]["bytes"]) + number(&stats["changes"]["bytes"]);
    let leader = &line["leader"];
    let values = [
        in_effect_s.get(in_effect_s.len() / 2).copied()?,
        bytes / 1e6 / gateways / changes.len() as f64,
        number(&leader["change_cpu_s"]),
        number(&leader["peak_mb"]),
    ];
    Some(PlottedRun { percent: line["percent"].as_f64()?, gateways, values })
}

/// Plots all runs of `runs.jsonl` in a directory: `force.svg`, `bytes.svg`, `leader-cores.svg`, `leader-memory.svg`.
pub fn plots(directory: &Path) -> Result<(), String> {
    let file = directory.join("runs.jsonl");
    let error = |e: &dyn std::fmt::Display| format!("{}: {e}", file.display());
    let text = std::fs::read_to_string(&file).map_err(|e| error(&e))?;
    let lines: Result<Vec<Value>, _> = text.lines().map(serde_json::from_str).collect();
    let runs: Vec<_> = lines.map_err(|e| error(&e))?.iter().filter_map(plotted_run).collect();
    let plots = [
        ("force", "s from Put until in effect at all gateways", 7.0),
        ("bytes", "MB per gateway and change", 0.0),
        ("leader-cores", "s of the leader's CPU time per change", 0.0),
        ("leader-memory", "MB of peak memory of the leader", 256.0),
    ];
    for (index, (name, caption, limit)) in plots.into_iter().enumerate() {
        let file = directory.join(format!("{name}.svg"));
        plot(&runs, &file, caption, index, limit).map_err(|e| format!("{}: {e}", file.display()))?;
    }
    Ok(())
}

/// Plots one value of the runs against the number of gateways, with a line per size of the table. Both axes are
/// logarithmic. A limit above zero is drawn as a line.
fn plot(
    runs: &[PlottedRun], file: &Path, caption: &str, index: usize, limit: f64,
) -> Result<(), Box<dyn std::error::Error>> {
    let points = |percent: f64| -> Vec<(f64, f64)> {
        let runs = runs.iter().filter(|run| run.percent == percent);
        let points = runs.map(|run| (run.gateways, run.values[index]));
        points.filter(|(_, y)| y.is_finite() && *y > 0.0).collect()
    };
    let mut percents: Vec<f64> = runs.iter().map(|run| run.percent).collect();
    percents.sort_by(f64::total_cmp);
    percents.dedup();
    let all_points: Vec<(f64, f64)> = percents.iter().flat_map(|percent| points(*percent)).collect();
    let lowest = all_points.iter().map(|(_, y)| *y).fold(f64::INFINITY, f64::min);
    let highest = all_points.iter().map(|(_, y)| *y).fold(limit, f64::max);
    let (left, right) =
        all_points.iter().fold((f64::INFINITY, 0f64), |(l, r), (x, _)| (l.min(*x), r.max(*x)));
    if all_points.is_empty() {
        return Ok(());
    }
    let area = SVGBackend::new(file, (760, 460)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(caption, ("sans-serif", 18))
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
        .y_label_formatter(&|y| format_short(*y))
        .x_label_formatter(&|x| format_short(*x))
        .draw()?;
    for (percent, colour) in percents.iter().zip(COLOURS.iter().cycle()) {
        let points = points(*percent);
        let label = format!("{percent}% of routes and tenants");
        chart
            .draw_series(LineSeries::new(points.clone(), colour.stroke_width(2)))?
            .label(label)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], colour.stroke_width(2)));
        chart.draw_series(points.into_iter().map(|point| Circle::new(point, 3, colour.filled())))?;
    }
    if limit > 0.0 {
        chart
            .draw_series(LineSeries::new([(left * 0.8, limit), (right * 1.25, limit)], BLACK))?
            .label("required limit")
            .legend(|(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], BLACK));
    }
    chart.configure_series_labels().background_style(WHITE).border_style(BLACK).draw()?;
    area.present()?;
    Ok(())
}
