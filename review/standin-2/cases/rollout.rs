//! A roll-out to a bad version is ordered, and the old leafs are lost. How many requests does the bad
//! version get?

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

const SHARE: f64 = 0.1;
const SLACK: f64 = 50.0;
const ROLLBACK: Duration = Duration::from_millis(5_000);
/// The order and its time limit, 12 s.
const ORDERED: Duration = Duration::from_millis(2_000);
const ENDS: Duration = Duration::from_millis(14_000);
const CRASH: Duration = Duration::from_millis(4_000);
/// The entries of the old leafs lapse after three check-in intervals of 1.2 s.
const LAPSE: Duration = Duration::from_millis(7_600);
const END: Duration = Duration::from_millis(18_000);

pub fn run(setting: &Setting) -> io::Result<bool> {
    let record = &setting.record;
    let store = Store::start()?;
    let routes = [route("gift", "safe", "gift-ledger", 2_000, 600)];
    store.put("op/config", &configuration(3, &routes, &["gift-ledger"]));
    let old = [
        setting.leaf(&store, "i-old-1", "gift-ledger", "zone-a", "v1")?,
        setting.leaf(&store, "i-old-2", "gift-ledger", "zone-a", "v1")?,
    ];
    let instance = setting.instance("front-a-1", "zone-a", &store)?;
    let platform = {
        let (setting, store) = (setting.share(), store.clone());
        std::thread::spawn(move || -> io::Result<_> {
            let record = &setting.record;
            wait(record, ORDERED);
            store.put(
                "op/rollout/gift-ledger",
                "{\"service\":\"gift-ledger\",\"target_version\":\"v2\",\"duration_s\":12}",
            );
            record.write("roll-out of gift-ledger to v2 ordered");
            std::thread::sleep(Duration::from_millis(300));
            let new = [
                setting.leaf(&store, "i-new-1", "gift-ledger", "zone-a", "v2")?,
                setting.leaf(&store, "i-new-2", "gift-ledger", "zone-a", "v2")?,
            ];
            for leaf in &new {
                leaf.set(Behaviour::Fail(500));
            }
            if setting.trouble {
                wait(record, CRASH);
                old.iter().for_each(|leaf| leaf.crash());
                wait(record, LAPSE);
                old.iter().for_each(|leaf| store.remove(&leaf.key()));
                record.write("the entries of the old leafs have lapsed");
            }
            Ok(new)
        })
    };
    let sent = traffic(record, instance.front, 40.0, END, |number| {
        get(&format!("/gift/{number}"), format!("gift-{number}"))
    });
    let new = platform
        .join()
        .map_err(|_| io::Error::other("the platform has failed"))??;
    let mut bad: Vec<_> = new.iter().flat_map(|leaf| leaf.arrivals()).collect();
    bad.sort_by_key(|arrival| arrival.at);
    let ordered = sent
        .iter()
        .filter(|sent| sent.at >= ORDERED && sent.at < ENDS)
        .count();
    let exposed = bad.iter().filter(|arrival| arrival.at < ENDS).count();
    let most = SHARE * ordered as f64 + SLACK;
    let late = bad.get(49).map_or(0, |fiftieth| {
        let due = fiftieth.at + ROLLBACK;
        bad.iter().filter(|arrival| arrival.at > due).count()
    });
    let answered = sent.iter().filter(|sent| sent.status == 200).count();
    record.say(&format!(
        "{} requests, {answered} of them served; of {ordered} between the order and its time limit, the bad version got {exposed} (at most {most:.0}); {late} reached it later than rollback_ms after its 50th bad answer",
        sent.len()
    ));
    Ok(exposed as f64 <= most && late == 0)
}
