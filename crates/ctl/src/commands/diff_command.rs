//! `diff`.

use geranium_model::Preset;

use crate::{
    CheckedFile, CtlError, PresetCatalogue, PresetDiff, Session, invocation::PresetSource,
};

pub fn diff(
    session: &Session,
    from: &PresetSource,
    to: &PresetSource,
) -> Result<PresetDiff, CtlError> {
    Ok(PresetDiff::between(
        &load(session, from)?,
        &load(session, to)?,
    ))
}

fn load(session: &Session, source: &PresetSource) -> Result<Preset, CtlError> {
    match source {
        PresetSource::File(path) => {
            let checked = CheckedFile::try_from(path.as_path())?;
            Ok(checked.preset().clone())
        }
        PresetSource::Named(name) => {
            let catalogue = PresetCatalogue::new(session.store()?, session.patience());
            Ok(catalogue.preset(name)?.1)
        }
    }
}
