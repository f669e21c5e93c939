//! Tickets and their text form.

use std::{fmt, str::FromStr};

use geranium_model::{Incarnation, InstanceName};

use super::{caller_tag::CallerTag, ticket_error::TicketError, ticket_owner::TicketOwner};

/// Version of the text form.
const PREFIX: &str = "1";
/// Fields of the text form, the version included.
const FIELDS: usize = 7;
/// Longest text worth parsing: six numbers and a name of 63 bytes.
const TEXT_MAX: usize = 192;

/// Permission to run one request once, bound to one start of one node.
///
/// The text form has one spelling per ticket: whatever doesn't print back as
/// it was read is refused.
///
/// # Examples
///
/// ```
/// use geranium_decisions::once::OnceTicket;
///
/// let text = "1:till-1:18c:2a:1f40:9d2c:00c0ffee00c0ffee";
/// let ticket: OnceTicket = text.parse()?;
/// assert_eq!(ticket.to_string(), text);
/// assert!("1:till-1:18C:2a:1f40:9d2c:00c0ffee00c0ffee".parse::<OnceTicket>().is_err());
/// # Ok::<(), geranium_decisions::once::TicketError>(())
/// ```
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct OnceTicket {
    pub(super) owner: TicketOwner,
    pub(super) sequence: u64,
    pub(super) minted_ms: u64,
    pub(super) caller: CallerTag,
    pub(super) tag: u64,
}

impl OnceTicket {
    /// Returns the node and start that the ticket is bound to.
    pub const fn owner(&self) -> &TicketOwner {
        &self.owner
    }

    /// Returns its place in the owner's count of tickets.
    pub const fn sequence(&self) -> u64 {
        self.sequence
    }
}

impl fmt::Display for OnceTicket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{PREFIX}:{}:{:x}:{:x}:{:x}:{:x}:{:016x}",
            self.owner.instance,
            self.owner.started.get(),
            self.sequence,
            self.minted_ms,
            self.caller.0,
            self.tag,
        )
    }
}

impl FromStr for OnceTicket {
    type Err = TicketError;

    fn from_str(text: &str) -> Result<Self, TicketError> {
        let ticket = read(text).ok_or(TicketError)?;
        // Guards against two spellings of one ticket, of which a cache or a
        // proxy might take one for another: leading zeros, capitals, signs.
        if ticket.to_string() == text {
            Ok(ticket)
        } else {
            Err(TicketError)
        }
    }
}

impl TryFrom<&str> for OnceTicket {
    type Error = TicketError;

    fn try_from(text: &str) -> Result<Self, TicketError> {
        text.parse()
    }
}

fn read(text: &str) -> Option<OnceTicket> {
    if text.len() > TEXT_MAX {
        return None;
    }
    let fields: Vec<&str> = text.split(':').collect();
    let fields: [&str; FIELDS] = fields.try_into().ok()?;
    let [prefix, instance, started, sequence, minted, caller, tag] = fields;
    if prefix != PREFIX {
        return None;
    }
    let instance: InstanceName = instance.parse().ok()?;
    let number = |field: &str| u64::from_str_radix(field, 16).ok();
    Some(OnceTicket {
        owner: TicketOwner {
            instance,
            started: Incarnation::new(number(started)?),
        },
        sequence: number(sequence)?,
        minted_ms: number(minted)?,
        caller: CallerTag(u32::from_str_radix(caller, 16).ok()?),
        tag: number(tag)?,
    })
}
