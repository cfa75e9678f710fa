//! State machine of a request in an entry.

use std::time::Duration;

use chervilledge_policy::code::Code;
use chervilledge_policy::id::{BootId, Name, RequestId};
use chervilledge_policy::request::{Action, End, Event, Origin, Outcome, Request, Spec};
use chervilledge_policy::retry::{RetryBudget, Settings};
use chervilledge_policy::routing::Choice;
use rstest::rstest;

const DEADLINE: Duration = Duration::from_secs(1);
const LINK_LOST_AT: Duration = Duration::from_millis(10);

fn id(sequence: u64) -> RequestId {
    RequestId { entry: BootId(1), sequence }
}

fn origin(sequence: u64, epoch: u32) -> Origin {
    Origin { id: id(sequence), epoch }
}

fn choice(worker: &str) -> Choice {
    Choice { worker: Name::from(worker), agent_boot: BootId(5) }
}

fn spec(idempotent: bool) -> Spec {
    Spec { idempotent, deadline: DEADLINE, outcome_timeout: Duration::from_millis(200) }
}

/// Creates a request dispatched to worker `a` as dispatch 1.
fn dispatched(idempotent: bool, settings: Settings) -> (Request, RetryBudget) {
    let mut budget = RetryBudget::new(settings, 1);
    let (mut request, actions) = Request::open(Duration::ZERO, spec(idempotent), &mut budget);
    assert_eq!(actions, [Action::Dispatch]);
    let event = Event::Dispatched { id: id(1), choice: choice("a") };
    assert_eq!(request.on(Duration::ZERO, &event, &mut budget), []);
    (request, budget)
}

fn send_event(request: &mut Request, budget: &mut RetryBudget, event: &Event) -> Vec<Action> {
    request.on(LINK_LOST_AT, event, budget)
}

fn not_started(sequence: u64) -> Event {
    Event::NotStarted { id: id(sequence), code: Code::Overloaded, retry_after: Duration::from_secs(2) }
}

#[test]
fn forwards_a_whole_answer() {
    let (mut request, mut budget) = dispatched(false, Settings::default());
    let head = Event::Head { origin: origin(1, 0), length_bytes: Some(5) };
    let first = Event::Chunk { origin: origin(1, 0), offset_bytes: 0, length_bytes: 3 };
    let second = Event::Chunk { origin: origin(1, 0), offset_bytes: 3, length_bytes: 2 };
    let end = Event::End { origin: origin(1, 0), total_bytes: 5 };
    assert_eq!(send_event(&mut request, &mut budget, &head), [Action::ForwardHead]);
    assert_eq!(send_event(&mut request, &mut budget, &first), [Action::ForwardChunk]);
    assert_eq!(send_event(&mut request, &mut budget, &first), [Action::Drop]);
    assert_eq!(send_event(&mut request, &mut budget, &second), [Action::ForwardChunk]);
    assert_eq!(send_event(&mut request, &mut budget, &end), [Action::Finish(End::Answered)]);
    assert_eq!(send_event(&mut request, &mut budget, &end), [Action::Drop]);
    assert_eq!(request.wake_at(), None);
}

#[rstest]
#[case::gap(Event::Chunk { origin: origin(1, 0), offset_bytes: 1, length_bytes: 2 })]
#[case::beyond_the_declared_length(Event::Chunk { origin: origin(1, 0), offset_bytes: 0, length_bytes: 6 })]
#[case::short(Event::End { origin: origin(1, 0), total_bytes: 5 })]
#[case::shorter_than_declared(Event::End { origin: origin(1, 0), total_bytes: 0 })]
#[case::broken(Event::Broken { origin: origin(1, 0) })]
#[case::link_lost(Event::LinkLost { id: id(1) })]
#[case::caller_cancelled(Event::CallerCancelled)]
fn an_answer_that_is_not_whole_is_visibly_broken(#[case] event: Event, #[values(false, true)] idempotent: bool) {
    let (mut request, mut budget) = dispatched(idempotent, Settings::default());
    send_event(&mut request, &mut budget, &Event::Head { origin: origin(1, 0), length_bytes: Some(5) });
    let actions = send_event(&mut request, &mut budget, &event);
    assert_eq!(actions[0], Action::Cancel { id: id(1), choice: choice("a") });
    assert!(matches!(actions[1..], [Action::Finish(End::Unknown { answer_begun: true, .. })]), "{actions:?}");
}

#[rstest]
fn not_started_is_retried_elsewhere(#[values(false, true)] idempotent: bool) {
    let (mut request, mut budget) = dispatched(idempotent, Settings::default());
    assert_eq!(send_event(&mut request, &mut budget, &not_started(1)), []);
    let wake_at = request.wake_at().expect("a retry is due");
    assert!(wake_at < DEADLINE);
    assert_eq!(request.on(wake_at, &Event::Tick, &mut budget), [Action::Dispatch]);
    assert_eq!(request.excluded(), [Name::from("a")]);
}

#[test]
fn not_started_without_budget_is_not_run_at_once() {
    let settings = Settings { budget_max: 0.5, ..Settings::default() };
    let (mut request, mut budget) = dispatched(false, settings);
    let actions = send_event(&mut request, &mut budget, &not_started(1));
    let [Action::Finish(End::NotRun { code: Code::Overloaded, retry_after })] = actions[..] else {
        panic!("{actions:?}")
    };
    assert!(retry_after >= Duration::from_secs(2), "{retry_after:?}");
}

#[test]
fn a_refusal_by_the_only_agent_sets_when_to_come_back() {
    let (mut request, mut budget) = dispatched(false, Settings::default());
    send_event(&mut request, &mut budget, &not_started(1));
    let wake_at = request.wake_at().expect("a retry is due");
    request.on(wake_at, &Event::Tick, &mut budget);
    let event = Event::NotDispatched { code: Code::Overloaded, retry_after: Duration::ZERO };
    let actions = send_event(&mut request, &mut budget, &event);
    let [Action::Finish(End::NotRun { retry_after, .. })] = actions[..] else { panic!("{actions:?}") };
    assert!(retry_after >= Duration::from_secs(2), "{retry_after:?}");
}

#[rstest]
#[case(Outcome::AnswerLost)]
#[case(Outcome::Forgotten)]
#[case(Outcome::UnknownBoot)]
fn a_request_that_may_have_run_is_unknown_unless_idempotent(#[case] outcome: Outcome) {
    let (mut request, mut budget) = dispatched(false, Settings::default());
    let query = Action::QueryOutcome { origin: origin(1, 1), choice: choice("a") };
    assert_eq!(send_event(&mut request, &mut budget, &Event::LinkLost { id: id(1) }), [query]);
    let event = Event::Outcome { origin: origin(1, 1), outcome };
    let actions = send_event(&mut request, &mut budget, &event);
    assert!(matches!(actions[1..], [Action::Finish(End::Unknown { answer_begun: false, .. })]), "{actions:?}");
}

#[test]
fn a_request_that_never_started_is_retried_after_a_lost_link() {
    let (mut request, mut budget) = dispatched(false, Settings::default());
    send_event(&mut request, &mut budget, &Event::LinkLost { id: id(1) });
    let event = Event::Outcome { origin: origin(1, 1), outcome: Outcome::NeverStarted };
    assert_eq!(send_event(&mut request, &mut budget, &event), []);
    let wake_at = request.wake_at().expect("a retry is due");
    assert_eq!(request.on(wake_at, &Event::Tick, &mut budget), [Action::Dispatch]);
}

#[test]
fn a_running_request_is_answered_on_the_new_link_only() {
    let (mut request, mut budget) = dispatched(false, Settings::default());
    send_event(&mut request, &mut budget, &Event::LinkLost { id: id(1) });
    let running = Event::Outcome { origin: origin(1, 1), outcome: Outcome::Running };
    assert_eq!(send_event(&mut request, &mut budget, &running), []);
    let late = Event::Head { origin: origin(1, 0), length_bytes: None };
    assert_eq!(send_event(&mut request, &mut budget, &late), [Action::Drop]);
    let head = Event::Head { origin: origin(1, 1), length_bytes: None };
    assert_eq!(send_event(&mut request, &mut budget, &head), [Action::ForwardHead]);
}

#[test]
fn an_unanswered_query_ends_the_wait() {
    let (mut request, mut budget) = dispatched(false, Settings::default());
    send_event(&mut request, &mut budget, &Event::LinkLost { id: id(1) });
    let until = LINK_LOST_AT + spec(false).outcome_timeout;
    assert_eq!(request.wake_at(), Some(until));
    let actions = request.on(until, &Event::Tick, &mut budget);
    assert!(matches!(actions[1..], [Action::Finish(End::Unknown { answer_begun: false, .. })]), "{actions:?}");
}

#[test]
fn an_idempotent_request_is_retried_at_once_after_a_lost_link() {
    let (mut request, mut budget) = dispatched(true, Settings::default());
    let actions = send_event(&mut request, &mut budget, &Event::LinkLost { id: id(1) });
    assert_eq!(actions, [Action::Cancel { id: id(1), choice: choice("a") }]);
    let wake_at = request.wake_at().expect("a retry is due");
    assert_eq!(request.on(wake_at, &Event::Tick, &mut budget), [Action::Dispatch]);
    let event = Event::NotDispatched { code: Code::Overloaded, retry_after: Duration::ZERO };
    let actions = send_event(&mut request, &mut budget, &event);
    assert!(matches!(actions[..], [Action::Finish(End::Unknown { .. })]), "{actions:?}");
}

#[test]
fn a_deadline_before_the_dispatch_is_not_run() {
    let mut budget = RetryBudget::new(Settings::default(), 1);
    let (mut request, _) = Request::open(Duration::ZERO, spec(false), &mut budget);
    let event = Event::Dispatched { id: id(1), choice: choice("a") };
    let actions = request.on(DEADLINE, &event, &mut budget);
    assert_eq!(actions[0], Action::Cancel { id: id(1), choice: choice("a") });
    assert!(matches!(actions[1..], [Action::Finish(End::NotRun { code: Code::DeadlineBeforeStart, .. })]));
    let (request, actions) = Request::open(DEADLINE, spec(false), &mut budget);
    assert!(matches!(actions[..], [Action::Finish(End::NotRun { code: Code::DeadlineBeforeStart, .. })]));
    assert_eq!(request.attempts(), 0);
}

#[test]
fn a_deadline_after_the_dispatch_is_unknown() {
    let (mut request, mut budget) = dispatched(false, Settings::default());
    let actions = request.on(DEADLINE, &Event::Tick, &mut budget);
    assert!(matches!(actions[1..], [Action::Finish(End::Unknown { answer_begun: false, .. })]), "{actions:?}");
    assert_eq!(
        send_event(&mut request, &mut budget, &Event::Head { origin: origin(1, 0), length_bytes: None }),
        [Action::Drop]
    );
}

#[rstest]
#[case::idempotent(true, 1)]
#[case::not_idempotent(false, 0)]
fn only_an_idempotent_request_is_hedged(#[case] idempotent: bool, #[case] dispatches: usize) {
    let hedge_after = Some(Duration::from_millis(20));
    let (mut request, mut budget) = dispatched(idempotent, Settings { hedge_after, ..Settings::default() });
    let actions = request.on(Duration::from_millis(20), &Event::Tick, &mut budget);
    assert_eq!(actions, vec![Action::Dispatch; dispatches]);
}

#[test]
fn the_first_answer_cancels_the_other_dispatch() {
    let hedge_after = Some(Duration::from_millis(20));
    let (mut request, mut budget) = dispatched(true, Settings { hedge_after, ..Settings::default() });
    request.on(Duration::from_millis(20), &Event::Tick, &mut budget);
    send_event(&mut request, &mut budget, &Event::Dispatched { id: id(2), choice: choice("b") });
    let actions = send_event(&mut request, &mut budget, &Event::Head { origin: origin(2, 0), length_bytes: None });
    assert_eq!(actions, [Action::Cancel { id: id(1), choice: choice("a") }, Action::ForwardHead]);
    let late = Event::Head { origin: origin(1, 0), length_bytes: None };
    assert_eq!(send_event(&mut request, &mut budget, &late), [Action::Drop]);
}
