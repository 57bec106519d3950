//! Weighted distribution of a route's requests among several services.

use crate::state::plan::Share;

/// Smooth weighted round robin. While the shares do not change, the count of each service exceeds
/// its exact share by less than one request. With several services, it may fall short of its share
/// by more than one.
#[derive(Clone, Debug, Default)]
pub struct Split {
    credits: Vec<(Box<str>, f64)>,
}

impl Split {
    /// Returns the service for the next request, or `None` if no service has a positive weight. If
    /// only the weights change, the services keep their credits; if the list of services changes,
    /// all credits start at zero.
    pub fn next<'a>(&mut self, shares: &'a [Share]) -> Option<&'a str> {
        self.reset_if_services_changed(shares);
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

    fn reset_if_services_changed(&mut self, shares: &[Share]) {
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
