//! Runs the steps of a plan: each takes effect at its time and is undone at its end.

use crate::model::registry::ServerState;
use crate::plan::{
    CounterAction, CounterFault, DiscoveryAction, DiscoveryFault, GatewayAction, GatewayFault, LinkFault,
    ServerAction, ServerFault,
};
use crate::testbed::RunContext;
use std::sync::Arc;

/// Whether a step begins or ends.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Phase {
    Begin,
    End,
}

/// Runs all steps concurrently. Returns once the last one has ended.
pub async fn run(context: &Arc<RunContext>) {
    let mut steps = tokio::task::JoinSet::new();
    for index in 0..context.plan.step.len() {
        let context = context.clone();
        steps.spawn(async move { run_step(&context, index).await });
    }
    while steps.join_next().await.is_some() {}
}

async fn run_step(context: &Arc<RunContext>, index: usize) {
    let step = context.plan.step[index].clone();
    let at = context.load_start() + step.at;
    let ends_at = step.duration_s.map(|duration_s| at + duration_s);
    if let Some(fault) = &step.gateways {
        run_gateway_step(context, index, fault, (at, ends_at)).await;
    } else if let Some(fault) = &step.servers {
        run_server_step(context, index, fault, (at, ends_at)).await;
    } else {
        context.sleep_until(at).await;
        let mut link_fault = None;
        if let Some(fault) = &step.link {
            link_fault = Some(inject_link_fault(context, index, fault));
        }
        apply_phase(context, index, &step, Phase::Begin);
        if let Some(ends_at) = ends_at {
            context.sleep_until(ends_at).await;
            apply_phase(context, index, &step, Phase::End);
            if let Some(link_fault) = link_fault {
                context.links.heal(&link_fault);
                context.update_filters(&link_fault);
            }
        }
    }
}

fn inject_link_fault(context: &RunContext, index: usize, fault: &LinkFault) -> crate::fault::FaultHandle {
    let handle = context.links.inject(&context.plan, index, fault, context.now());
    context.update_filters(&handle);
    handle
}

fn apply_phase(context: &RunContext, index: usize, step: &crate::plan::Step, phase: Phase) {
    if let Some(fault) = &step.counter {
        apply_to_counter(context, fault, phase);
    }
    if let Some(fault) = &step.discovery {
        apply_to_discovery(context, index, fault, phase);
    }
}

async fn run_gateway_step(
    context: &Arc<RunContext>, index: usize, fault: &GatewayFault, (at, ends_at): (f64, Option<f64>),
) {
    let mut tasks = tokio::task::JoinSet::new();
    for (position, gateway) in context.plan.gateways(fault.who, index).into_iter().enumerate() {
        let (context, action, offset) = (context.clone(), fault.action, fault.every * position as f64);
        tasks.spawn(async move {
            context.sleep_until(at + offset).await;
            let gateway = context.gateways[gateway].clone();
            let result = match action {
                GatewayAction::Kill => {
                    gateway.kill(&context).await;
                    match ends_at {
                        Some(ends_at) => {
                            context.sleep_until(ends_at + offset).await;
                            gateway.start(&context).await
                        }
                        None => Ok(()),
                    }
                }
                GatewayAction::Pause => {
                    gateway.set_paused(&context, true);
                    context.sleep_until(ends_at.unwrap_or(at) + offset).await;
                    gateway.set_paused(&context, false);
                    Ok(())
                }
                GatewayAction::Restart => gateway.restart(&context).await,
                GatewayAction::Upgrade => gateway.upgrade(&context).await,
                GatewayAction::Reload => gateway.reload(&context),
            };
            if let Err(e) = result {
                context.record_error(e);
            }
        });
    }
    while tasks.join_next().await.is_some() {}
}

async fn run_server_step(
    context: &Arc<RunContext>, index: usize, fault: &ServerFault, (at, ends_at): (f64, Option<f64>),
) {
    let mut tasks = tokio::task::JoinSet::new();
    for (position, server) in context.plan.servers(fault.who, index).into_iter().enumerate() {
        let (context, fault, offset) = (context.clone(), fault.clone(), fault.every * position as f64);
        tasks.spawn(async move {
            context.sleep_until(at + offset).await;
            apply_to_server(&context, server, &fault, Phase::Begin).await;
            if let Some(ends_at) = ends_at {
                context.sleep_until(ends_at + offset).await;
                apply_to_server(&context, server, &fault, Phase::End).await;
            }
        });
    }
    while tasks.join_next().await.is_some() {}
}

async fn apply_to_server(context: &Arc<RunContext>, index: usize, fault: &ServerFault, phase: Phase) {
    use crate::history::ServerAvailability;
    let (server, begins) = (context.servers[index].clone(), phase == Phase::Begin);
    let share = if begins { fault.by } else { 0.0 };
    match fault.action {
        ServerAction::Kill if begins => {
            server.kill(context);
            context.update_discovery(index, ServerState::Gone, false);
        }
        ServerAction::Kill => {
            server.start(context).await;
            context.update_discovery(index, ServerState::Ready, true);
        }
        ServerAction::Vanish if begins => {
            server.set_unreachable(context, true);
            context.set_server_availability(index, ServerAvailability::Unavailable);
            context.update_discovery(index, ServerState::Gone, false);
        }
        ServerAction::Vanish => {
            // The machine comes back with a new process.
            server.kill(context);
            server.set_unreachable(context, false);
            server.start(context).await;
            context.update_discovery(index, ServerState::Ready, true);
        }
        ServerAction::Drain if begins => {
            context.set_server_availability(index, ServerAvailability::Draining);
            context.update_discovery(index, ServerState::Draining, false);
        }
        ServerAction::Drain => {
            server.kill(context);
            context.update_discovery(index, ServerState::Gone, false);
        }
        ServerAction::Join => {
            if begins {
                server.start(context).await;
                context.update_discovery(index, ServerState::Ready, true);
            }
        }
        ServerAction::Slow => {
            server.update_faults(context, |faults| faults.slowdown = if begins { fault.by } else { 1.0 });
        }
        ServerAction::Errors => {
            let default_rate = context.plan.fleet.errors;
            server.update_faults(context, |faults| faults.error_rate = share.max(default_rate));
        }
        ServerAction::TurnAway => server.update_faults(context, |faults| faults.reject_rate = share),
        ServerAction::Reset => server.update_faults(context, |faults| faults.reset_rate = share),
        ServerAction::Spoil => server.update_faults(context, |faults| faults.corrupt_rate = share),
        ServerAction::Report => {
            server.update_faults(context, |faults| faults.reported_in_flight = begins.then_some(fault.by));
        }
    }
}

fn apply_to_counter(context: &RunContext, fault: &CounterFault, phase: Phase) {
    let begins = phase == Phase::Begin;
    match fault.action {
        CounterAction::Slow => {
            context.counter.model().extra_latency_s = if begins { fault.by / 1000.0 } else { 0.0 };
        }
        CounterAction::Out => context.counter.set_outage(context, begins),
        CounterAction::Flush => {
            if begins {
                context.counter.model().flush();
            }
        }
        CounterAction::TurnAway => context.counter.model().reject_rate = if begins { fault.by } else { 0.0 },
    }
}

fn apply_to_discovery(context: &RunContext, index: usize, fault: &DiscoveryFault, phase: Phase) {
    let begins = phase == Phase::Begin;
    for gateway in context.plan.gateways(fault.who, index) {
        let mut agent = context.discovery.agent(gateway);
        match fault.action {
            DiscoveryAction::Silent => agent.is_silent = begins,
            DiscoveryAction::Late => agent.delay_s = if begins { fault.by } else { 0.0 },
            DiscoveryAction::Stale => agent.stale_since = begins.then(|| context.now()),
        }
    }
    if fault.action == DiscoveryAction::Silent && begins {
        context.discovery.close_silent();
    }
    // Open streams check again which changes have reached their agent.
    context.registry_changed.send_modify(|count| *count += 1);
}
