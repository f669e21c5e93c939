//! Exit statuses of the operators' client.

use geranium_node::result_code::ResultCode;

/// Returns the exit status of a result code, made of its first and last digit.
///
/// A bad command line ends with 2, which no result code has.
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
