//! Registration of members through another node, the registrar.
//!
//! Each announcement needs a lease, and each lease has to be renewed. If every node held a lease
//! of its own, the calls to the store would grow with the fleet. The nodes of a data centre
//! therefore send their announcements to a few of them, the registrars ([`RegistrarSelection`]).
//! A registrar collects the changes of a moment, writes them in one transaction
//! ([`run_registrar`]), and keeps all of them under its own lease. Its members call it every two
//! seconds; [`MemberRoster`] tells which of them have been silent for so long that their
//! announcements are removed.
//!
//! No state has to be handed over when a registrar dies, hangs or loses the store: its members
//! notice a call that fails, and have another registrar write their announcements again, under
//! that one's lease. Announcements of members that died with their registrar end with its lease.
//! Every change names the revision that it replaces, so a registrar that still believes in a
//! member that has left it can't remove the new announcement. A node that finds no registrar
//! announces itself under a lease of its own. Nodes of versions without registrars do so, too,
//! and refuse registration calls with status 400.

mod member_roster;
mod registrar_selection;
mod registrar_state;
mod registration_call;
mod registration_entry;
mod registration_handler;
mod registration_sender;
mod run_registrar;

pub use member_roster::MemberRoster;
pub use registrar_selection::RegistrarSelection;
pub use registrar_state::RegistrarState;
pub use registration_call::{RegistrationCall, RegistrationChange, RegistrationReply};
pub use registration_entry::{RegistrationEntry, RegistrationError};
pub use registration_handler::{REGISTRATION_PATH, RegistrationHandler};
pub(crate) use registration_sender::send_registration;
pub use run_registrar::run_registrar;
