//! Faulty leafs answer with bytes that have no end. Are requests still answered at their route's
//! timeout?

use std::io;
use std::time::Duration;

use super::Sent;
use super::Setting;
use super::configuration;
use super::route;
use super::traffic;
use crate::client::Call;
use crate::leaf::Behaviour;
use crate::store::Store;

/// As on the sheet of the deployment: the time limit of `gift-check`, its requests per second, and the
/// leafs of its service.
const TIMEOUT: Duration = Duration::from_millis(6_000);
const REQUESTS_PER_S: f64 = 22.5;
const LEAFS: usize = 9;
const WORK: Duration = Duration::from_millis(160);
/// A third of the leafs.
const FAULTY: usize = 3;
/// The link of a machine, 1,000 Mbit/s. All faulty leafs together send no more.
const LINK_BYTES_PER_S: u64 = 125_000_000;
/// The rule's bound: half a second after the route's timeout.
const LATE: Duration = Duration::from_millis(6_500);
/// How long clients wait for an answer, so that it shows when it comes.
const WATCH: Duration = Duration::from_secs(20);
const END: Duration = Duration::from_secs(18);

pub fn run(setting: &Setting) -> io::Result<bool> {
    let record = &setting.record;
    let store = Store::start()?;
    let routes = [
        route("gift", "unsafe", "gift-ledger", 6_000, 600),
        route("thanks", "unsafe", "thanks-post", 6_000, 600),
    ];
    store.put(
        "op/config",
        &configuration(3, &routes, &["gift-ledger", "thanks-post"]),
    );
    let mut leafs = Vec::new();
    for number in 1..=LEAFS {
        let leaf = setting.leaf(
            &store,
            &format!("i-gift-{number}"),
            "gift-ledger",
            "zone-a",
            "v1",
        )?;
        leaf.set(Behaviour::Answer(WORK));
        leafs.push(leaf);
    }
    setting.leaf(&store, "i-thanks-1", "thanks-post", "zone-a", "v1")?;
    let mut instance = setting.instance("front-a-1", "zone-a", &store)?;
    // The settings give the machine 0.25 cores.
    instance.cap_processor();
    std::thread::sleep(Duration::from_secs(1));
    if setting.trouble {
        for leaf in &leafs[..FAULTY] {
            leaf.set(Behaviour::EndlessChunkSize(
                LINK_BYTES_PER_S / FAULTY as u64,
            ));
            record.write(&format!("leaf {} is faulty from now on", leaf.id));
        }
    }
    let sent = traffic(record, instance.front, REQUESTS_PER_S, END, |number| {
        let route = if number % 5 == 4 { "thanks" } else { "gift" };
        Call {
            id: format!("{route}-{number}"),
            method: "POST",
            path: format!("/{route}/{number}"),
            body: vec![b'x'; 300],
            limit: TIMEOUT,
            watch: WATCH,
        }
    });
    let mut held = true;
    for route in ["gift", "thanks"] {
        let of_route: Vec<&Sent> = sent
            .iter()
            .filter(|sent| sent.id.starts_with(route))
            .collect();
        let longer = |time: Duration| of_route.iter().filter(|sent| sent.took > time).count();
        let (unanswered, late) = (longer(TIMEOUT), longer(LATE));
        let longest = of_route
            .iter()
            .map(|sent| sent.took)
            .max()
            .unwrap_or_default();
        record.say(&format!(
            "route {route}: {} requests, {unanswered} unanswered at its timeout, {late} of them half a second later; the longest took {:.1} s",
            of_route.len(),
            longest.as_secs_f64()
        ));
        held &= late * 2 <= unanswered;
    }
    Ok(held)
}
