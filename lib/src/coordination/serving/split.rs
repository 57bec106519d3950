//! Divides the requests of a route among several services by weight.

use crate::state::plan::Share;

/// Smooth weighted round robin: over any run of requests, each service's count stays within one of
/// its exact share.
#[derive(Clone, Debug, Default)]
pub struct Split {
    credits: Vec<(Box<str>, f64)>,
}

impl Split {
    /// Chooses the service of the next request, or `None` if no service has a positive weight.
    /// Credits of services that remain after a change of the weights are kept.
    pub fn next<'a>(&mut self, shares: &'a [Share]) -> Option<&'a str> {
        self.adopt(shares);
        let total: f64 = shares.iter().map(|share| share.weight.max(0.0)).sum();
        if total <= 0.0 {
            return None;
        }
        for (credit, share) in self.credits.iter_mut().zip(shares) {
            credit.1 += share.weight.max(0.0);
        }
        let chosen = (0..shares.len())
            .filter(|index| shares[*index].weight > 0.0)
            .max_by(|a, b| self.credits[*a].1.total_cmp(&self.credits[*b].1))?;
        self.credits[chosen].1 -= total;
        Some(&shares[chosen].service)
    }

    fn adopt(&mut self, shares: &[Share]) {
        let same = self.credits.len() == shares.len()
            && self
                .credits
                .iter()
                .zip(shares)
                .all(|(credit, share)| credit.0 == share.service);
        if !same {
            self.credits = shares
                .iter()
                .map(|share| (share.service.clone(), 0.0))
                .collect();
        }
    }
}
