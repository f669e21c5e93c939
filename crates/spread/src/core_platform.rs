//! What the platform reported.

use std::time::Duration;

use geranium_model::{PresetVersion, ResultCode};

use crate::{
    ConfigMark, FleetAction, FleetCore, InForceRead, PlatformCall, PlatformReport,
    config_state::ConfigSource,
};

impl FleetCore {
    /// Takes in the outcome of a platform call.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use geranium_spread::{
    ///     FleetAction, FleetCore, FleetSettings, InForceRead, PlatformReport, example_row,
    /// };
    ///
    /// let mut core = FleetCore::new(FleetSettings::default(), example_row("a-1", 1), 7);
    /// let mut out = Vec::new();
    /// let record = InForceRead::Malformed { reason: "not JSON".to_owned() };
    /// let report = PlatformReport::InForce { watched: false, revision: 4, record };
    /// core.platform_report(Duration::from_secs(1), report, &mut out);
    /// assert!(matches!(out[0], FleetAction::ConfigRefused { .. }));
    /// ```
    pub fn platform_report(
        &mut self,
        now: Duration,
        report: PlatformReport,
        out: &mut Vec<FleetAction>,
    ) {
        self.enter(now);
        match report {
            PlatformReport::InForce {
                watched,
                revision,
                record,
            } => {
                self.desk.answered(watched, Some(revision));
                self.on_record(now, record, out);
            }
            PlatformReport::Unchanged { revision } => self.desk.answered(true, Some(revision)),
            PlatformReport::Content { digest, bytes } => {
                self.desk.answered(false, None);
                self.on_content(digest, bytes.as_deref(), out);
            }
            PlatformReport::Seeds { data_centre, value } => {
                self.desk.answered(false, None);
                self.on_seeds(&data_centre, value.as_deref(), out);
            }
            PlatformReport::SeedsWritten { .. } => self.desk.answered(false, None),
            PlatformReport::Failed { call } => self.on_failed(now, &call),
        }
        // A version's content is asked for at once, not at the next tick.
        self.call_platform(out);
        self.flush(out);
    }

    fn on_record(&mut self, now: Duration, record: InForceRead, out: &mut Vec<FleetAction>) {
        match record {
            InForceRead::Absent => self.config.gate.platform_vote(now, PresetVersion::NONE),
            InForceRead::Record(in_force) => {
                let version = in_force.version;
                self.config.gate.platform_vote(now, version);
                self.hear_version(in_force, ConfigSource::Platform, out);
            }
            InForceRead::Malformed { reason } => {
                self.config.gate.platform_vote(now, PresetVersion::NONE);
                self.counters.bad_documents += 1;
                let version = self
                    .config
                    .mark()
                    .map_or(PresetVersion::NONE, |mark| mark.version);
                let tag = crate::name_key(&reason);
                if self.config.first_report(ConfigMark { version, tag }) {
                    let code = ResultCode::InForceMalformed;
                    out.push(FleetAction::ConfigRefused {
                        version,
                        code,
                        reason,
                    });
                }
            }
        }
        self.try_adopt(out);
    }

    fn on_failed(&mut self, now: Duration, call: &PlatformCall) {
        self.counters.platform_failures += 1;
        self.desk.failed(now, call.is_watch(), &mut self.rng);
        match call {
            PlatformCall::ReadInForce => self.config.gate.platform_failed(),
            PlatformCall::ReadContent(digest) if self.wants(*digest) => {
                self.desk.queue(call.clone());
            }
            _ => {}
        }
    }
}
