//! Leases: holders, groups and takeovers.

use std::time::Duration;

use chervilledge_policy::id::{BootId, Name};
use chervilledge_policy::lease::{Group, GroupRow, Holder, Phase, RenewalRequest, Terms, Watch};
use rstest::rstest;

const SECOND: Duration = Duration::from_secs(1);

fn terms() -> Terms {
    Terms { length: SECOND * 12, margin: SECOND * 2, checkpoint_ahead: SECOND * 4, renew_every: SECOND * 3 }
}

fn request(sequence: u64) -> RenewalRequest {
    RenewalRequest { agent: BootId(1), sequence }
}

fn agent() -> Name {
    Name::from("w0")
}

#[test]
fn a_holder_counts_from_before_its_request() {
    let mut holder = Holder::open(terms(), BootId(1));
    assert_eq!(holder.phase(Duration::ZERO), Phase::Ended);
    let first = holder.request_renewal(SECOND);
    let _second = holder.request_renewal(SECOND * 10);
    holder.granted(first);
    assert_eq!(holder.valid_until(), Some(SECOND * 13));
    assert_eq!(holder.phase(SECOND * 8), Phase::Valid);
    assert_eq!(holder.phase(SECOND * 9), Phase::CheckpointDue);
    assert_eq!(holder.phase(SECOND * 13), Phase::Ended);
    assert_eq!(holder.worker_limit(SECOND * 9), SECOND * 4);
    assert_eq!(holder.worker_limit(SECOND * 20), Duration::ZERO);
}

#[test]
fn late_and_foreign_grants_change_nothing() {
    let mut holder = Holder::open(terms(), BootId(1));
    let first = holder.request_renewal(SECOND);
    let second = holder.request_renewal(SECOND * 4);
    holder.granted(second);
    holder.granted(first);
    holder.granted(RenewalRequest { agent: BootId(2), ..second });
    holder.granted(request(99));
    assert_eq!(holder.valid_until(), Some(SECOND * 16));
}

#[test]
fn a_start_that_names_an_old_request_is_refused() {
    let mut holder = Holder::open(terms(), BootId(1));
    let old = holder.request_renewal(Duration::ZERO);
    let new = holder.request_renewal(SECOND * 10);
    assert!(!holder.is_start_current(new, SECOND * 11), "no lease yet");
    holder.granted(new);
    assert!(holder.is_start_current(old, SECOND * 11));
    assert!(!holder.is_start_current(old, SECOND * 12));
    assert!(holder.is_start_current(new, SECOND * 12));
    assert!(
        !holder.is_start_current(RenewalRequest { agent: BootId(2), ..new }, SECOND * 12),
        "request of another boot"
    );
}

#[test]
fn one_write_answers_the_newest_request_of_each_agent() {
    let mut group = Group::open(terms(), 7, Duration::ZERO);
    let other = Name::from("w1");
    group.admit(&agent());
    group.admit(&other);
    group.renewal_requested(&agent(), request(1));
    group.renewal_requested(&agent(), request(3));
    group.renewal_requested(&agent(), request(2));
    group.renewal_requested(&other, request(1));
    let mut renewal = group.begin().expect("requests are pending");
    renewal.requests.sort_by_key(|(name, _)| Name::clone(name));
    assert_eq!(renewal.counter, 8);
    assert_eq!(renewal.requests, [(agent(), request(3)), (other, request(1))]);
    group.renewal_requested(&agent(), request(4));
    assert_eq!(group.begin(), None, "one write at a time");
    assert_eq!(group.written(SECOND).len(), 2);
    assert_eq!(group.begin().expect("a request is pending").requests, [(agent(), request(4))]);
}

#[rstest]
#[case::landed(8, None, 1, false)]
#[case::lost(7, None, 0, false)]
#[case::taken(8, Some(BootId(9)), 0, true)]
fn an_unknown_write_is_resolved_by_reading(
    #[case] counter: u64,
    #[case] taken_by: Option<BootId>,
    #[case] grants: usize,
    #[case] is_lost: bool,
) {
    let mut group = Group::open(terms(), 7, Duration::ZERO);
    group.admit(&agent());
    group.renewal_requested(&agent(), request(1));
    group.begin().expect("a request is pending");
    let row = GroupRow { entry: BootId(1), group: 0, counter, taken_by };
    assert_eq!(group.reread(&row, SECOND).len(), grants);
    assert_eq!(group.is_lost(), is_lost);
    assert_eq!(group.begin().is_some(), grants == 0 && !is_lost, "an unanswered request stays pending");
}

#[test]
fn an_agent_is_granted_nothing_before_it_is_admitted() {
    let mut group = Group::open(terms(), 0, Duration::ZERO);
    group.renewal_requested(&agent(), request(1));
    assert_eq!(group.begin(), None);
    group.admit(&agent());
    assert!(group.begin().is_some());
    group.exclude(&agent());
    assert_eq!(group.written(SECOND), [], "excluded while the write was in flight");
}

#[test]
fn an_agent_that_restarted_is_excluded() {
    let mut group = Group::open(terms(), 0, Duration::ZERO);
    group.renewal_requested(&agent(), request(7));
    group.admit(&agent());
    group.renewal_requested(&agent(), RenewalRequest { agent: BootId(2), sequence: 1 });
    assert_eq!(group.begin(), None);
    group.admit(&agent());
    assert_eq!(
        group.begin().expect("a request is pending").requests,
        [(agent(), RenewalRequest { agent: BootId(2), sequence: 1 })]
    );
}

#[test]
fn an_agent_has_ended_a_lease_and_a_margin_after_its_last_grant_or_start() {
    let mut group = Group::open(terms(), 0, Duration::ZERO);
    group.admit(&agent());
    group.renewal_requested(&agent(), request(1));
    group.begin().expect("a request is pending");
    assert_eq!(group.written(SECOND).len(), 1);
    group.start_sent(&agent(), SECOND * 2);
    assert!(!group.has_agent_lease_ended(&agent(), SECOND * 99), "still admitted");
    group.exclude(&agent());
    assert!(!group.has_agent_lease_ended(&agent(), Duration::from_millis(15_999)));
    assert!(group.has_agent_lease_ended(&agent(), SECOND * 16));
    assert!(!group.forget(&agent(), SECOND * 15));
    assert!(group.forget(&agent(), SECOND * 16));
}

#[test]
fn a_new_group_waits_for_agents_that_it_does_not_know() {
    let group = Group::open(terms(), 0, SECOND * 5);
    assert!(!group.has_agent_lease_ended(&agent(), SECOND * 18));
    assert!(group.has_agent_lease_ended(&agent(), SECOND * 19));
}

#[test]
fn a_taker_waits_a_lease_and_a_margin_of_unbroken_watching() {
    let mut watch = Watch::open(terms(), SECOND * 3);
    assert_eq!(watch.takeover_counter(), None);
    watch.observe(5, Duration::ZERO, SECOND);
    for at in (2..15).step_by(2) {
        watch.observe(5, SECOND * at, SECOND * (at + 1));
        assert_eq!(watch.takeover_counter(), None, "read at {at}");
    }
    watch.observe(5, SECOND * 15, SECOND * 60);
    assert_eq!(watch.takeover_counter(), Some(5));
    watch.observe(6, SECOND * 61, SECOND * 61);
    assert_eq!(watch.takeover_counter(), None, "renewed");
}

#[test]
fn a_taker_starts_again_after_the_store_was_away() {
    let mut watch = Watch::open(terms(), SECOND * 3);
    watch.observe(5, Duration::ZERO, Duration::ZERO);
    watch.observe(5, SECOND * 60, SECOND * 60);
    assert_eq!(watch.takeover_counter(), None, "the holder gets a whole lease to renew");
}
