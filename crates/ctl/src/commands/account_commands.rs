//! The commands `account list`, `account add-key` and `account revoke-key`.

use std::{
    fmt, fs, io,
    path::{Path, PathBuf},
    time::{Duration, Instant},
};

use geranium_node::{
    accounts::{AccountInput, KeyDigest},
    config::ConfigVersion,
    store::MetaStore,
};
use serde::Serialize;
use snafu::ResultExt;
use tokio::time::sleep;

use super::status_command;
use crate::{
    AccountCommand, CtlError, FleetStatus, KeySelector, KeyText, OutputFormat, Session,
    ctl_error::{BadKeySnafu, FileSnafu},
    presets::ConfigInForce,
    put_key_change,
};

/// File name that means standard input.
const STDIN: &str = "-";
/// Pause between two reads of the nodes' versions.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Output of the command `account list`.
#[derive(Debug, Serialize)]
struct AccountReport {
    version: ConfigVersion,
    accounts: Vec<AccountRow>,
}

/// One account of [`AccountReport`].
#[derive(Debug, Serialize)]
struct AccountRow {
    name: String,
    /// Fingerprints of the keys.
    keys: Vec<String>,
    priority: Option<u8>,
    /// Requests per second; 0 for no limit.
    rate_per_s: f64,
    burst: f64,
}

/// Output of the commands `account add-key` and `account revoke-key`.
#[derive(Debug, Serialize)]
struct KeyReport {
    account: String,
    /// Fingerprint of the key.
    key: String,
    change: String,
    version: ConfigVersion,
    /// Number of nodes, all of which apply the version.
    nodes: usize,
    took_ms: u64,
}

pub async fn run(
    session: &Session<impl MetaStore>,
    command: &AccountCommand,
    format: OutputFormat,
) -> Result<String, CtlError> {
    match command {
        AccountCommand::List => Ok(format.report(&list(session).await?)),
        AccountCommand::AddKey {
            account,
            key_file,
            wait_s,
        } => {
            let path = key_file.clone().unwrap_or_else(|| PathBuf::from(STDIN));
            let selector = KeySelector::New(read_key(&path)?);
            let report = change_key(session, account, &selector, *wait_s).await?;
            Ok(format.report(&report))
        }
        AccountCommand::RevokeKey {
            account,
            fingerprint,
            key_file,
            wait_s,
        } => {
            let selector = match key_file {
                Some(path) => KeySelector::Known(read_key(path)?),
                None => KeySelector::Fingerprint(fingerprint.clone().unwrap_or_default()),
            };
            let report = change_key(session, account, &selector, *wait_s).await?;
            Ok(format.report(&report))
        }
    }
}

async fn list(session: &Session<impl MetaStore>) -> Result<AccountReport, CtlError> {
    let in_force = ConfigInForce::read(session.store()?, session.codec).await?;
    let version = in_force.version();
    let accounts = in_force.input.map_or_else(Vec::new, |input| input.accounts);
    Ok(AccountReport {
        version,
        accounts: accounts.into_iter().map(AccountRow::from).collect(),
    })
}

/// Writes a change and waits until every node applies it.
async fn change_key(
    session: &Session<impl MetaStore>,
    account: &str,
    selector: &KeySelector,
    wait_s: u64,
) -> Result<KeyReport, CtlError> {
    let (change, activation) = put_key_change(
        session.store()?,
        session.codec,
        account,
        selector,
        session.stamp()?,
        session.retry_schedule,
    )
    .await?;
    let version = activation.record.version;
    let begun = Instant::now();
    let nodes = wait_in_force(session, version, Duration::from_secs(wait_s)).await?;
    Ok(KeyReport {
        account: account.to_owned(),
        key: change.digest().fingerprint(),
        change: change.to_string(),
        version,
        nodes,
        took_ms: begun.elapsed().as_millis() as u64,
    })
}

/// Waits until every announced node applies `version` or a later one, and returns their number.
///
/// A later version holds the change too, as activations keep the accounts in force.
async fn wait_in_force(
    session: &Session<impl MetaStore>,
    version: ConfigVersion,
    limit: Duration,
) -> Result<usize, CtlError> {
    let begun = Instant::now();
    loop {
        let missing = match status_command::status(session).await {
            Ok(status) => match missing_nodes(&status, version) {
                None => return Ok(status.responded),
                Some(missing) => missing,
            },
            Err(error) => error.to_string(),
        };
        if begun.elapsed() >= limit {
            return Err(CtlError::NotInForce {
                version,
                nodes: missing,
            });
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Describes the nodes that aren't known to apply `version`; none if all are.
fn missing_nodes(status: &FleetStatus, version: ConfigVersion) -> Option<String> {
    let lagging = status
        .versions
        .iter()
        .filter(|count| count.version < version.0);
    let lagging: usize = lagging.map(|count| count.nodes).sum();
    let silent = status.silent.len();
    if let Some(reason) = &status.store_error {
        return Some(format!("the nodes can't be listed ({reason})"));
    }
    (lagging + silent > 0 || status.responded == 0).then(|| {
        let responded = status.responded;
        format!("{lagging} of {responded} nodes lag behind, {silent} don't respond")
    })
}

/// Reads a key from the first line of a file, or of standard input for [`STDIN`].
fn read_key(path: &Path) -> Result<KeyText, CtlError> {
    let text = if path == Path::new(STDIN) {
        io::read_to_string(io::stdin().lock())
    } else {
        fs::read_to_string(path)
    };
    let text = text.context(FileSnafu { path })?;
    text.trim_end_matches(['\r', '\n'])
        .parse()
        .context(BadKeySnafu)
}

impl From<AccountInput> for AccountRow {
    fn from(input: AccountInput) -> Self {
        let keys = input.digests.iter().map(KeyDigest::fingerprint);
        Self {
            name: input.name,
            keys: keys.collect(),
            priority: input.rank,
            rate_per_s: input.rate_per_s,
            burst: input.burst,
        }
    }
}

impl fmt::Display for AccountReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.accounts.is_empty() {
            return writeln!(f, "version {} has no accounts", self.version);
        }
        writeln!(f, "version {}", self.version)?;
        for account in &self.accounts {
            let keys = account.keys.join(", ");
            write!(f, "{}: keys {keys}", account.name)?;
            if let Some(priority) = account.priority {
                write!(f, "; priority {priority}")?;
            }
            if account.rate_per_s > 0.0 {
                let (rate, burst) = (account.rate_per_s, account.burst);
                write!(f, "; {rate} requests a second, burst {burst}")?;
            }
            writeln!(f)?;
        }
        Ok(())
    }
}

impl fmt::Display for KeyReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (change, version) = (&self.change, self.version);
        writeln!(
            f,
            "{change}; version {version} is in force on all {} nodes after {} ms",
            self.nodes, self.took_ms
        )
    }
}
