//! Tests of operators' edits.
//!
//! If two operators edit a record concurrently, exactly one succeeds and the other
//! gets a conflict, even if replies are lost. Errors name the invalid field.

use arbtest::arbitrary::Unstructured;
use arbtest::arbtest;
use serde_json::json;
use snipegate_fleet::ConfigEdit;
use snipegate_fleet::EditStep;
use snipegate_fleet::FleetKey;
use snipegate_fleet::FleetRecord;
use snipegate_fleet::change_note;
use snipegate_fleet::set_field;
use snipegate_platform::ExpectedVersion;
use snipegate_platform::StoreError;
use snipegate_platform::StoreRevision;
use snipegate_platform::StoredValue;
use snipegate_platform::SwapOutcome;
use snipegate_types::OperationId;

const SEEDS: u64 = 1_000;
const SEED_BYTES: u64 = 1_024;

fn key() -> FleetKey {
    FleetKey::Profile("p".parse().expect("a name"))
}

fn profile(deadline_ms: u64) -> Vec<u8> {
    let record = json!({
        "model": "m", "priority": 1, "default_output_tokens": 1, "max_output_tokens": 9,
        "deadline_ms": deadline_ms, "requests_per_second": 1, "concurrent_requests": 1,
    });
    serde_json::to_vec(&record).expect("JSON")
}

fn operator(number: u64, base: Option<&StoredValue>) -> ConfigEdit {
    let operation = OperationId::from_number(number.into());
    let record = profile(100 + number);
    ConfigEdit::new(key(), base.cloned(), &record, operation).expect("a valid record")
}

/// A store with a single key, which records the applied operations.
#[derive(Default)]
struct FakeKey {
    stored: Option<StoredValue>,
    revision: u64,
    applied: Vec<OperationId>,
}

impl FakeKey {
    fn swap(&mut self, expected: ExpectedVersion, value: Vec<u8>) -> SwapOutcome {
        let holds = match (&expected, &self.stored) {
            (ExpectedVersion::Absent, None) => true,
            (ExpectedVersion::At(at), Some(stored)) => stored.revision == *at,
            _ => false,
        };
        if !holds {
            return SwapOutcome::Conflict(self.stored.clone());
        }
        self.applied
            .push(change_note(&value).expect("a note").operation);
        self.revision += 1;
        let revision = StoreRevision::new(self.revision);
        self.stored = Some(StoredValue { revision, value });
        SwapOutcome::Swapped(revision)
    }
}

/// Executes the next step of an edit and returns whether the edit has ended.
fn step(edit: &mut ConfigEdit, store: &mut FakeKey, lost: bool) -> bool {
    match edit.step() {
        EditStep::Write { expected, value } => {
            let outcome = store.swap(expected, value);
            edit.handle_write(if lost {
                Err(StoreError::ReplyLost)
            } else {
                Ok(outcome)
            });
        }
        EditStep::Read => {
            let found = store.stored.clone();
            edit.handle_read(if lost {
                Err(StoreError::ReplyLost)
            } else {
                Ok(found)
            });
        }
        EditStep::Stored(_) | EditStep::Conflict { .. } => return true,
    }
    false
}

/// Runs two operators that edit the same version, and a third one that starts later
/// from the version stored then.
fn race(u: &mut Unstructured<'_>) -> arbtest::arbitrary::Result<()> {
    let mut store = FakeKey::default();
    if u.ratio(1, 2)? {
        let _ = store.swap(ExpectedVersion::Absent, operator_value(9));
        store.applied.clear();
    }
    let base = store.stored.clone();
    let mut edits = vec![operator(1, base.as_ref()), operator(2, base.as_ref())];
    for turn in 0..40 {
        if turn == 10 {
            edits.push(operator(3, store.stored.as_ref()));
        }
        let at = u.choose_index(edits.len())?;
        let lost = u.ratio(1, 3)?;
        step(&mut edits[at], &mut store, lost);
    }
    for edit in &mut edits {
        while !step(edit, &mut store, false) {}
    }
    let first_two = [1, 2].map(OperationId::from_number);
    let successes = store
        .applied
        .iter()
        .filter(|o| first_two.contains(o))
        .count();
    assert_eq!(
        successes, 1,
        "expected one of the first two operators to succeed: {:?}",
        store.applied
    );
    for (number, edit) in edits.iter().enumerate() {
        let applied = store
            .applied
            .contains(&OperationId::from_number(number as u128 + 1));
        match edit.step() {
            EditStep::Stored(_) => assert!(applied),
            EditStep::Conflict {
                found,
                may_have_applied,
            } => {
                assert!(found.is_some(), "a conflict shows the other version");
                assert!(!applied || may_have_applied);
            }
            other => panic!("edit has not ended: {other:?}"),
        }
    }
    Ok(())
}

fn operator_value(number: u64) -> Vec<u8> {
    match operator(number, None).step() {
        EditStep::Write { value, .. } => value,
        other => panic!("expected a write: {other:?}"),
    }
}

#[test]
fn test_exactly_one_of_two_concurrent_edits_succeeds() {
    for number in 0..SEEDS {
        arbtest(race).seed(SEED_BYTES | number << 32);
    }
}

#[test]
fn test_repeated_operation_is_applied_once() {
    let mut store = FakeKey::default();
    let mut first = operator(1, None);
    step(&mut first, &mut store, true);
    // The operator repeats the command with the same operation ID.
    let mut again = operator(1, None);
    while !step(&mut again, &mut store, false) {}
    assert_eq!(again.step(), EditStep::Stored(StoreRevision::new(1)));
    assert_eq!(store.applied.len(), 1);
}

#[test]
fn test_error_names_field_value_and_accepted_range() {
    let parse_error = |record: serde_json::Value| {
        let bytes = serde_json::to_vec(&record).expect("JSON");
        let error = FleetRecord::parse(key(), StoreRevision::new(1), &bytes).expect_err("invalid");
        error.to_string()
    };
    let mut record: serde_json::Value = serde_json::from_slice(&profile(0)).expect("JSON");
    assert_eq!(
        parse_error(record.clone()),
        "deadline_ms: 0 is not accepted, expected 1 to 3600000"
    );
    set_field(&mut record, "deadlin_ms=5").expect("an assignment");
    let message = parse_error(record.clone());
    assert!(message.contains("unknown field `deadlin_ms`"), "{message}");
    assert!(set_field(&mut record, "deadline_ms").is_err());
}
