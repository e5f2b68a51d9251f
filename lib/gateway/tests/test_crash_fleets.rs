//! Simulated fleets before upstreams that a prompt part or a request crashes.

mod crash_simulation;

use std::time::Duration;

use snipegate_gateway::RequestFeature;

use crate::crash_simulation::COMPANION_PART;
use crate::crash_simulation::CrashSimulation;
use crate::crash_simulation::SimulatedCause;
use crate::crash_simulation::SimulationConfig;

/// Crashing requests that may be sent once the fleet should know what they have in common.
const TOLERATED_SENDS: usize = 3;

fn fleet(vms: usize, seed: u64) -> SimulationConfig {
    let (upstreams, sound_rate, crashing_rate, contact_time) = match vms {
        0..20 => (9, 60.0, 1.1, Duration::from_secs(3)),
        20..100 => (60, 400.0, 7.5, Duration::from_secs(4)),
        _ => (117, 700.0, 14.0, Duration::from_secs(5)),
    };
    SimulationConfig {
        vms,
        upstreams,
        sound_rate,
        crashing_rate,
        cause: SimulatedCause::Part,
        companion_rate: 0.5,
        resend_share: 0.0,
        other_crash_rate: 0.0,
        disturbance_rate: 0.0,
        loss: 0.02,
        contact_time,
        seed,
    }
}

/// Checks that the bound of the fleet holds, and that every quarantined set is the crashing
/// request, or the crashing part, also with its companion.
fn check_fleet(simulation: &CrashSimulation, config: &SimulationConfig) {
    let late = simulation.late_sends();
    assert!(late <= TOLERATED_SENDS, "{late} late sends: {config:?}");
    for record in simulation.records() {
        let features = record.features.features();
        let cause = config.cause.feature();
        assert!(features.contains(&cause), "{record:?}: {config:?}");
        let companion = RequestFeature::Part(COMPANION_PART);
        let is_known = |feature: &RequestFeature| *feature == cause || *feature == companion;
        assert!(features.iter().all(is_known), "{record:?}: {config:?}");
    }
}

fn check_fleets_of_all_sizes(change: fn(SimulationConfig) -> SimulationConfig) {
    for (vms, seed) in [(6, 1), (6, 2), (9, 3), (66, 4), (195, 5)] {
        let config = change(fleet(vms, seed));
        let mut simulation = CrashSimulation::new(config);
        simulation.run(Duration::from_secs(12));
        check_fleet(&simulation, &config);
        assert!(!simulation.records().is_empty(), "{config:?}");
        assert_eq!(simulation.refused_sound, 0, "{config:?}");
        assert!(simulation.companion_sends > 0, "{config:?}");
    }
}

/// Has one request crash upstreams, and half of what a crash breaks off sent again.
fn with_crashing_request(config: SimulationConfig) -> SimulationConfig {
    SimulationConfig {
        cause: SimulatedCause::Request,
        resend_share: 0.5,
        ..config
    }
}

#[test]
fn fleets_of_all_sizes_stop_sending_a_crashing_part_and_refuse_nothing_sound() {
    check_fleets_of_all_sizes(|config| config);
}

#[test]
fn fleets_of_all_sizes_stop_sending_a_crashing_request_and_refuse_nothing_sound() {
    check_fleets_of_all_sizes(with_crashing_request);
}

fn check_disturbed_fleets(change: fn(SimulationConfig) -> SimulationConfig) {
    for seed in 0..16 {
        let config = change(SimulationConfig {
            other_crash_rate: 0.3,
            disturbance_rate: 0.8,
            loss: 0.2,
            ..fleet(if seed < 15 { 6 } else { 66 }, seed)
        });
        let mut simulation = CrashSimulation::new(config);
        simulation.run(Duration::from_secs(12));
        check_fleet(&simulation, &config);
    }
}

#[test]
fn bound_of_the_fleet_holds_with_cuts_restarts_and_other_crashes() {
    check_disturbed_fleets(|config| config);
}

#[test]
fn bound_of_the_fleet_for_a_request_holds_with_cuts_restarts_and_other_crashes() {
    check_disturbed_fleets(with_crashing_request);
}

#[test]
fn vms_that_are_all_restarted_at_once_know_the_crashing_part_from_the_store() {
    for seed in 0..10 {
        let config = fleet(6, seed);
        let mut simulation = CrashSimulation::new(config);
        simulation.run(Duration::from_secs(10));
        simulation.restart_all();
        let before = simulation.crashing_sends.len();
        simulation.run(Duration::from_secs(6));
        check_fleet(&simulation, &config);
        if simulation.crashes.len() >= 3 {
            assert_eq!(simulation.crashing_sends.len(), before, "{config:?}");
        }
    }
}

#[test]
fn crashes_that_no_part_explains_put_blame_on_none() {
    for seed in 0..11 {
        let config = SimulationConfig {
            crashing_rate: 0.0,
            other_crash_rate: 1.5,
            disturbance_rate: 0.5,
            loss: 0.1,
            ..fleet(if seed < 10 { 9 } else { 66 }, seed)
        };
        let mut simulation = CrashSimulation::new(config);
        simulation.run(Duration::from_secs(20));
        assert_eq!(simulation.records(), [], "{config:?}");
        let refused = simulation.refused_sound;
        assert_eq!(refused, 0, "{config:?}");
    }
}
