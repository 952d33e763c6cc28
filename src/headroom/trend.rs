//! Forecast of the demand by a linear trend.

/// Number of samples that the trend covers: with samples of 2 s, ten seconds. Waves of load take
/// half a minute, and a trend over a third of one still follows it.
pub const TREND_SAMPLES: usize = 5;

/// Fewest samples for a forecast. Two give a line through any noise.
pub const MIN_TREND_SAMPLES: usize = 3;

/// How far ahead the forecast is, in samples: as far as the trend reaches back.
pub(super) const FORECAST_SAMPLES: usize = TREND_SAMPLES;

/// Value expected `FORECAST_SAMPLES` after the last of the samples, which are equally spaced and
/// in order of time: the line that fits the last `TREND_SAMPLES` with the least squares, but not
/// less than zero. `None` for fewer than `MIN_TREND_SAMPLES`, or if one is not a finite number.
pub fn forecast(samples: &[f64]) -> Option<f64> {
    let last = &samples[samples.len().saturating_sub(TREND_SAMPLES)..];
    if last.len() < MIN_TREND_SAMPLES || !last.iter().all(|value| value.is_finite()) {
        return None;
    }
    let count = last.len() as f64;
    let middle = (count - 1.0) / 2.0;
    let mean = last.iter().sum::<f64>() / count;
    let offsets = || (0..last.len()).map(|at| at as f64 - middle);
    let covariance: f64 = offsets().zip(last).map(|(offset, value)| offset * (value - mean)).sum();
    let variance: f64 = offsets().map(|offset| offset * offset).sum();
    let ahead = count - 1.0 + FORECAST_SAMPLES as f64 - middle;
    Some((mean + covariance / variance * ahead).max(0.0))
}
