//! Samples of all leafs, for probes.

use super::Fleet;
use super::Leaf;
use super::LeafKey;

impl Fleet {
    /// Returns up to `count` leafs of any service that are not in `avoid`. `jitter` in 0..1 varies
    /// which.
    #[must_use]
    pub fn sample(&self, avoid: &[LeafKey], count: usize, jitter: f32) -> Vec<LeafKey> {
        self.sample_where(|key, _| !avoid.contains(&key), count, jitter)
    }

    /// Returns up to `count` leafs of other services than those, to compare the leafs in `lost` with.
    /// They are in the failure domains of `lost`, so that the loss of a domain is told from theirs; in
    /// any domain if there are none, and of any service, not in `avoid`, if there are no others.
    #[must_use]
    pub fn sample_of_others(
        &self,
        services: &[&str],
        lost: &[LeafKey],
        avoid: &[LeafKey],
        count: usize,
        jitter: f32,
    ) -> Vec<LeafKey> {
        let lost = lost.iter().filter_map(|key| self.get(*key));
        let domains: Vec<&str> = lost.map(|leaf| &*leaf.entry().domain).collect();
        let is_other = |leaf: &Leaf| !services.contains(&&*leaf.entry().service);
        let is_near = |_, leaf: &Leaf| is_other(leaf) && domains.contains(&&*leaf.entry().domain);
        let near = self.sample_where(is_near, count, jitter);
        if !near.is_empty() {
            return near;
        }
        let others = self.sample_where(|_, leaf| is_other(leaf), count, jitter);
        if others.is_empty() {
            self.sample(avoid, count, jitter)
        } else {
            others
        }
    }

    fn sample_where<F>(&self, is_wanted: F, count: usize, jitter: f32) -> Vec<LeafKey>
    where
        F: Fn(LeafKey, &Leaf) -> bool,
    {
        let others: Vec<LeafKey> = self
            .leafs
            .iter()
            .filter(|(key, leaf)| is_wanted(*key, leaf))
            .map(|(key, _)| key)
            .collect();
        let count = count.min(others.len());
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            clippy::cast_precision_loss,
            reason = "the product lies between 0 and the number of leafs"
        )]
        let start = (jitter * others.len() as f32) as usize;
        // Leafs of one service often follow each other, so the sample is spread over all.
        (0..count)
            .map(|index| others[(start + index * others.len() / count) % others.len()])
            .collect()
    }
}
