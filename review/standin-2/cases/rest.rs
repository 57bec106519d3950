//! A full leaf asks for no requests for some seconds. Its entry lapses in that time and is back. Does it
//! get requests before the end of the time?

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

const REST_S: u64 = 10;
const FULL: Duration = Duration::from_millis(3_000);
/// Its check-ins stop with that, so its entry lapses after three check-in intervals of 1.2 s.
const LAPSES: Duration = Duration::from_millis(6_600);
const BACK: Duration = Duration::from_millis(7_800);
const END: Duration = Duration::from_millis(14_000);
/// The rule's bounds.
const SLACK: Duration = Duration::from_millis(500);
const MOST: usize = 2;

pub fn run(setting: &Setting) -> io::Result<bool> {
    let record = &setting.record;
    let store = Store::start()?;
    let routes = [route("gift", "safe", "gift-ledger", 2_000, 600)];
    store.put("op/config", &configuration(3, &routes, &["gift-ledger"]));
    let leaf = setting.leaf(&store, "i-gift-1", "gift-ledger", "zone-a", "v1")?;
    let other = setting.leaf(&store, "i-gift-2", "gift-ledger", "zone-a", "v1")?;
    leaf.set(Behaviour::Answer(Duration::from_millis(160)));
    other.set(Behaviour::Answer(Duration::from_millis(160)));
    let instance = setting.instance("front-a-1", "zone-a", &store)?;
    let platform = {
        let (record, store, leaf, trouble) =
            (record.clone(), store.clone(), leaf.clone(), setting.trouble);
        std::thread::spawn(move || {
            wait(&record, FULL);
            leaf.set(Behaviour::Rest(REST_S));
            record.write("leaf i-gift-1 is full from now on");
            if trouble {
                wait(&record, LAPSES);
                store.remove(&leaf.key());
                record.write("the entry of leaf i-gift-1 lapses");
                wait(&record, BACK);
                store.put(&leaf.key(), &leaf.entry("ready", 5));
                record.write("leaf i-gift-1 checks in again, with sequence 5");
            }
        })
    };
    let sent = traffic(record, instance.front, 22.5, END, |number| {
        get(&format!("/gift/{number}"), format!("gift-{number}"))
    });
    platform
        .join()
        .map_err(|_| io::Error::other("the platform has failed"))?;
    let Some(asked_at) = leaf.refusals().first().copied() else {
        return Err(io::Error::other("the full leaf got no request"));
    };
    let within =
        |at: Duration| at > asked_at + SLACK && at < asked_at + Duration::from_secs(REST_S);
    let early: Vec<String> = leaf
        .arrivals()
        .iter()
        .filter(|arrival| within(arrival.at))
        .map(|arrival| format!("{} at {:.3}", arrival.id, arrival.at.as_secs_f64()))
        .collect();
    record.say(&format!(
        "{} requests; the leaf first asked for {REST_S} s without requests at {:.3}; half a second later and before the end of that time it got {}: {}",
        sent.len(),
        asked_at.as_secs_f64(),
        early.len(),
        early.join(", ")
    ));
    Ok(early.len() <= MOST)
}
