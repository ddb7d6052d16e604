//! Regression of the error of declared run times on the declared time, in logarithms.
//!
//! Where submitters declare well, the error is the same for short and long tasks, and
//! the slope is zero. Where what they declare tells nothing, it falls by as much as the
//! declared time rises, and the slope is minus one.

/// Number of runs of a general source that what is known of it counts as for a more
/// particular one.
const GENERAL_WEIGHT_MILLI: i128 = 8_000;
/// Square of the usual deviation of declared times within a source, half their size,
/// as a logarithm in thousandths.
const DECLARED_VARIANCE: i128 = 500 * 500;
/// A slope outside of these bounds is chance.
const SLOPE_RANGE_MILLI: (i128, i128) = (-1_000, 250);

/// Sums over the runs of a source, weighted in thousandths of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Regression {
    pub(super) weight_milli: i64,
    /// Of the logarithm of actual over declared time.
    pub(super) error: i64,
    /// Of the logarithm of the declared time.
    pub(super) declared: i64,
    pub(super) declared_squared: i64,
    pub(super) product: i64,
}

/// The error that is expected for each declared time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Fit {
    declared_mean: i128,
    error_mean: i128,
    slope_milli: i128,
}

impl Regression {
    pub(super) fn add(&mut self, declared_log: i64, error_log: i64, weight_milli: i64) {
        self.weight_milli += weight_milli;
        self.error += error_log * weight_milli;
        self.declared += declared_log * weight_milli;
        self.declared_squared += declared_log * declared_log * weight_milli;
        self.product += declared_log * error_log * weight_milli;
    }

    pub(super) fn halve(&mut self) {
        self.weight_milli /= 2;
        self.error /= 2;
        self.declared /= 2;
        self.declared_squared /= 2;
        self.product /= 2;
    }

    /// The fit of this source, drawn towards that of the next more general one. Without
    /// runs it is that one.
    pub(super) fn fit(&self, general: Fit) -> Fit {
        let weight = i128::from(self.weight_milli);
        if weight == 0 {
            return general;
        }
        let (error, declared) = (i128::from(self.error), i128::from(self.declared));
        let declared_mean = declared / weight;
        let expected = GENERAL_WEIGHT_MILLI * general.at_wide(declared_mean);
        let error_mean = (error + expected) / (weight + GENERAL_WEIGHT_MILLI);
        let variance = i128::from(self.declared_squared) - declared * declared / weight;
        let covariance = i128::from(self.product) - declared * error / weight;
        let prior = GENERAL_WEIGHT_MILLI * DECLARED_VARIANCE;
        let slope_milli =
            (covariance * 1_000 + prior * general.slope_milli) / (variance.max(0) + prior);
        let (lowest, highest) = SLOPE_RANGE_MILLI;
        Fit { declared_mean, error_mean, slope_milli: slope_milli.clamp(lowest, highest) }
    }
}

impl Fit {
    /// The expected logarithm of actual over declared time.
    pub(super) fn at(self, declared_log: i64) -> i64 {
        i64::try_from(self.at_wide(declared_log.into())).unwrap_or(0)
    }

    fn at_wide(self, declared_log: i128) -> i128 {
        self.error_mean + self.slope_milli * (declared_log - self.declared_mean) / 1_000
    }
}
