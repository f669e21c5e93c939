//! One module for each command, or for a few that belong together.

mod activate_command;
mod activation_row;
mod diff_command;
mod drain_command;
mod explain_command;
mod history_command;
mod list_command;
mod nodes_command;
mod put_command;
mod show_command;
mod status_command;
mod summary;

use crate::{Command, CtlError, OutputFormat, Session};

/// Executes a command and returns what to print.
///
/// # Errors
///
/// See [`CtlError`]; nothing is printed then but the error.
///
/// # Examples
///
/// ```
/// use geranium_ctl::{Command, OutputFormat, Patience, Session, run};
/// use geranium_platform::MemoryStore;
///
/// let store = Box::new(MemoryStore::default());
/// let session = Session::new(Some(store), None, Vec::new(), Patience::new(1));
/// let text = run(&session, &Command::History { last: 20 }, OutputFormat::Text)?;
/// assert_eq!(text, "nothing was activated yet\n");
/// # Ok::<(), geranium_ctl::CtlError>(())
/// ```
pub fn run(session: &Session, command: &Command, output: OutputFormat) -> Result<String, CtlError> {
    Ok(match command {
        Command::Check { file } => output.report(&put_command::check(file)?),
        Command::Put {
            name,
            file,
            expect_digest,
        } => output.report(&put_command::put(session, name, file, *expect_digest)?),
        Command::List => output.report(&list_command::list(session)?),
        Command::Show { name } => output.report(&show_command::show(session, name)?),
        Command::Diff { from, to } => output.report(&diff_command::diff(session, from, to)?),
        Command::Activate {
            name,
            expect_version,
        } => output.report(&activate_command::run(session, name, *expect_version)?),
        Command::Explain { request, files } => {
            output.report(&explain_command::explain(request, files)?)
        }
        Command::History { last } => output.report(&history_command::history(session, *last)?),
        Command::Status => output.report(&status_command::status(session)?),
        Command::Nodes => output.report(&nodes_command::nodes(session)?),
        Command::Drain { target } => output.report(&drain_command::drain(session, target)?),
    })
}
