//! One of the threads that send requests.

use std::{
    thread,
    time::{Duration, Instant},
};

use geranium_model::RequestClass;

use crate::{
    Arrival, FileCheck, LoadPlan, TryRecord, call_sender::CallTry, once_order::send_order,
    request_tally::RequestResult, target_group::TargetGroup,
};

/// A request and all its tries, when it has ended.
pub(crate) type EndedRequest = (RequestResult, Vec<TryRecord>);

/// Takes arrivals from its target's schedule and carries them out.
#[derive(Debug)]
pub(crate) struct LoadWorker<'a> {
    plan: &'a LoadPlan,
    run_name: &'a str,
    group: &'a TargetGroup,
}

impl<'a> LoadWorker<'a> {
    pub(crate) fn new(plan: &'a LoadPlan, run_name: &'a str, group: &'a TargetGroup) -> Self {
        Self {
            plan,
            run_name,
            group,
        }
    }

    pub(crate) fn plan(&self) -> &LoadPlan {
        self.plan
    }

    /// Carries out arrivals until the schedule ends.
    pub(crate) fn run(&self) -> Vec<EndedRequest> {
        let mut ended = Vec::new();
        while let Some(arrival) = self.group.next() {
            let intended = self.group.started + arrival.at;
            thread::sleep(intended.saturating_duration_since(Instant::now()));
            let late_by = intended.elapsed();
            let tries = self.carry_out(arrival);
            let result = self.result(arrival, late_by, intended.elapsed(), &tries);
            ended.push((result, tries));
        }
        ended
    }

    /// Sends a try through the target with this number, counted around.
    pub(crate) fn send(&self, target: usize, call: &CallTry<'_>) -> TryRecord {
        self.group
            .sender
            .send(self.plan.targets[target % self.plan.targets.len()], call)
    }

    /// Asks for a ticket, through other nodes if need be.
    pub(crate) fn ticket(&self, call: &CallTry<'_>, target: usize) -> Option<String> {
        (0..self.plan.tries as usize).find_map(|number| {
            let node = self.plan.targets[(target + number) % self.plan.targets.len()];
            self.group.sender.ticket(node, call.service, call.patience)
        })
    }

    fn carry_out(&self, arrival: Arrival) -> Vec<TryRecord> {
        let entry = &self.plan.mix[arrival.entry];
        let caller = format!("caller-{}", arrival.caller);
        let key = format!("key-{}", arrival.key);
        let body = format!("order {} of {caller}", arrival.number);
        let file = FileCheck {
            bytes: entry.bytes,
            seed: arrival.seed.into(),
        };
        let file_path = format!("{}/file/{}/{}", entry.path, entry.bytes, arrival.seed);
        let call = CallTry {
            request: arrival.number,
            request_id: format!("{}-{}", self.run_name, arrival.number),
            ticket: None,
            class: entry.class,
            caller: &caller,
            key: &key,
            path: &entry.path,
            service: &entry.service,
            body: None,
            file: None,
            patience: self.plan.patience,
        };
        match entry.class {
            RequestClass::Once => send_order(
                self,
                &CallTry {
                    body: Some(&body),
                    ..call
                },
                arrival.target,
            ),
            RequestClass::Short => self.send_repeatable(&call, arrival.target),
            RequestClass::Bulk => {
                let patience = self.plan.bulk_patience;
                let call = CallTry {
                    path: &file_path,
                    file: Some(file),
                    patience,
                    ..call
                };
                self.send_repeatable(&call, arrival.target)
            }
        }
    }

    /// Sends a request that may run twice, and again while there is no answer.
    fn send_repeatable(&self, first: &CallTry<'_>, target: usize) -> Vec<TryRecord> {
        let mut records: Vec<TryRecord> = Vec::new();
        for number in 0..self.plan.tries {
            let request_id = format!("{}-{number}", first.request_id);
            let call = CallTry {
                request_id,
                ..first.clone()
            };
            let record = self.send(target + number as usize, &call);
            let again = record.verdict.invites_resend();
            records.push(record);
            if !again {
                break;
            }
        }
        records
    }

    fn result(
        &self,
        arrival: Arrival,
        late_by: Duration,
        latency: Duration,
        tries: &[TryRecord],
    ) -> RequestResult {
        let last = tries.last();
        RequestResult {
            class: self.plan.mix[arrival.entry].class,
            hot: arrival.caller == 0,
            verdict: last.map(|record| record.verdict),
            code: last.and_then(|record| record.code),
            tries: tries.len(),
            late_by,
            latency,
        }
    }
}
