//! One line of a metrics page in the Prometheus text format.

use std::collections::BTreeMap;

use snafu::{OptionExt, Snafu, ensure};

/// Metric name with its labels and value.
///
/// The parser relies on the subset of the format that nodes write: label values
/// contain no quotes, commas or escapes, and lines have no timestamp. Other lines
/// aren't all rejected; their name, labels or value may be wrong.
#[derive(Debug, Clone, PartialEq)]
pub struct MetricLine {
    name: String,
    labels: BTreeMap<String, String>,
    value: f64,
}

/// Reason why a line or its value can't be used.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum MetricLineError {
    /// The line doesn't end with a space and a number.
    #[snafu(display("no numeric value at the end of `{line}`"))]
    NoValue {
        /// Text of the line.
        line: String,
    },
    /// The labels don't end with `}`, or one isn't of the form `name="value"`.
    #[snafu(display("malformed labels in `{line}`"))]
    BadLabels {
        /// Text of the line.
        line: String,
    },
    /// A count is negative, fractional or above 2^53.
    #[snafu(display("the value of `{name}` isn't a whole number from 0 to 2^53"))]
    NotACount {
        /// Name of the metric.
        name: String,
    },
    /// A required label is missing, or its value can't be parsed.
    #[snafu(display("label `{label}` of `{name}` is missing or invalid"))]
    BadLabel {
        /// Name of the metric.
        name: String,
        /// Name of the label.
        label: &'static str,
    },
}

/// Largest accepted count, 2^53; a 64-bit float is exact up to it.
const EXACT_MAX: f64 = 9_007_199_254_740_992.0;

impl MetricLine {
    /// Returns the metric's name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the value as a whole number.
    ///
    /// # Errors
    ///
    /// Returns [`MetricLineError::NotACount`] if the value isn't a whole number from 0
    /// to 2^53.
    pub fn count(&self) -> Result<u64, MetricLineError> {
        let value = self.value;
        let is_count = (0.0..=EXACT_MAX).contains(&value) && value.fract() == 0.0;
        ensure!(is_count, NotACountSnafu { name: &self.name });
        Ok(value as u64)
    }

    /// Returns whether a label is present with this value.
    pub fn has_label(&self, label: &str, value: &str) -> bool {
        self.labels.get(label).is_some_and(|found| found == value)
    }

    /// Returns the parsed value of a label.
    ///
    /// # Errors
    ///
    /// Returns [`MetricLineError::BadLabel`] when the label is missing or its
    /// value can't be parsed as `T`.
    ///
    /// # Examples
    ///
    /// ```
    /// use geranium_burn::MetricLine;
    ///
    /// let line = MetricLine::try_from(r#"seconds_bucket{kind="lookup",le="0.25"} 7"#)?;
    /// assert_eq!(line.label::<f64>("le")?, 0.25);
    /// assert_eq!(line.count()?, 7);
    /// # Ok::<(), geranium_burn::MetricLineError>(())
    /// ```
    pub fn label<T: std::str::FromStr>(&self, label: &'static str) -> Result<T, MetricLineError> {
        let text = self.labels.get(label);
        let value = text.and_then(|text| text.parse().ok());
        value.context(BadLabelSnafu {
            name: &self.name,
            label,
        })
    }
}

impl TryFrom<&str> for MetricLine {
    type Error = MetricLineError;

    fn try_from(line: &str) -> Result<Self, MetricLineError> {
        let (series, value) = line.rsplit_once(' ').context(NoValueSnafu { line })?;
        let value = value.parse().ok().context(NoValueSnafu { line })?;
        let Some((name, rest)) = series.split_once('{') else {
            return Ok(Self {
                name: series.to_owned(),
                labels: BTreeMap::new(),
                value,
            });
        };
        let labels = rest.strip_suffix('}').context(BadLabelsSnafu { line })?;
        let labels = labels.split_terminator(',').map(parse_label);
        Ok(Self {
            name: name.to_owned(),
            labels: labels
                .collect::<Option<_>>()
                .context(BadLabelsSnafu { line })?,
            value,
        })
    }
}

/// Returns the name and value of a label `name="value"`.
fn parse_label(text: &str) -> Option<(String, String)> {
    let (name, value) = text.split_once('=')?;
    let value = value.strip_prefix('"')?.strip_suffix('"')?;
    Some((name.to_owned(), value.to_owned()))
}
