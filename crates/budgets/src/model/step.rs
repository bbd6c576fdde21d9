//! The steps of the model: the steps that are possible in a state, and their effects.

use super::state::{process_id, process_ids, ModelState, Packet, BUDGET, DEMAND};
use super::{ModelFleet, PROCESSES};
use crate::message::{Envelope, Message};
use crate::participant::Participant;
use crate::{Incarnation, LeaseSettings, SafetyRule};

/// The difference between the incarnation numbers of consecutive runs of one process.
const INCARNATION_STEP: u64 = 10;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum Step {
    /// Time advances by one tick for all processes.
    Tick,
    /// The clock of one process advances by one tick relative to the others.
    SkewClock { process: u8 },
    /// A process crashes and restarts without state.
    Crash { process: u8 },
    /// A candidate sends its vote requests.
    Campaign { process: u8 },
    /// A candidate receives the response of one voter at once.
    CampaignInstantly { process: u8, voter: u8 },
    /// A holder sends a lease request.
    RequestLease { process: u8, to: u8 },
    /// Membership at one process declares another process lost.
    DeclareLost { at: u8, process: u8 },
    /// A message is delivered; a duplicated one remains in transit.
    Deliver { packet: Packet, is_duplicated: bool },
}

/// Adds the steps that are possible in a state.
pub(super) fn add_possible_steps(fleet: &ModelFleet, state: &ModelState, steps: &mut Vec<Step>) {
    steps.push(Step::Tick);
    for process in 0..PROCESSES {
        add_steps_of_process(fleet, state, process, steps);
    }
    let drops_lost_holders = !fleet.settings.rules.enforces(SafetyRule::LostHolderCounts);
    if drops_lost_holders && !state.has_lost_process {
        steps.extend(
            [(0, 1), (0, 2), (1, 2)].map(|(at, process)| Step::DeclareLost { at, process }),
        );
    }
    for packet in &state.packets {
        let packet = *packet;
        steps.push(Step::Deliver {
            packet,
            is_duplicated: false,
        });
        let may_be_duplicated = matches!(
            packet.message,
            Message::LeaseRequest { .. } | Message::LeaseResponse { .. }
        );
        if state.duplicates < fleet.bounds.duplicates && may_be_duplicated {
            steps.push(Step::Deliver {
                packet,
                is_duplicated: true,
            });
        }
    }
}

/// Adds the steps that one process can take. The first two processes campaign, the last two request
/// leases.
fn add_steps_of_process(
    fleet: &ModelFleet,
    state: &ModelState,
    process: u8,
    steps: &mut Vec<Step>,
) {
    let bounds = &fleet.bounds;
    let index = usize::from(process);
    let counts = &state.processes[index];
    if process < 2 && counts.campaigns < bounds.campaigns[index] {
        if bounds.has_instant_votes {
            let voters = (0..PROCESSES).filter(|voter| *voter != process);
            steps.extend(voters.map(|voter| Step::CampaignInstantly { process, voter }));
        } else {
            steps.push(Step::Campaign { process });
        }
    }
    if process > 0 && counts.requests < bounds.requests[index - 1] {
        let candidates = if bounds.campaigns[1] > 0 { 2 } else { 1 };
        steps.extend((0..candidates).map(|to| Step::RequestLease { process, to }));
    }
    if state.crashes < bounds.crashes {
        steps.push(Step::Crash { process });
    }
    if state.clock_skews < bounds.clock_skews {
        steps.push(Step::SkewClock { process });
    }
}

impl Step {
    /// Applies the step; returns `None` if the step is not possible.
    pub fn apply(self, state: &mut ModelState, settings: &LeaseSettings) -> Option<()> {
        match self {
            Step::Tick => state.now += 1,
            Step::SkewClock { process } => {
                state.clock_skews += 1;
                state.processes[usize::from(process)].clock_lead += 1;
            }
            Step::Crash { process } => crash(state, process, settings),
            Step::Campaign { process } => campaign(state, process, settings)?,
            Step::CampaignInstantly { process, voter } => {
                campaign_instantly(state, process, voter, settings)?;
            }
            Step::RequestLease { process, to } => request_lease(state, process, to, settings),
            Step::DeclareLost { at, process } => {
                state.has_lost_process = true;
                let incarnation = state.participant(process).incarnation;
                state.participant(at).mark_lost(incarnation, settings);
            }
            Step::Deliver {
                packet,
                is_duplicated,
            } => deliver(state, packet, is_duplicated, settings),
        }
        Some(())
    }
}

fn crash(state: &mut ModelState, process: u8, settings: &LeaseSettings) {
    state.crashes += 1;
    let now = state.clock(process);
    let incarnation = Incarnation(state.participant(process).incarnation.0 + INCARNATION_STEP);
    *state.participant(process) = Participant::new(
        now,
        process_id(process),
        incarnation,
        &process_ids(),
        settings,
    );
}

fn begin_campaign(
    state: &mut ModelState,
    process: u8,
    settings: &LeaseSettings,
) -> Option<Message> {
    let now = state.clock(process);
    state.processes[usize::from(process)].campaigns += 1;
    state.participant(process).campaign(now, 0, settings)
}

fn campaign(state: &mut ModelState, process: u8, settings: &LeaseSettings) -> Option<()> {
    let message = begin_campaign(state, process, settings)?;
    let others = process_ids()
        .into_iter()
        .filter(|id| *id != process_id(process));
    let out = others.map(|to| Envelope { to, message }).collect();
    state.send(process, out);
    Some(())
}

fn campaign_instantly(
    state: &mut ModelState,
    process: u8,
    voter: u8,
    settings: &LeaseSettings,
) -> Option<()> {
    let request = begin_campaign(state, process, settings)?;
    let response = state.exchange(process, voter, request, settings);
    assert!(response.is_some(), "a voter answers");
    Some(())
}

fn request_lease(state: &mut ModelState, process: u8, to: u8, settings: &LeaseSettings) {
    let now = state.clock(process);
    state.processes[usize::from(process)].requests += 1;
    let message = state
        .participant(process)
        .request_lease(now, BUDGET, &DEMAND, settings);
    let to = process_id(to);
    state.send(process, vec![Envelope { to, message }]);
}

fn deliver(state: &mut ModelState, packet: Packet, is_duplicated: bool, settings: &LeaseSettings) {
    let Packet { from, to, message } = packet;
    let now = state.clock(to);
    let mut out = Vec::new();
    state
        .participant(to)
        .receive(now, process_id(from), message, settings, &mut out);
    if is_duplicated {
        state.duplicates += 1;
    } else {
        state.packets.remove(&packet);
    }
    state.send(to, out);
}
