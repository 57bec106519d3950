//! Samples of all leafs, for probes.

use super::Fleet;
use super::LeafKey;

impl Fleet {
    /// Returns up to `count` leafs of any service that are not in `avoid`. `jitter` in 0..1 varies
    /// which.
    #[must_use]
    pub fn sample(&self, avoid: &[LeafKey], count: usize, jitter: f32) -> Vec<LeafKey> {
        let others: Vec<LeafKey> = self
            .leafs
            .keys()
            .filter(|key| !avoid.contains(key))
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
