//! Selection of witnesses.

use std::collections::BTreeMap;

use crate::state::id::FailureDomain;
use crate::state::record::MAX_WITNESSES;
use crate::state::record::Member;

/// Selects the witnesses of a roster: all members if there are at most [`MAX_WITNESSES`], otherwise
/// that many, spread evenly over the failure domains. Changes as few witnesses as possible, because
/// each change invalidates the evidence of the other witnesses until they send new messages.
pub(super) fn select(roster: &mut [Member]) {
    if roster.len() <= MAX_WITNESSES {
        for member in roster {
            member.witness = true;
        }
        return;
    }
    let witnesses = roster.iter().filter(|member| member.witness).count();
    for _ in witnesses..MAX_WITNESSES {
        let Some(domain) = smallest_domain(roster) else {
            return;
        };
        set_witness(roster, &domain, true);
    }
    // Each swap reduces the difference between the counts, so the loop terminates.
    while let Some((largest, smallest)) = uneven_domains(roster) {
        set_witness(roster, &largest, false);
        set_witness(roster, &smallest, true);
    }
}

/// Returns the number of witnesses and the number of other members of each failure domain.
fn counts(roster: &[Member]) -> BTreeMap<FailureDomain, (usize, usize)> {
    let mut counts: BTreeMap<FailureDomain, (usize, usize)> = BTreeMap::new();
    for member in roster {
        let (witnesses, others) = counts.entry(member.failure_domain.clone()).or_default();
        if member.witness {
            *witnesses += 1;
        } else {
            *others += 1;
        }
    }
    counts
}

fn smallest_domain(roster: &[Member]) -> Option<FailureDomain> {
    let counts = counts(roster).into_iter();
    let eligible = counts.filter(|(_, (_, others))| *others > 0);
    let smallest = eligible.min_by_key(|(_, (witnesses, _))| *witnesses);
    smallest.map(|(domain, _)| domain)
}

fn uneven_domains(roster: &[Member]) -> Option<(FailureDomain, FailureDomain)> {
    let counts = counts(roster);
    let smallest = smallest_domain(roster)?;
    let (largest, (most, _)) = counts.iter().max_by_key(|(_, (witnesses, _))| *witnesses)?;
    (counts[&smallest].0 + 2 <= *most).then(|| (largest.clone(), smallest))
}

/// Makes the lowest-ranked other member of the failure domain a witness, or, if `witness` is false,
/// the highest-ranked witness an ordinary member.
fn set_witness(roster: &mut [Member], domain: &FailureDomain, witness: bool) {
    let eligible =
        |member: &&mut Member| member.failure_domain == *domain && member.witness != witness;
    let found = if witness {
        roster.iter_mut().find(eligible)
    } else {
        roster.iter_mut().rev().find(eligible)
    };
    if let Some(member) = found {
        member.witness = witness;
    }
}
