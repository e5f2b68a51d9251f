//! A table of features that crash upstreams, and its clock.

#![allow(dead_code, reason = "each test file uses only some of the items")]

use std::time::Duration;
use std::time::Instant;

use snipegate_gateway::EvidenceView;
use snipegate_gateway::FeatureChange;
use snipegate_gateway::FeatureSet;
use snipegate_gateway::FeatureTable;
use snipegate_gateway::RequestFeature;
use snipegate_gateway::UpstreamRun;
use snipegate_types::PartId;
use snipegate_types::RequestDigest;
use snipegate_types::VmId;

pub const OBJECTION_TIME: Duration = Duration::from_millis(230);

pub const FIRST: PartId = PartId(1);
pub const SUBJECT: PartId = PartId(2);
pub const DEADLY: PartId = PartId(3);

pub fn prompt(ids: &[PartId]) -> Vec<RequestFeature> {
    ids.iter().copied().map(RequestFeature::Part).collect()
}

pub fn whole(digest: u64) -> RequestFeature {
    RequestFeature::Whole(RequestDigest(digest))
}

pub fn run(upstream: u32) -> UpstreamRun {
    UpstreamRun {
        service: 1,
        upstream,
        started_ms: None,
    }
}

pub fn vm(name: &str) -> VmId {
    name.parse().expect("name should be valid")
}

pub fn set(ids: &[PartId]) -> FeatureSet {
    FeatureSet::new(prompt(ids))
}

/// A table and its clock.
pub struct TestTable {
    pub table: FeatureTable,
    pub now: Instant,
    pub crashes: u32,
}

impl TestTable {
    pub fn new() -> Self {
        Self {
            table: FeatureTable::default(),
            now: Instant::now() + Duration::from_secs(3600),
            crashes: 0,
        }
    }

    /// Another upstream crashes 300 ms later, with these parts unanswered.
    pub fn crash(&mut self, ids: &[PartId]) {
        self.pass(Duration::from_millis(300));
        self.crash_now(ids);
    }

    pub fn crash_now(&mut self, ids: &[PartId]) {
        self.crashes += 1;
        let ended = run(self.crashes);
        self.table
            .record_crash(ended, self.now, prompt(ids), self.now);
    }

    /// Another upstream crashes 300 ms later, with these requests unanswered.
    pub fn crash_of(&mut self, requests: &[Vec<RequestFeature>]) {
        self.pass(Duration::from_millis(300));
        self.crash_now_of(requests);
    }

    pub fn crash_now_of(&mut self, requests: &[Vec<RequestFeature>]) {
        self.crashes += 1;
        let ended = run(self.crashes);
        let now = self.now;
        self.table.record_crash(ended, now, requests.concat(), now);
    }

    pub fn answer_of(&mut self, features: &[RequestFeature]) {
        self.pass(Duration::from_millis(1));
        self.table.record_answer(features, self.now, self.now);
    }

    pub fn is_request_refused(&mut self, features: &[RequestFeature]) -> bool {
        self.review();
        self.table.refused(features).is_some()
    }

    pub fn answer(&mut self, ids: &[PartId]) {
        self.pass(Duration::from_millis(1));
        self.table.record_answer(&prompt(ids), self.now, self.now);
    }

    pub fn pass(&mut self, time: Duration) {
        self.now += time;
    }

    pub fn review(&mut self) -> Vec<FeatureChange> {
        self.table
            .review(OBJECTION_TIME, EvidenceView::Fleet, self.now)
    }

    pub fn is_refused(&mut self, ids: &[PartId]) -> bool {
        self.review();
        self.table.refused(&prompt(ids)).is_some()
    }

    pub fn quarantined(&mut self) -> Vec<FeatureSet> {
        self.review();
        self.pass(OBJECTION_TIME);
        self.review();
        let records = self.table.records().into_iter();
        records.map(|record| record.features).collect()
    }
}

/// The parts of a prompt and the whole of it.
pub fn request(digest: u64, parts: &[PartId]) -> Vec<RequestFeature> {
    let mut features = prompt(parts);
    features.push(whole(digest));
    features
}
