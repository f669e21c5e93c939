//! Formatting of wall-clock times for people to read.

const MS_PER_DAY: u64 = 86_400_000;
/// Days from 1 March 0000, the start of a 400-year cycle, to the Unix epoch.
const EPOCH_DAYS: u64 = 719_468;
const DAYS_PER_CYCLE: u64 = 146_097;

/// Formats milliseconds since the Unix epoch as a UTC time of ISO 8601.
///
/// The calculation starts years in March, so that a leap day is the last day of its year.
pub fn utc_time(ms: u64) -> String {
    let days = ms / MS_PER_DAY + EPOCH_DAYS;
    let (cycle, day_of_cycle) = (days / DAYS_PER_CYCLE, days % DAYS_PER_CYCLE);
    let year = (day_of_cycle - day_of_cycle / 1_460 + day_of_cycle / 36_524
        - day_of_cycle / 146_096)
        / 365;
    let day_of_year = day_of_cycle - (365 * year + year / 4 - year / 100);
    let months_since_march = (5 * day_of_year + 2) / 153;
    let day_of_month = day_of_year - (153 * months_since_march + 2) / 5 + 1;
    let month = if months_since_march < 10 {
        months_since_march + 3
    } else {
        months_since_march - 9
    };
    let year = cycle * 400 + year + u64::from(month <= 2);
    let seconds = ms % MS_PER_DAY / 1_000;
    let (hour, minute, second) = (seconds / 3_600, seconds / 60 % 60, seconds % 60);
    format!("{year:04}-{month:02}-{day_of_month:02}T{hour:02}:{minute:02}:{second:02}Z")
}
