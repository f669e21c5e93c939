//! What the store has shown a node of the configuration.

use std::time::Duration;

use super::ConfigProof;
use crate::{config::ConfigVersion, store::Revision};

/// Change of the configuration's key, as a watch reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DocumentEvent {
    /// A document with this version was written, which the node may have refused.
    Written(ConfigVersion),
    /// A document whose version is unreadable was written.
    Unreadable,
    /// The key was removed.
    Removed,
    /// A key has changed; changes of the configuration's key are reported besides.
    Other,
}

/// What the store has shown a node of the configuration.
///
/// A watch may have gone silent: its responses arrive, but report no changes. An empty response
/// therefore proves nothing if the store's revision has advanced. The configuration is then in
/// doubt until a linearizable read shows it.
///
/// The view says which document is the latest, whether or not the node could put it in force. A
/// proof of a version that the node doesn't hold counts for nothing ([`FreshnessTracker`]), so that
/// no node confirms an earlier configuration by the store's responses after a later one.
///
/// [`FreshnessTracker`]: super::FreshnessTracker
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct StoreView {
    /// Revision of the store up to which the view goes.
    revision: Revision,
    /// Latest version; none while unknown.
    version: Option<ConfigVersion>,
    in_doubt: bool,
}

impl StoreView {
    /// Creates the view of a node that holds a proof.
    pub fn of_proof(proof: &ConfigProof) -> Self {
        Self {
            revision: proof.revision,
            version: Some(proof.version),
            in_doubt: false,
        }
    }

    /// Records a linearizable read.
    ///
    /// `document` is the version and revision of the document; no version if it is unreadable. An
    /// unreadable one that was written before this view leaves the view's version as it is. A later
    /// one may have replaced any version, so the latest is unknown.
    pub fn record_read(
        &mut self,
        document: Option<(Option<ConfigVersion>, Revision)>,
        revision: Revision,
    ) {
        let known = *self;
        let version = document.and_then(|(version, written_at)| {
            let is_known = written_at <= known.revision && !known.in_doubt;
            version.or_else(|| known.version.filter(|_| is_known))
        });
        *self = Self {
            revision,
            version,
            in_doubt: false,
        };
    }

    /// Records a response to a watch from this view's revision.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use geranium_node::{
    ///     config::ConfigVersion, freshness::{DocumentEvent, StoreView}, store::Revision,
    /// };
    ///
    /// let mut view = StoreView::default();
    /// view.record_read(Some((Some(ConfigVersion(4)), Revision(20))), Revision(30));
    /// // Nothing was written at all.
    /// view.record_batch(&[], Revision(30));
    /// assert!(view.proof(Duration::ZERO).is_some());
    /// // Something was written, and the watch doesn't say what.
    /// view.record_batch(&[], Revision(31));
    /// assert!(view.proof(Duration::ZERO).is_none());
    /// view.record_batch(&[DocumentEvent::Written(ConfigVersion(5))], Revision(32));
    /// let proof = view.proof(Duration::ZERO).expect("the watch reports changes");
    /// assert_eq!(proof.version, ConfigVersion(5));
    /// ```
    pub fn record_batch(&mut self, events: &[DocumentEvent], revision: Revision) {
        if events.is_empty() {
            self.in_doubt |= revision != self.revision;
        }
        for event in events {
            match *event {
                DocumentEvent::Written(version) => {
                    self.version = Some(version);
                    self.in_doubt = false;
                }
                DocumentEvent::Unreadable | DocumentEvent::Removed => {
                    self.version = None;
                    self.in_doubt = false;
                }
                DocumentEvent::Other => {}
            }
        }
        self.revision = revision.max(self.revision);
    }

    /// Returns the revision from which a watch continues.
    pub const fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns whether a linearizable read is needed to know the latest version.
    pub const fn is_in_doubt(&self) -> bool {
        self.in_doubt
    }

    /// Returns the proof by a call to the store that was sent at `sent_at`.
    pub fn proof(&self, sent_at: Duration) -> Option<ConfigProof> {
        let version = self.version.filter(|_| !self.in_doubt)?;
        (self.revision != Revision(0)).then_some(ConfigProof {
            version,
            revision: self.revision,
            confirmed_at: sent_at,
        })
    }
}
