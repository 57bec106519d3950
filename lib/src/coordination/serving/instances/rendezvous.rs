//! Weighted rendezvous hashing: every instance ranks the candidates for a piece of work alike.

/// Combines two hashes into a third one.
pub(super) fn combine(instance: u64, shard: u64) -> u64 {
    // The finalizer of SplitMix64.
    let mut mixed = instance ^ shard.rotate_left(32);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// Ranks an instance among the candidates for a shard or a caller, given as its hash (weighted
/// rendezvous hashing). Each candidate has the highest rank for a share of the hashes in proportion
/// to its `weight`, and if a candidate is lost, only its own share moves to others.
pub(super) fn rank(instance: u64, hash: u64, weight: f64) -> f64 {
    #[expect(
        clippy::cast_precision_loss,
        reason = "the lowest bits of a hash do not matter"
    )]
    let uniform = (combine(instance, hash) as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    -weight / uniform.ln()
}
