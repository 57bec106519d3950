//! A model of a store and of a group of instances that prove to each other which configuration is the
//! latest one, in virtual time.

use std::net::SocketAddr;
use std::time::Duration;

use camphorhold::coordination::serving::freshness::Answers;
use camphorhold::coordination::serving::freshness::Begun;
use camphorhold::coordination::serving::freshness::Challenge;
use camphorhold::coordination::serving::freshness::Freshness;
use camphorhold::coordination::serving::freshness::challenge_pause;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::SmallRng;

pub const REVOCATION_TIME: Duration = Duration::from_secs(2);
pub const STEP: Duration = Duration::from_millis(5);
pub const READERS: usize = 2;

/// How long after changes an instance reads the next ones.
pub const BATCH_PAUSE: Duration = Duration::from_millis(900);

/// How long what was lost in a restore may take to be written again.
pub const REWRITING_TIME: Duration = Duration::from_millis(2_300);

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn address(rank: usize) -> SocketAddr {
    let port = u16::try_from(rank).expect("a small group");
    SocketAddr::from(([10, 0, 0, 1], port))
}

#[derive(Clone, Copy, Debug)]
pub enum Message {
    Challenge(usize, Challenge),
    Answer { number: u64, version: u64, era: u64 },
}

/// A read on its way.
#[derive(Clone, Debug)]
pub struct Reading {
    reaches_store_at: Duration,
    returns_at: Duration,
    begun: Begun,
    // The era and the revision that it shows, once it has reached the store.
    shown: Option<(u64, u64)>,
}

#[derive(Clone, Debug)]
pub struct Member {
    pub freshness: Freshness,
    era: u64,
    version: u64,
    pub has_store: bool,
    pub suspended_until: Duration,
    // Until then its watches, or all its calls to the store, get no answers.
    deaf_until: Duration,
    without_store_until: Duration,
    pub next_watch: Duration,
    next_challenge: Duration,
    reading: Option<Reading>,
    reads: usize,
    inbox: Vec<(Duration, Message)>,
    refused: usize,
    pub accepted: usize,
}

/// The faults of the network and of the machines.
#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    pub loss: f64,
    pub duplication: f64,
    // The longest delay of a datagram, of a read before it is sent, and of its answer.
    pub delay: Duration,
    // The share of steps in which an instance is suspended, loses its watch or loses the store, and
    // for how long at most.
    pub failure: f64,
    pub longest_failure: Duration,
}

pub struct World {
    pub now: Duration,
    pub era: u64,
    pub revision: u64,
    pub version: u64,
    // When the store has acknowledged each version, from 1 on.
    pub acknowledged: Vec<Duration>,
    pub members: Vec<Member>,
    pub faults: Faults,
    pub random: SmallRng,
}

impl World {
    pub fn new(count: usize, seed: u64, faults: Faults) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let now = ms(100_000);
        let members = (0..count).map(|_| {
            let mut freshness = Freshness::new(random.random());
            let begun = freshness.begin_read(now);
            freshness.on_version(1);
            freshness.on_listed(begun, 1);
            Member {
                freshness,
                era: 1,
                version: 1,
                has_store: true,
                suspended_until: Duration::ZERO,
                deaf_until: Duration::ZERO,
                without_store_until: Duration::ZERO,
                next_watch: now,
                next_challenge: now + ms(random.random_range(0..200)),
                reading: None,
                reads: 0,
                inbox: Vec::new(),
                refused: 0,
                accepted: 0,
            }
        });
        Self {
            members: members.collect(),
            now,
            era: 1,
            revision: 1,
            version: 1,
            acknowledged: vec![now],
            faults,
            random,
        }
    }

    pub fn write_configuration(&mut self) {
        self.revision += 1;
        self.version += 1;
        self.acknowledged.push(self.now);
    }

    fn delay(&mut self) -> Duration {
        let longest = self.faults.delay.as_secs_f64();
        ms(2) + Duration::from_secs_f64(self.random.random::<f64>() * longest)
    }

    fn send(&mut self, to: usize, message: Message) {
        let copies = 1 + usize::from(self.random.random_bool(self.faults.duplication));
        for _ in 0..copies {
            if !self.random.random_bool(self.faults.loss) {
                let at = self.now + self.delay();
                self.members[to].inbox.push((at, message));
            }
        }
    }

    fn send_answers(&mut self, from: usize, answers: &Answers) {
        for (to, number) in answers {
            let member = &self.members[from];
            let answer = Message::Answer {
                number: *number,
                version: member.freshness.version(),
                era: member.era,
            };
            self.send(usize::from(to.port()), answer);
        }
    }

    pub fn step(&mut self) {
        self.now += STEP;
        let (now, store) = (self.now, (self.era, self.revision));
        for rank in 0..self.members.len() {
            let member = &mut self.members[rank];
            if let Some(reading) = &mut member.reading
                && reading.reaches_store_at <= now
                && reading.shown.is_none()
            {
                reading.shown = Some(store);
            }
            if member.suspended_until > now {
                continue;
            }
            self.fail(rank);
            if self.members[rank].suspended_until > now {
                continue;
            }
            self.check(rank);
            self.receive(rank);
            self.follow(rank);
            self.finish_read(rank);
            self.begin_read(rank);
            self.challenge(rank);
            self.check(rank);
        }
    }

    fn fail(&mut self, rank: usize) {
        if !self.random.random_bool(self.faults.failure) {
            return;
        }
        let longest = self.faults.longest_failure.as_secs_f64();
        let until = self.now + Duration::from_secs_f64(self.random.random::<f64>() * longest);
        let member = &mut self.members[rank];
        match self.random.random_range(0..3) {
            0 => member.suspended_until = until,
            1 => member.deaf_until = until,
            _ => member.without_store_until = until,
        }
    }

    fn receive(&mut self, rank: usize) {
        let now = self.now;
        let member = &mut self.members[rank];
        let (due, rest) = member.inbox.drain(..).partition(|(at, _)| *at <= now);
        member.inbox = rest;
        let due: Vec<(Duration, Message)> = due;
        for (_, message) in due {
            match message {
                Message::Challenge(from, challenge) => {
                    member.freshness.on_challenge(address(from), challenge);
                }
                Message::Answer {
                    number,
                    version,
                    era,
                } if era == member.era => member.freshness.on_answer(number, version),
                Message::Answer { .. } => {}
            }
        }
    }

    /// Applies changes as the follower does, with a pause after changes unless a proof waits.
    fn follow(&mut self, rank: usize) {
        let (now, era, revision, version) = (self.now, self.era, self.revision, self.version);
        let member = &mut self.members[rank];
        let wants_changes = member.freshness.wants_changes(REVOCATION_TIME, now);
        let is_deaf = member.deaf_until > now || member.without_store_until > now;
        if !member.has_store || is_deaf || (member.next_watch > now && !wants_changes) {
            return;
        }
        if member.era != era {
            member.era = era;
            member.freshness.on_restored();
            let begun = member.freshness.begin_read(now);
            member.freshness.on_rewriting(now + REWRITING_TIME);
            member.version = member.version.max(version);
            member.freshness.on_version(member.version);
            let answers = member.freshness.on_listed(begun, revision);
            assert!(answers.is_empty(), "an answer before all is written again");
            return;
        }
        member.version = member.version.max(version);
        member.freshness.on_version(member.version);
        let answers = member.freshness.on_applied(revision);
        member.next_watch = now + BATCH_PAUSE;
        self.send_answers(rank, &answers);
    }

    fn finish_read(&mut self, rank: usize) {
        let now = self.now;
        let member = &mut self.members[rank];
        let Some(reading) = member.reading.take_if(|reading| reading.returns_at <= now) else {
            return;
        };
        let Some((era, revision)) = reading
            .shown
            .filter(|_| member.has_store && member.without_store_until <= now)
        else {
            return;
        };
        if era == member.era {
            let answers = member.freshness.on_read(reading.begun, revision);
            self.send_answers(rank, &answers);
        }
    }

    fn begin_read(&mut self, rank: usize) {
        let (now, count) = (self.now, self.members.len());
        let (there, back) = (self.delay(), self.delay());
        let member = &mut self.members[rank];
        let due = member.freshness.read_due(REVOCATION_TIME, rank, count);
        if member.reading.is_none() && due.is_some_and(|due| due <= now) {
            member.reads += 1;
            member.reading = Some(Reading {
                reaches_store_at: now + there,
                returns_at: now + there + back,
                begun: member.freshness.begin_read(now),
                shown: None,
            });
        }
    }

    fn challenge(&mut self, rank: usize) {
        let now = self.now;
        let member = &mut self.members[rank];
        if member.next_challenge > now {
            return;
        }
        member.next_challenge = now + challenge_pause(REVOCATION_TIME);
        let challenge = member.freshness.challenge(REVOCATION_TIME, now);
        let others = (0..self.members.len()).filter(|other| *other != rank);
        let count = if challenge.urgent {
            usize::MAX
        } else {
            READERS
        };
        for other in others.take(count) {
            self.send(other, Message::Challenge(rank, challenge));
        }
    }

    /// Requires that a request with a key runs only with a configuration that no later one had
    /// replaced before the revocation time began.
    fn check(&mut self, rank: usize) {
        let now = self.now;
        let member = &mut self.members[rank];
        if !member.freshness.is_proven(REVOCATION_TIME, now) {
            member.refused += 1;
            return;
        }
        member.accepted += 1;
        let in_force = usize::try_from(member.version).expect("a small version");
        if let Some(replaced) = self.acknowledged.get(in_force) {
            assert!(
                now <= *replaced + REVOCATION_TIME,
                "instance {rank} serves version {in_force}, replaced at {replaced:?}, at {now:?}"
            );
        }
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// Runs with a change of the configuration now and then, and other changes more often.
    pub fn run_with_changes(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            if self.random.random_bool(0.004) {
                self.write_configuration();
            }
            if self.random.random_bool(0.05) {
                self.revision += 1;
            }
            self.step();
        }
    }

    pub fn refused(&self) -> usize {
        self.members.iter().map(|member| member.refused).sum()
    }

    pub fn reads(&self) -> usize {
        self.members.iter().map(|member| member.reads).sum()
    }
}
