//! Sequential tests on the difference of two proportions, valid at every look (any-time valid).
//!
//! Each look contributes a *block*: the requests of both versions since the last look. Both tests
//! multiply one e-variable per block (Turner, Ly and Grünwald, "Generic E-variables for exact
//! sequential k-sample tests that allow for optional stopping", 2024). An e-variable has an
//! expectation of at most 1 under the null hypothesis, for any rate that both versions share in
//! that block, so the rate may change from block to block. By Ville's inequality, the probability
//! that the product ever exceeds 1/α is at most α.

/// The number of events among the requests of one version.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// All requests.
    pub requests: u64,
    /// The requests with the event, for instance a failure.
    pub events: u64,
}

/// Requests of both versions over the same time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Block {
    /// The old version.
    pub old: Tally,
    /// The new version.
    pub new: Tally,
}

/// The smallest distance of a rate to 0 and 1, which keeps logarithms finite.
const RATE_MARGIN: f64 = 1e-4;

/// The number of bisections in the search for a rate. The last interval is smaller than 1e-9.
const BISECTIONS: u32 = 30;

/// The largest logarithm of a product, which keeps products within the range of `f64`.
const MAX_LOG_PRODUCT: f64 = 600.0;

fn clamp(rate: f64) -> f64 {
    rate.clamp(RATE_MARGIN, 1.0 - RATE_MARGIN)
}

/// Converts a count. Counts above 2^53 lose precision, which does not matter for these tests.
#[allow(clippy::cast_precision_loss)]
pub(crate) fn to_f64(count: u64) -> f64 {
    count as f64
}

/// Returns the logarithm of the likelihood ratio of two rates.
fn log_ratio(tally: Tally, rate: f64, null_rate: f64) -> f64 {
    let (rate, null_rate) = (clamp(rate), clamp(null_rate));
    let events = to_f64(tally.events);
    let others = to_f64(tally.requests.saturating_sub(tally.events));
    events * (rate / null_rate).ln() + others * ((1.0 - rate) / (1.0 - null_rate)).ln()
}

/// Returns the logarithm of the e-variable against "the new version's rate is at most the old
/// version's rate", which grows fastest when the new rate is `old_rate + effect`.
fn log_against_equal(block: Block, old_rate: f64, effect: f64) -> f64 {
    let (old, new) = (to_f64(block.old.requests), to_f64(block.new.requests));
    let new_rate = clamp(old_rate + effect);
    let old_rate = clamp(old_rate);
    // The projection of the alternative on the null hypothesis.
    let common = (old * old_rate + new * new_rate) / (old + new);
    log_ratio(block.old, old_rate, common) + log_ratio(block.new, new_rate, common)
}

/// Returns the logarithm of the e-variable against "the new version's rate exceeds the old
/// version's rate by at least `effect`", which grows fastest when both rates are `rate`.
fn log_against_worse(block: Block, rate: f64, effect: f64) -> f64 {
    let rate = clamp(rate);
    let (old, new) = (to_f64(block.old.requests), to_f64(block.new.requests));
    let slope = |null: f64| (rate - null) / (null * (1.0 - null));
    // The projection is where the weighted slopes cancel; search it by bisection below `rate`.
    let mut low = RATE_MARGIN / 100.0;
    let mut high = rate.min(1.0 - RATE_MARGIN - effect);
    for _ in 0..BISECTIONS {
        let middle = f64::midpoint(low, high);
        if old * slope(middle) + new * slope(middle + effect) > 0.0 {
            low = middle;
        } else {
            high = middle;
        }
    }
    log_ratio(block.old, rate, low) + log_ratio(block.new, rate, low + effect)
}

/// Detects that the new version is, or at some time becomes, worse than the old one.
///
/// It is a mixture of products, one for each effect size and each look at which the new version may
/// have become worse. The weights sum to 1, so the mixture has the same guarantee as one product.
#[derive(Clone, Debug)]
pub struct Detector {
    effects: Vec<f64>,
    products: Vec<f64>,
    looks: u64,
}

/// Scales the weights of the looks at which a change may happen. The sum of
/// `SPREAD / ((t + SPREAD - 1) * (t + SPREAD))` over all looks from 1 on is 1; half of the weight
/// lies in the first ten looks.
const SPREAD: f64 = 10.0;

impl Detector {
    /// Creates a detector that is most sensitive to the given differences in rate.
    #[must_use]
    pub fn new(effects: &[f64]) -> Self {
        Self {
            effects: effects.to_vec(),
            products: vec![0.0; effects.len()],
            looks: 0,
        }
    }

    /// Adds a block with requests of both versions. `old_rate` must come from earlier blocks.
    pub fn observe(&mut self, block: Block, old_rate: f64) {
        self.look(|effect| log_against_equal(block, old_rate, effect));
    }

    /// Adds requests of the new version only, tested against the highest rate that counts as good.
    pub fn observe_alone(&mut self, new: Tally, good_rate: f64) {
        self.look(|effect| log_ratio(new, good_rate + effect, good_rate));
    }

    fn look<F>(&mut self, log_e_variable: F)
    where
        F: Fn(f64) -> f64,
    {
        self.looks += 1;
        let look = to_f64(self.looks);
        let weight = SPREAD / ((look + SPREAD - 1.0) * (look + SPREAD));
        let share = weight / to_f64(self.effects.len() as u64);
        for (product, effect) in self.products.iter_mut().zip(&self.effects) {
            let log = log_e_variable(*effect) + (*product + share).ln();
            *product = log.min(MAX_LOG_PRODUCT).exp();
        }
    }

    /// Returns whether the null hypothesis is rejected, with a probability of a false alarm of at
    /// most `alpha` over all looks together.
    #[must_use]
    pub fn rejects(&self, alpha: f64) -> bool {
        self.products.iter().sum::<f64>() >= 1.0 / alpha
    }
}

/// Collects evidence that the new version is not worse than the old one by a given effect size.
#[derive(Clone, Copy, Debug, Default)]
pub struct Proof {
    log: f64,
}

impl Proof {
    /// Adds a block with requests of both versions. `rate` must come from earlier blocks.
    pub fn observe(&mut self, block: Block, rate: f64, effect: f64) {
        self.log += log_against_worse(block, rate, effect);
    }

    /// Adds requests of the new version only, tested against the lowest rate that counts as bad.
    pub fn observe_alone(&mut self, new: Tally, rate: f64, effect: f64) {
        self.log += log_ratio(new, rate, rate + effect);
    }

    /// Returns whether the proof holds, with a probability of a miss of at most `beta`.
    #[must_use]
    pub fn holds(&self, beta: f64) -> bool {
        self.log >= -beta.ln()
    }
}
