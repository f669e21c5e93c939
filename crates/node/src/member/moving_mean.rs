//! Exponentially weighted means.

/// Exponentially weighted moving mean; its first value becomes the mean.
#[derive(Debug, Clone, Copy, Default)]
pub struct MovingMean {
    mean: Option<f64>,
}

impl MovingMean {
    /// Adds a value with a weight from 0 to 1.
    ///
    /// # Examples
    ///
    /// ```
    /// use geranium_node::member::MovingMean;
    ///
    /// let mut mean = MovingMean::default();
    /// mean.observe(4.0, 0.5);
    /// mean.observe(2.0, 0.5);
    /// assert_eq!(mean.get(), Some(3.0));
    /// ```
    pub fn observe(&mut self, value: f64, weight: f64) {
        self.mean = Some(match self.mean {
            Some(mean) => mean + (value - mean) * weight,
            None => value,
        });
    }

    /// Returns the mean, or none before the first value.
    pub const fn get(&self) -> Option<f64> {
        self.mean
    }
}
