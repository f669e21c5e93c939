//! Exit status of the program.

use geranium_node::result_code::ResultCode;

/// Returns the exit status of a result code, made of its first and last digit.
///
/// `geranium-ctl` uses the same rule.
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
