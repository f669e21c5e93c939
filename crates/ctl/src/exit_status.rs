//! Exit statuses of the operators' client.

use geranium_node::result_code::ResultCode;

/// Derives the exit status from a result code: its first and last digit.
///
/// Usage errors of the command line itself end with 2.
///
/// # Examples
///
/// ```
/// use geranium_ctl::exit_status;
/// use geranium_node::result_code::ResultCode;
///
/// assert_eq!(exit_status(ResultCode::Ok), 0);
/// assert_eq!(exit_status(ResultCode::LostRace), 33);
/// ```
pub const fn exit_status(code: ResultCode) -> u8 {
    let number = code.number();
    (number / 100 * 10 + number % 10) as u8
}
