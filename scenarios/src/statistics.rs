//! Statistics over the runs of a script.

/// Two-sided 95% quantiles of Student's t for 1 to 10 degrees of freedom.
const STUDENT_T_QUANTILES: [f64; 10] = [
    12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228,
];
/// Two-sided 95% quantile of the normal distribution, used for more degrees of freedom.
const NORMAL_QUANTILE: f64 = 1.96;

/// A mean with its 95% confidence interval.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConfidenceInterval {
    /// Mean of the values.
    pub mean: f64,
    /// Half the width of the interval; 0 for a single value.
    pub half_width: f64,
}

impl ConfidenceInterval {
    /// Computes the interval of a small sample, by Student's t-distribution.
    pub fn of(values: &[f64]) -> Self {
        let count = values.len() as f64;
        let mean = values.iter().sum::<f64>() / count.max(1.0);
        if values.len() < 2 {
            return ConfidenceInterval {
                mean,
                half_width: 0.0,
            };
        }
        let squares = values.iter().map(|value| (value - mean).powi(2));
        let variance = squares.sum::<f64>() / (count - 1.0);
        let quantile = STUDENT_T_QUANTILES
            .get(values.len() - 2)
            .copied()
            .unwrap_or(NORMAL_QUANTILE);
        ConfidenceInterval {
            mean,
            half_width: quantile * (variance / count).sqrt(),
        }
    }
}
