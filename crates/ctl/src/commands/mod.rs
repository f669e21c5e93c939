//! Execution of the client's commands.

mod account_commands;
mod activate_command;
mod explain_command;
mod history_command;
mod preset_commands;
mod status_command;

use geranium_node::store::MetaStore;

use crate::{Command, CtlError, OutputFormat, Session};

/// Executes a command and returns its report in this format, to be printed.
///
/// # Errors
///
/// Returns the command's error, which has a numbered result code.
pub async fn run(
    session: &Session<impl MetaStore>,
    command: &Command,
    format: OutputFormat,
) -> Result<String, CtlError> {
    Ok(match command {
        Command::Check { file } => format.report(&preset_commands::check(file)?),
        Command::Put { name, file } => {
            format.report(&preset_commands::put(session, name, file).await?)
        }
        Command::List => format.report(&preset_commands::list(session).await?),
        Command::Show { name } => format.report(&preset_commands::show(session, name).await?),
        Command::Diff { from, to } => {
            format.report(&preset_commands::diff(session, from, to).await?)
        }
        Command::Activate {
            name,
            expect_version,
        } => format.report(&activate_command::run(session, name, *expect_version).await?),
        Command::History { last } => {
            format.report(&history_command::history(session, *last).await?)
        }
        Command::Status => format.report(&status_command::status(session).await?),
        Command::Account(command) => account_commands::run(session, command, format).await?,
        Command::Explain { request, files } => {
            format.report(&explain_command::explain(request, files)?)
        }
    })
}
