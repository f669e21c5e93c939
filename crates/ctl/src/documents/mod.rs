//! Preset documents in files, and differences between them.

mod checked_file;
mod field_lines;
mod preset_diff;

pub use checked_file::CheckedFile;
pub use preset_diff::PresetDiff;
