//! A request takes the power from the machine of each leaf that begins to run it, and comes again. How
//! often does it reach leafs once it has ended three?

use std::io;
use std::time::Duration;

use super::Setting;
use super::configuration;
use super::get;
use super::route;
use super::traffic;
use super::wait;
use crate::leaf::Behaviour;
use crate::leaf::Leaf;
use crate::store::Store;

/// `contact_ms` of the sheet.
const CONTACT: Duration = Duration::from_millis(4_000);
/// How many further attempts may reach leafs.
const MOST: usize = 3;
const LEAFS: usize = 9;
const INSTANCES: usize = 3;
const WORK: Duration = Duration::from_millis(160);
/// When the entry of a leaf that has ended lapses: after three check-in intervals of 1.2 s.
const LAPSE: Duration = Duration::from_millis(3_600);
/// How long a leaf is down.
const DOWN: Duration = Duration::from_millis(4_500);
const END: Duration = Duration::from_secs(40);

pub fn run(setting: &Setting) -> io::Result<bool> {
    let record = &setting.record;
    let store = Store::start()?;
    let routes = [
        route("gift", "safe", "gift-ledger", 6_000, 600),
        route("thanks", "safe", "thanks-post", 6_000, 600),
    ];
    store.put(
        "op/config",
        &configuration(3, &routes, &["gift-ledger", "thanks-post"]),
    );
    for number in 1..=4 {
        let leaf = setting.leaf(
            &store,
            &format!("i-thanks-{number}"),
            "thanks-post",
            "zone-a",
            "v1",
        )?;
        leaf.set(Behaviour::Answer(WORK));
    }
    let mut places = Vec::new();
    for place in 1..=LEAFS {
        let leaf = setting.leaf(
            &store,
            &format!("i-gift-{place}-1"),
            "gift-ledger",
            "zone-a",
            "v1",
        )?;
        leaf.set(Behaviour::LosesPower(WORK));
        let (setting, store) = (setting.share(), store.clone());
        places.push(std::thread::spawn(move || {
            keep_up(&setting, &store, leaf, place)
        }));
    }
    let mut instances = Vec::new();
    for number in 1..=INSTANCES {
        instances.push(setting.instance(&format!("front-a-{number}"), "zone-a", &store)?);
    }
    std::thread::sleep(Duration::from_secs(1));
    let mut clients = Vec::new();
    for (index, instance) in instances.iter().enumerate() {
        let (record, front) = (record.clone(), instance.front);
        clients.push(std::thread::spawn(move || {
            traffic(&record, front, 3.0, END, |number| {
                get(
                    &format!("/gift/{index}/{number}"),
                    format!("other-{index}-{number}"),
                )
            })
        }));
    }
    // The harmful request comes each two seconds, to one instance after the other.
    let path = if setting.trouble {
        "/gift/harmful"
    } else {
        "/gift/harmless"
    };
    let mut number = 0;
    while record.elapsed() < END {
        let front = instances[number % INSTANCES].front;
        let id = format!("again-{number}");
        number += 1;
        let record = record.clone();
        clients.push(std::thread::spawn(move || {
            let call = get(path, id);
            vec![super::send(&record, front, call)]
        }));
        std::thread::sleep(Duration::from_secs(2));
    }
    let mut sent = Vec::new();
    for client in clients {
        sent.extend(
            client
                .join()
                .map_err(|_| io::Error::other("a client has failed"))?,
        );
    }
    wait(record, END);
    let mut leafs = Vec::new();
    for place in places {
        leafs.extend(
            place
                .join()
                .map_err(|_| io::Error::other("a leaf has failed"))??,
        );
    }
    let mut ends: Vec<Duration> = leafs.iter().filter_map(Leaf::power_lost_at).collect();
    ends.sort();
    let others = sent.iter().filter(|sent| sent.id.starts_with("other"));
    let failed = others.clone().filter(|sent| sent.status != 200).count();
    let Some(third) = ends.get(2).copied() else {
        record.say(&format!(
            "{} leafs have ended; {failed} of {} other requests were not served",
            ends.len(),
            others.count()
        ));
        return Ok(true);
    };
    let due = third + CONTACT;
    let again: Vec<&str> = sent
        .iter()
        .filter(|sent| sent.id.starts_with("again"))
        .filter(|sent| {
            let mut arrivals = leafs.iter().flat_map(Leaf::arrivals);
            arrivals.any(|arrival| arrival.id == sent.id && arrival.at > due)
        })
        .map(|sent| &*sent.id)
        .collect();
    record.say(&format!(
        "{} leafs have ended, the third at {:.3}; attempts that reached leafs later than contact_ms after that: {} ({}); {failed} of {} other requests were not served",
        ends.len(),
        third.as_secs_f64(),
        again.len(),
        again.join(", "),
        others.count()
    ));
    Ok(again.len() <= MOST)
}

/// Removes the entry of a leaf that has ended, and starts the next one in its place. Returns all leafs of
/// the place.
fn keep_up(setting: &Setting, store: &Store, first: Leaf, place: usize) -> io::Result<Vec<Leaf>> {
    let record = &setting.record;
    let mut leafs = vec![first];
    loop {
        let Some(leaf) = leafs.last().cloned() else {
            return Ok(leafs);
        };
        let Some(ended) = leaf.power_lost_at() else {
            if record.elapsed() > END {
                return Ok(leafs);
            }
            std::thread::sleep(Duration::from_millis(20));
            continue;
        };
        wait(record, ended + LAPSE);
        store.remove(&leaf.key());
        record.write(&format!("the entry of leaf {} has lapsed", leaf.id));
        wait(record, ended + DOWN);
        let id = format!("i-gift-{place}-{}", leafs.len() + 1);
        let next = setting.leaf(store, &id, "gift-ledger", "zone-a", "v1")?;
        next.set(Behaviour::LosesPower(WORK));
        leafs.push(next);
    }
}
