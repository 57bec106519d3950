//! Random numbers of the world.

use std::time::Duration;

/// Random numbers by the generator `SplitMix64`.
pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.0;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    pub fn below(&mut self, limit: u64) -> u64 {
        self.next() % limit
    }

    pub fn chance(&mut self, of_thousand: u64) -> bool {
        self.below(1_000) < of_thousand
    }

    pub fn millis(&mut self, limit: u64) -> Duration {
        Duration::from_millis(self.below(limit))
    }
}
