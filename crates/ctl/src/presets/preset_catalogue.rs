//! The operators' named presets.

use geranium_model::{
    ContentDigest, OperationId, Preset, PresetDocument, PresetName, platform_keys,
};
use geranium_platform::{Entry, PlatformStore, Revision};
use snafu::{OptionExt, ResultExt};

use super::{PresetPointer, record};
use crate::{
    CtlError, GuardedWrite, Patience, Settled, WriteStamp,
    ctl_error::{BadContentSnafu, MissingContentSnafu, PlatformSnafu, UnknownPresetSnafu},
    settle,
};

/// Named presets in the platform.
#[derive(Debug, Clone, Copy)]
pub struct PresetCatalogue<'a> {
    store: &'a dyn PlatformStore,
    patience: Patience,
}

/// A preset that was stored, or stood there already.
#[derive(Debug, Clone)]
pub struct StoredPreset {
    /// What the name stands for now.
    pub pointer: PresetPointer,
    /// False when an answer was lost and the own write was recognised.
    pub answered: bool,
    /// The name stood for this content already; nothing was written.
    pub unchanged: bool,
}

impl<'a> PresetCatalogue<'a> {
    /// Looks at the presets in `store`.
    pub const fn new(store: &'a dyn PlatformStore, patience: Patience) -> Self {
        Self { store, patience }
    }

    /// Lists every named preset, by name; may be stale.
    ///
    /// # Errors
    ///
    /// [`CtlError::Platform`], or [`CtlError::BadRecord`].
    pub fn list(&self) -> Result<Vec<PresetPointer>, CtlError> {
        let entries = self
            .store
            .list(platform_keys::PRESETS_PREFIX)
            .context(PlatformSnafu)?;
        entries.iter().map(record::parse).collect()
    }

    /// Returns what `name` stands for now.
    ///
    /// # Errors
    ///
    /// [`CtlError::UnknownPreset`], or a failure of the platform.
    pub fn pointer(&self, name: &PresetName) -> Result<PresetPointer, CtlError> {
        let found = record::latest(self.store, &platform_keys::preset(name))?;
        let preset = name.as_str();
        found
            .map(|(_, pointer)| pointer)
            .context(UnknownPresetSnafu { preset })
    }

    /// Returns the checked content that `name` stands for now.
    ///
    /// # Errors
    ///
    /// [`CtlError::UnknownPreset`]; [`CtlError::MissingContent`],
    /// [`CtlError::DigestMismatch`] or [`CtlError::BadContent`] when the
    /// platform's content is bad; a failure of the platform.
    pub fn preset(&self, name: &PresetName) -> Result<(PresetPointer, Preset), CtlError> {
        let pointer = self.pointer(name)?;
        let digest = pointer.digest;
        let entry = self.content(digest)?;
        let entry = entry.context(MissingContentSnafu {
            preset: name.clone(),
            digest,
        })?;
        Ok((pointer, checked(digest, &entry)?))
    }

    /// Reads content, which never changes: only its absence can be stale.
    fn content(&self, digest: ContentDigest) -> Result<Option<Entry>, CtlError> {
        let key = platform_keys::content(digest);
        let found = self.store.get(&key).context(PlatformSnafu)?;
        match found {
            Some(entry) => Ok(Some(entry)),
            None => self.store.get_latest(&key).context(PlatformSnafu),
        }
    }

    /// Stores `preset` under `name`.
    ///
    /// With `expected` the name must stand for that content, so that an edit
    /// made meanwhile isn't overwritten unseen. Content goes first: a crash in
    /// between leaves content without a name, never a name without content.
    ///
    /// # Errors
    ///
    /// [`CtlError::LostPut`] when another operator came first;
    /// [`CtlError::PutUnknown`]; a failure of the platform.
    pub fn put(
        &self,
        name: &PresetName,
        preset: &Preset,
        expected: Option<ContentDigest>,
        stamp: &WriteStamp,
    ) -> Result<StoredPreset, CtlError> {
        let key = platform_keys::preset(name);
        let former: Option<(Entry, PresetPointer)> = record::latest(self.store, &key)?;
        let digest_before = former.as_ref().map(|(_, pointer)| pointer.digest);
        if expected.is_some() && expected != digest_before {
            return Err(lost(former.map(|(_, pointer)| pointer)));
        }
        self.put_content(preset, stamp)?;
        let revision = former
            .as_ref()
            .map_or(Revision::NONE, |(entry, _)| entry.revision);
        let before = former.map(|(_, pointer)| pointer);
        if let Some(pointer) = before
            .clone()
            .filter(|found| found.digest == preset.digest())
        {
            return Ok(StoredPreset {
                pointer,
                answered: true,
                unchanged: true,
            });
        }
        let pointer = PresetPointer {
            preset: name.clone(),
            digest: preset.digest(),
            operation: stamp.operation.clone(),
            replaces: before.map(|pointer| pointer.operation),
            operator: stamp.operator.clone(),
            written_at_ms: stamp.written_at_ms,
        };
        self.put_pointer(key, revision, pointer)
    }

    fn put_content(&self, preset: &Preset, stamp: &WriteStamp) -> Result<(), CtlError> {
        let write = GuardedWrite {
            key: platform_keys::content(preset.digest()),
            expected: Revision::NONE,
            value: preset.document().canonical_bytes(),
        };
        match settle(self.store, &write, self.patience).context(PlatformSnafu)? {
            Settled::Written { .. } => Ok(()),
            Settled::Lost { .. } | Settled::Overtaken { .. } => Err(CtlError::DigestMismatch {
                digest: preset.digest(),
            }),
            Settled::Unknown { source } => Err(CtlError::PutUnknown {
                operation: stamp.operation.clone(),
                reason: source.to_string(),
            }),
        }
    }

    fn put_pointer(
        &self,
        key: String,
        expected: Revision,
        pointer: PresetPointer,
    ) -> Result<StoredPreset, CtlError> {
        let value = record::bytes(&pointer);
        let write = GuardedWrite {
            key,
            expected,
            value,
        };
        match settle(self.store, &write, self.patience).context(PlatformSnafu)? {
            Settled::Written { answered } => Ok(StoredPreset {
                pointer,
                answered,
                unchanged: false,
            }),
            Settled::Lost { current } => {
                Err(lost(current.as_ref().map(record::parse).transpose()?))
            }
            Settled::Overtaken { current } => judge_overtaken(pointer, current.as_ref()),
            Settled::Unknown { source } => Err(unknown(&pointer.operation, source.to_string())),
        }
    }
}

/// Decides by the link to the record before what became of an own write.
fn judge_overtaken(own: PresetPointer, current: Option<&Entry>) -> Result<StoredPreset, CtlError> {
    let current: Option<PresetPointer> = current.map(record::parse).transpose()?;
    let replaced = current
        .as_ref()
        .and_then(|pointer| pointer.replaces.as_ref());
    if current.is_some() && replaced == Some(&own.operation) {
        return Ok(StoredPreset {
            pointer: own,
            answered: false,
            unchanged: false,
        });
    }
    if current.is_some() && replaced == own.replaces.as_ref() {
        return Err(lost(current));
    }
    let reason = "the preset was changed several times since".to_owned();
    Err(unknown(&own.operation, reason))
}

fn lost(current: Option<PresetPointer>) -> CtlError {
    CtlError::LostPut {
        current: current.map(Box::new),
    }
}

fn unknown(operation: &OperationId, reason: String) -> CtlError {
    CtlError::PutUnknown {
        operation: operation.clone(),
        reason,
    }
}

fn checked(digest: ContentDigest, entry: &Entry) -> Result<Preset, CtlError> {
    if ContentDigest::of(&entry.value) != digest {
        return Err(CtlError::DigestMismatch { digest });
    }
    let document = PresetDocument::parse(&entry.value).context(BadContentSnafu { digest })?;
    Preset::try_from(document).context(BadContentSnafu { digest })
}
