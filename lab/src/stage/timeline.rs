//! Plays the steps of a plan: each takes effect at its time and is undone at its end.

use crate::model::registry::ServerState;
use crate::plan::{
    CounterAction, CounterFault, DiscoveryAction, DiscoveryFault, GatewayAction, GatewayFault, LinkFault,
    ServerAction, ServerFault,
};
use crate::stage::RunContext;
use std::sync::Arc;

/// Whether a step begins or ends.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Phase {
    Begin,
    End,
}

/// Plays all steps concurrently. Returns once the last one has ended.
pub async fn run(context: &Arc<RunContext>) {
    let mut steps = tokio::task::JoinSet::new();
    for index in 0..context.plan.step.len() {
        let context = context.clone();
        steps.spawn(async move { play_step(&context, index).await });
    }
    while steps.join_next().await.is_some() {}
}

async fn play_step(context: &Arc<RunContext>, index: usize) {
    let step = context.plan.step[index].clone();
    let at = context.load_start() + step.at;
    let ends = step.duration_s.map(|lasts| at + lasts);
    if let Some(on) = &step.gateways {
        play_gateway_step(context, index, on, (at, ends)).await;
    } else if let Some(on) = &step.servers {
        play_server_step(context, index, on, (at, ends)).await;
    } else {
        context.sleep_until(at).await;
        let mut fault = None;
        if let Some(on) = &step.link {
            fault = Some(inject_link_fault(context, index, on));
        }
        apply_phase(context, index, &step, Phase::Begin);
        if let Some(ends) = ends {
            context.sleep_until(ends).await;
            apply_phase(context, index, &step, Phase::End);
            if let Some(fault) = fault {
                context.links.heal(&fault);
                context.update_filters(&fault);
            }
        }
    }
}

fn inject_link_fault(context: &RunContext, index: usize, on: &LinkFault) -> crate::fault::FaultHandle {
    let fault = context.links.inject(&context.plan, index, on, context.now());
    context.update_filters(&fault);
    fault
}

fn apply_phase(context: &RunContext, index: usize, step: &crate::plan::Step, phase: Phase) {
    if let Some(on) = &step.counter {
        apply_to_counter(context, on, phase);
    }
    if let Some(on) = &step.discovery {
        apply_to_discovery(context, index, on, phase);
    }
}

async fn play_gateway_step(
    context: &Arc<RunContext>, index: usize, on: &GatewayFault, (at, ends): (f64, Option<f64>),
) {
    let mut tasks = tokio::task::JoinSet::new();
    for (position, gateway) in context.plan.gateways(on.who, index).into_iter().enumerate() {
        let (context, act, offset) = (context.clone(), on.action, on.every * position as f64);
        tasks.spawn(async move {
            context.sleep_until(at + offset).await;
            let gateway = context.gateways[gateway].clone();
            let result = match act {
                GatewayAction::Kill => {
                    gateway.kill(&context).await;
                    match ends {
                        Some(ends) => {
                            context.sleep_until(ends + offset).await;
                            gateway.start(&context).await
                        }
                        None => Ok(()),
                    }
                }
                GatewayAction::Pause => {
                    gateway.set_paused(&context, true);
                    context.sleep_until(ends.unwrap_or(at) + offset).await;
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

async fn play_server_step(
    context: &Arc<RunContext>, index: usize, on: &ServerFault, (at, ends): (f64, Option<f64>),
) {
    let mut tasks = tokio::task::JoinSet::new();
    for (position, server) in context.plan.servers(on.who, index).into_iter().enumerate() {
        let (context, on, offset) = (context.clone(), on.clone(), on.every * position as f64);
        tasks.spawn(async move {
            context.sleep_until(at + offset).await;
            apply_to_server(&context, server, &on, Phase::Begin).await;
            if let Some(ends) = ends {
                context.sleep_until(ends + offset).await;
                apply_to_server(&context, server, &on, Phase::End).await;
            }
        });
    }
    while tasks.join_next().await.is_some() {}
}

async fn apply_to_server(context: &Arc<RunContext>, index: usize, on: &ServerFault, phase: Phase) {
    use crate::ledger::ServerAvailability;
    let (server, begins) = (context.servers[index].clone(), phase == Phase::Begin);
    let share = if begins { on.by } else { 0.0 };
    match on.action {
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
            context.set_server_standing(index, ServerAvailability::Unavailable);
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
            context.set_server_standing(index, ServerAvailability::Draining);
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
            server.update_faults(context, |faults| faults.slowdown = if begins { on.by } else { 1.0 });
        }
        ServerAction::Errors => {
            let default_rate = context.plan.fleet.errors;
            server.update_faults(context, |faults| faults.error_rate = share.max(default_rate));
        }
        ServerAction::TurnAway => server.update_faults(context, |faults| faults.reject_rate = share),
        ServerAction::Reset => server.update_faults(context, |faults| faults.reset_rate = share),
        ServerAction::Spoil => server.update_faults(context, |faults| faults.corrupt_rate = share),
        ServerAction::Report => {
            server.update_faults(context, |faults| faults.reported_in_flight = begins.then_some(on.by));
        }
    }
}

fn apply_to_counter(context: &RunContext, on: &CounterFault, phase: Phase) {
    let begins = phase == Phase::Begin;
    match on.action {
        CounterAction::Slow => {
            context.counter.model().extra_latency_s = if begins { on.by / 1000.0 } else { 0.0 };
        }
        CounterAction::Out => context.counter.set_outage(context, begins),
        CounterAction::Flush => {
            if begins {
                context.counter.model().flush();
            }
        }
        CounterAction::TurnAway => context.counter.model().reject_rate = if begins { on.by } else { 0.0 },
    }
}

fn apply_to_discovery(context: &RunContext, index: usize, on: &DiscoveryFault, phase: Phase) {
    let begins = phase == Phase::Begin;
    for gateway in context.plan.gateways(on.who, index) {
        let mut agent = context.discovery.agent(gateway);
        match on.action {
            DiscoveryAction::Silent => agent.is_silent = begins,
            DiscoveryAction::Late => agent.delay_s = if begins { on.by } else { 0.0 },
            DiscoveryAction::Stale => agent.stale_since = begins.then(|| context.now()),
        }
    }
    if on.action == DiscoveryAction::Silent && begins {
        context.discovery.close_silent();
    }
    // Open streams check again which changes have reached their agent.
    context.registry_changed.send_modify(|count| *count += 1);
}
