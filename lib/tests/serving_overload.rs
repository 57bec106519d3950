//! Tests of queries over many shards at loads around and far above the capacity of the leafs, in
//! virtual time.

#![allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "counts and times of a simulation"
)]

mod overload_world;
mod serving_support;

use overload_world::World;
use overload_world::scenario::Scenario;

const SCENARIO: Scenario = Scenario {
    instances: 40,
    domains: 1,
    load: 1.0,
    admission: true,
    pauses: true,
    counted: (2, 5),
    ends: 100,
    seed: 1,
};

const LOADS: [f64; 4] = [1.05, 1.5, 3.0, 10.0];

/// Returns the share of urgent queries that are answered in time.
fn urgent(world: &World) -> f64 {
    let [urgent, _] = world.tallies;
    f64::from(urgent.in_time) / f64::from(urgent.offered)
}

fn run(load: f64) -> World {
    let scenario = Scenario { load, ..SCENARIO };
    World::new(scenario).run()
}

/// Guards against leafs that work for queries that get no answer, or for patient ones while urgent
/// ones are refused, when more is asked than they can do.
#[test]
fn leafs_work_for_answers_in_time_and_for_urgent_queries_first() {
    for load in LOADS {
        let world = run(load);
        let useful = world.useful();
        assert!(useful >= 0.85, "load {load}: {useful} {:?}", world.tallies);
        let urgent = urgent(&world);
        assert!(urgent >= 0.97, "load {load}: {urgent} {:?}", world.tallies);
    }
}

/// Guards against callers that learn too late that they are refused, and cannot try elsewhere.
#[test]
fn refusals_before_any_work_are_immediate() {
    for load in LOADS {
        let tallies = run(load).tallies;
        let late: u32 = tallies.iter().map(|tally| tally.refused_late).sum();
        assert_eq!(late, 0, "load {load}: {tallies:?}");
    }
}

/// Guards against refusals that go on after the cause has ended.
#[test]
fn queries_are_served_a_second_after_the_load_ends() {
    let scenario = Scenario {
        load: 10.0,
        ends: 2,
        counted: (3, 6),
        ..SCENARIO
    };
    let tallies = World::new(scenario).run().tallies;
    for tally in tallies {
        let share = f64::from(tally.in_time) / f64::from(tally.offered);
        assert!(share >= 0.97, "{tallies:?}");
    }
}

/// Guards against refused queries on little load, also while leafs pause.
#[test]
fn no_query_is_refused_on_little_load() {
    for load in [0.3, 0.5] {
        let tallies = run(load).tallies;
        let refused: u32 = tallies.iter().map(|tally| tally.refused).sum();
        assert_eq!(refused, 0, "load {load}: {tallies:?}");
    }
}

/// Prints the figures of the design note. The environment may name loads and a number of instances.
#[test]
#[ignore = "prints figures"]
fn figures() {
    let number = |name: &str, or: usize| {
        std::env::var(name).map_or(or, |value| value.parse().expect("a number"))
    };
    let loads = std::env::var("LOADS").unwrap_or_else(|_| "0.3,0.5,0.9,1.05,1.5,3,10".into());
    let only = std::env::var("ADMISSION").ok();
    for admission in [false, true] {
        if only
            .as_ref()
            .is_some_and(|only| *only != admission.to_string())
        {
            continue;
        }
        for pauses in [false, true] {
            for load in loads.split(',') {
                let scenario = Scenario {
                    instances: number("INSTANCES", SCENARIO.instances),
                    domains: number("DOMAINS", SCENARIO.domains),
                    load: load.parse().expect("a load"),
                    admission,
                    pauses,
                    counted: (2, 8),
                    seed: number("SEED", 1) as u64,
                    ..SCENARIO
                };
                let world = World::new(scenario).run();
                println!(
                    "admission {admission} pauses {pauses} load {load:>5} useful {:.3} urgent {:.3}",
                    world.useful(),
                    urgent(&world)
                );
                for tally in world.tallies {
                    println!("    {tally:?}");
                }
            }
        }
    }
}
