//! The store carries out a check-in of a leaf some seconds late, after the leaf has left. Is the leaf
//! used again?

use std::io;
use std::time::Duration;

use super::Setting;
use super::configuration;
use super::get;
use super::route;
use super::traffic;
use super::wait;
use crate::leaf::Behaviour;
use crate::store::Store;

const DRAIN: Duration = Duration::from_millis(3_000);
/// When the leaf makes its last check-in, to which the store gives no answer.
const LAST_CHECK_IN: Duration = Duration::from_millis(3_000);
/// When it begins to leave, and says so in its answers.
const LEAVES: Duration = Duration::from_millis(3_100);
/// When its entry is removed. It goes on serving for some seconds.
const REMOVED: Duration = Duration::from_millis(3_600);
/// When the store carries out the check-in: 5.5 s late.
const CARRIED_OUT: Duration = Duration::from_millis(8_500);
/// When the entry lapses again, after three check-in intervals of 1.2 s.
const LAPSES: Duration = Duration::from_millis(12_100);
const END: Duration = Duration::from_millis(12_500);
const INSTANCES: usize = 3;

pub fn run(setting: &Setting) -> io::Result<bool> {
    let record = &setting.record;
    let store = Store::start()?;
    let routes = [route("gift", "safe", "gift-ledger", 2_000, 600)];
    store.put("op/config", &configuration(3, &routes, &["gift-ledger"]));
    let leaf = setting.leaf(&store, "i-gift-1", "gift-ledger", "zone-a", "v1")?;
    let other = setting.leaf(&store, "i-gift-2", "gift-ledger", "zone-a", "v1")?;
    // Leafs of one service differ in speed. The faster one gets most of the requests.
    other.set(Behaviour::Answer(Duration::from_millis(60)));
    let mut instances = Vec::new();
    for number in 1..=INSTANCES {
        instances.push(setting.instance(&format!("front-a-{number}"), "zone-a", &store)?);
    }
    let platform = {
        let (record, store, leaf, trouble) =
            (record.clone(), store.clone(), leaf.clone(), setting.trouble);
        std::thread::spawn(move || {
            wait(&record, LAST_CHECK_IN);
            if trouble {
                record.write("leaf i-gift-1 checks in with sequence 2; the store does not answer");
            }
            wait(&record, LEAVES);
            leaf.leave();
            record.write("leaf i-gift-1 is leaving, and says so in its answers");
            wait(&record, REMOVED);
            store.remove(&leaf.key());
            record.write("the entry of leaf i-gift-1 is removed");
            if trouble {
                wait(&record, CARRIED_OUT);
                store.put(&leaf.key(), &leaf.entry("ready", 2));
                record.write("the store carries out the check-in with sequence 2");
                wait(&record, LAPSES);
                store.remove(&leaf.key());
                record.write("the entry of leaf i-gift-1 lapses");
            }
        })
    };
    let clients: Vec<_> = instances
        .iter()
        .map(|instance| {
            let (record, front, name) = (record.clone(), instance.front, instance.name.clone());
            std::thread::spawn(move || {
                traffic(&record, front, 20.0, END, |number| {
                    get(&format!("/gift/{number}"), format!("{name}-{number}"))
                })
            })
        })
        .collect();
    let mut late = Vec::new();
    let mut told = 0;
    for client in clients {
        let sent = client
            .join()
            .map_err(|_| io::Error::other("a client has failed"))?;
        let Some(told_at) = sent
            .iter()
            .filter(|sent| sent.leaving)
            .map(|sent| sent.at + sent.took)
            .min()
        else {
            // The rule says nothing about a machine that has passed on no such answer.
            continue;
        };
        told += 1;
        let due = told_at + DRAIN;
        for arrival in leaf.arrivals() {
            let Some(sent) = sent
                .iter()
                .find(|sent| sent.id == arrival.id && sent.at > due)
            else {
                continue;
            };
            late.push(format!(
                "{}, sent {:.3} s after its machine had passed on that the leaf is leaving",
                sent.id,
                (sent.at - told_at).as_secs_f64()
            ));
        }
    }
    platform
        .join()
        .map_err(|_| io::Error::other("the platform has failed"))?;
    if told == 0 {
        return Err(io::Error::other(
            "no instance has passed on an answer with Server-Leaving",
        ));
    }
    record.say(&format!(
        "{told} machines have passed on that the leaf is leaving; requests that reached it from them later than drain_ms after that: {}",
        late.len()
    ));
    late.iter().for_each(|line| record.say(line));
    Ok(late.is_empty())
}
