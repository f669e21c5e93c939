//! Exit statuses.

use geranium_node::result_code::ResultCode;

/// Derives the exit status from a result code: its first and last digit, as
/// `geranium-ctl` does.
///
/// # Examples
///
/// ```
/// use geranium_burn::exit_status;
/// use geranium_node::result_code::ResultCode;
///
/// assert_eq!(exit_status(ResultCode::PartialReport), 54);
/// ```
pub const fn exit_status(code: ResultCode) -> u8 {
    let number = code.number();
    (number / 100 * 10 + number % 10) as u8
}
