//! Changes that VMs tell each other are applied in order, once, and never replace newer ones.

use std::time::Duration;
use std::time::Instant;

use snipegate_gateway::NewsChange;
use snipegate_gateway::NewsInbox;
use snipegate_gateway::NewsOutbox;
use snipegate_gateway::NewsStep;
use snipegate_gateway::NewsValue;
use snipegate_gateway::StoreNews;
use snipegate_platform::StoreChange;
use snipegate_platform::StoreEra;
use snipegate_platform::StoreRevision;

const PREFIX: &str = "servers/";

/// Time after which a VM without spread has read the store for news that it missed.
const READ_TIME: Duration = Duration::from_millis(160);

fn at(number: u64) -> StoreRevision {
    StoreRevision::in_era(StoreEra(1), number)
}

fn change(number: u64, value: NewsValue) -> NewsChange {
    NewsChange {
        key: format!("{PREFIX}i-{number}"),
        revision: at(number),
        value,
    }
}

fn news(before: u64, through: u64, changes: Vec<NewsChange>) -> StoreNews {
    StoreNews {
        prefix: PREFIX.into(),
        before: at(before),
        through: at(through),
        changes,
    }
}

/// News of one write at `number`.
fn write(before: u64, number: u64) -> StoreNews {
    let value = NewsValue::Written(vec![number as u8]);
    news(before, number, vec![change(number, value)])
}

/// Returns the revisions of the changes that can be applied now.
fn applied(inbox: &mut NewsInbox, now: Instant) -> Vec<u64> {
    let mut numbers = Vec::new();
    while let NewsStep::Apply { changes, .. } = inbox.next_step(now) {
        numbers.extend(changes.iter().map(|change| change.revision.number));
    }
    numbers
}

/// Two watching VMs send each change several times, in any order: a change that is applied
/// twice or before an earlier one would undo what came in between.
#[test]
fn news_is_applied_once_and_in_order_however_it_arrives() {
    arbtest::arbtest(|u| {
        let now = Instant::now();
        let mut inbox = NewsInbox::new(at(10), 0.0);
        let (first, last) = (11, 11 + u.int_in_range(1..=8)?);
        let mut messages = Vec::new();
        for number in first..=last {
            // The other watching VM listed later, or saw two changes at once.
            messages.push(write(number - 1, number));
            let both = vec![
                change(number, NewsValue::Removed),
                change(number + 1, NewsValue::Removed),
            ];
            messages.push(news(number - 1, number + 1, both));
        }
        let mut seen = Vec::new();
        while !messages.is_empty() {
            let index = u.int_in_range(0..=messages.len() - 1)?;
            let is_repeated = u.ratio(1, 4)?;
            let message = match is_repeated {
                true => messages[index].clone(),
                false => messages.swap_remove(index),
            };
            inbox.record(message, now);
            seen.extend(applied(&mut inbox, now));
            if u.is_empty() {
                break;
            }
        }
        for message in messages {
            inbox.record(message, now);
            seen.extend(applied(&mut inbox, now));
        }
        let expected: Vec<u64> = (first..=last + 1).collect();
        assert_eq!(seen, expected);
        Ok(())
    });
}

/// A VM that applied a change without the one before it would never learn of the other.
#[test]
fn gap_leads_to_a_current_listing_and_is_not_applied() {
    let start = Instant::now();
    let mut inbox = NewsInbox::new(at(10), 0.0);
    inbox.record(write(11, 12), start);
    assert!(matches!(inbox.next_step(start), NewsStep::Wait(Some(_))));
    let late = start + READ_TIME;
    assert_eq!(inbox.next_step(late), NewsStep::ReadCurrent);
    // The listing closes the gap; what it shows is not applied again.
    inbox.record_known(at(12));
    assert_eq!(inbox.next_step(late), NewsStep::Wait(None));
}

/// Lost news that arrives in a repeat makes the listing needless, which is paid for.
#[test]
fn gap_closed_in_time_needs_no_listing() {
    let start = Instant::now();
    let mut inbox = NewsInbox::new(at(10), 0.0);
    inbox.record(write(11, 12), start);
    inbox.record(write(10, 11), start + Duration::from_millis(50));
    let late = start + READ_TIME;
    assert_eq!(applied(&mut inbox, late), [11, 12]);
    assert_eq!(inbox.next_step(late), NewsStep::Wait(None));
}

/// All copies of the news of a change are lost: the position that is sent later shows it.
#[test]
fn position_of_a_watching_vm_reveals_lost_news() {
    let start = Instant::now();
    let mut inbox = NewsInbox::new(at(10), 0.0);
    assert!(!inbox.record(news(10, 10, Vec::new()), start));
    assert!(inbox.record(news(12, 12, Vec::new()), start));
    assert_eq!(inbox.next_step(start + READ_TIME), NewsStep::ReadCurrent);
}

/// Numbers are given out again after the store came back from an older copy: news of the era
/// before, or of the one after, must not be taken for the next change.
#[test]
fn news_of_another_era_is_never_applied() {
    let start = Instant::now();
    let mut inbox = NewsInbox::new(at(10), 0.0);
    let mut later = write(10, 11);
    later.before.era = StoreEra(2);
    later.through.era = StoreEra(2);
    let mut mixed = later.clone();
    mixed.before.era = StoreEra(1);
    assert!(!inbox.record(mixed, start));
    assert!(inbox.record(later, start));
    assert!(applied(&mut inbox, start).is_empty());
    assert_eq!(inbox.next_step(start + READ_TIME), NewsStep::ReadCurrent);
    inbox.record_known(StoreRevision::in_era(StoreEra(2), 5));
    assert!(!inbox.record(write(10, 11), start));
    // A listing of the earlier era that arrives late does not lead back.
    inbox.record_known(at(20));
    assert!(!inbox.record(write(20, 21), start));
}

/// A position that the store never shows would make all VMs list without end.
#[test]
fn implausible_position_costs_a_bounded_number_of_listings() {
    let start = Instant::now();
    let mut inbox = NewsInbox::new(at(10), 0.0);
    let mut listings = 0;
    for step in 0..200 {
        let now = start + Duration::from_millis(50) * step;
        inbox.record(news(99, 99, Vec::new()), now);
        if inbox.next_step(now) == NewsStep::ReadCurrent {
            listings += 1;
            inbox.record_known(at(11));
        }
    }
    assert!((1..=10).contains(&listings), "{listings} listings in 10 s");
}

/// A configuration does not fit a datagram: a listing that may be stale comes first, since it
/// costs a tenth, and a current one follows if that was too old.
#[test]
fn omitted_content_is_read_and_not_skipped() {
    let start = Instant::now();
    let mut inbox = NewsInbox::new(at(10), 0.0);
    let omitted = vec![change(12, NewsValue::Omitted)];
    inbox.record(news(10, 12, omitted.clone()), start);
    inbox.record(news(9, 12, omitted), start);
    assert_eq!(inbox.next_step(start), NewsStep::ReadStale);
    // What it showed was newer than what was known, yet without the change.
    inbox.record_known(at(11));
    assert!(matches!(inbox.next_step(start), NewsStep::Wait(Some(_))));
    let late = start + Duration::from_secs(1);
    assert_eq!(inbox.next_step(late), NewsStep::ReadCurrent);
    inbox.record_known(at(12));
    assert_eq!(inbox.next_step(late), NewsStep::Wait(None));
}

/// Changes of a batch that are split at the wrong place, or left out, would be lost for good.
#[test]
fn batch_of_any_size_reaches_the_last_revision() {
    arbtest::arbtest(|u| {
        let start = Instant::now();
        let mut revision = 10;
        let mut changes = Vec::new();
        for number in 0..u.int_in_range(1..=40)? {
            revision += u.int_in_range(0..=2)?.max(u64::from(number == 0));
            let size = u.int_in_range(0..=2000)?;
            changes.push(StoreChange {
                key: format!("{PREFIX}i-{number}"),
                revision: at(revision),
                value: u.ratio(4, 5)?.then(|| vec![0; size]),
            });
        }
        changes.reverse();
        let through = at(revision + u.int_in_range(0..=5)?);
        let mut outbox = NewsOutbox::default();
        outbox.publish(PREFIX, at(10), through, &changes, start);
        let sent = outbox.take_due(start);
        let mut inbox = NewsInbox::new(at(10), 0.0);
        for news in sent.iter().rev() {
            inbox.record(news.clone(), start);
        }
        let mut received = 0;
        loop {
            match inbox.next_step(start) {
                NewsStep::Apply { changes, .. } => received += changes.len(),
                NewsStep::ReadStale | NewsStep::Wait(Some(_)) => return Ok(()),
                NewsStep::Wait(None) => break,
                NewsStep::ReadCurrent => panic!("a gap within a batch"),
            }
        }
        assert_eq!(received, changes.len());
        Ok(())
    });
}

/// One or two lost datagrams must not delay a change: its news is sent three times before the
/// VMs that lack it read the store.
#[test]
fn news_is_repeated_before_its_receivers_give_up() {
    let start = Instant::now();
    let mut outbox = NewsOutbox::default();
    let removal = StoreChange {
        key: format!("{PREFIX}i-1"),
        revision: at(11),
        value: None,
    };
    outbox.publish(PREFIX, at(10), at(11), &[removal], start);
    let mut copies = 0;
    for step in 0..15 {
        let now = start + Duration::from_millis(10) * step;
        copies += outbox.take_due(now).len();
    }
    assert_eq!(copies, 3);
    let rest = outbox.take_due(start + Duration::from_secs(5)).len();
    assert_eq!(rest, 1);
    assert!(outbox.take_due(start + Duration::from_secs(9)).is_empty());
}
