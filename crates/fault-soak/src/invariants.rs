//! The oracle: which promises the records of a run show broken. It knows the pages and not the program.

use crate::lateness::Lateness;
use crate::recorder::{Answer, Event, Incarnation, ProcessEvent, Record, RequestClass, RequestNumber};
use crate::settings::{DEDUPLICATION_WINDOW, DRAIN_GRACE, MAX_ATTEMPTS};
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

/// Every time limit is so much longer on sockets (page PROTOCOL).
const SOCKET_SLACK: Duration = Duration::from_millis(50);
/// An answer that is later than its request's time by more than this is lost (page STANDING).
const LATE_LIMIT: Duration = Duration::from_millis(500);
/// An attempt that begins later after its client has left is lost (terms of 2026-12-02).
const LEFT_LIMIT: Duration = Duration::from_millis(100);
/// A worker is told of at most this much more time than the client has left (terms of 2026-12-02).
const TIME_LIMIT_SLACK: Duration = Duration::from_millis(150);
/// A request that crosses the end of its connection by less is sent again (page PROTOCOL).
const CROSSING: Duration = Duration::from_millis(50);
/// What the list says counts as told after this time at the latest, whatever is wrong with discovery (page TERMS).
const TOLD_LIMIT: Duration = Duration::from_secs(4);

/// A kind of broken promise, with its id in `docs/promises.md`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum Promise {
    /// A1: a request got no final answer.
    Unanswered,
    /// A1: a request got its answer too late.
    AnsweredLate,
    /// A1: a request got a second answer.
    AnsweredTwice,
    /// A5: 'served' with another body than the worker's, or without a worker.
    WrongBody,
    /// B1: a request was sent again that must not run twice, or was refused although it may have run.
    UnsafeRepeat,
    /// B2: an attempt began after its client had left.
    SentAfterLeaving,
    /// B3: a worker was told of more time than the client had left.
    TimeLimitTooLong,
    /// B4: more attempts than allowed.
    TooManyAttempts,
    /// B5: something new was sent to a draining worker.
    SentWhileDraining,
    /// C1, C2: a process has ended that nobody asked to, or not with success.
    Crashed,
    /// A process was not ready or not gone in time, or says that a promise is broken.
    ProcessBroken,
    /// Service did not come back after the faults.
    NoRecovery,
}

/// A broken promise.
#[derive(Clone, Debug)]
pub(crate) struct Finding {
    pub(crate) promise: Promise,
    pub(crate) at: Duration,
    pub(crate) request: Option<RequestNumber>,
    pub(crate) text: String,
}

/// All that the records say of one request.
#[derive(Clone, Debug)]
struct RequestHistory {
    class: RequestClass,
    sent_at: Duration,
    allowed: Duration,
    connection: u64,
    incarnation: Incarnation,
    answers: Vec<(Duration, Answer, bool)>,
    left_at: Option<Duration>,
    arrivals: Vec<Arrival>,
}

#[derive(Clone, Copy, Debug)]
struct Arrival {
    at: Duration,
    time_limit: Duration,
    runs: bool,
    is_prompt: bool,
}

/// What the records say, by what it is about.
#[derive(Debug, Default)]
struct Histories {
    requests: BTreeMap<RequestNumber, RequestHistory>,
    connections_ended: HashMap<u64, Duration>,
    killed: HashMap<Incarnation, Duration>,
    /// When each worker was drained, and when it was ready again.
    drains: HashMap<usize, Vec<(Duration, Option<Duration>)>>,
    /// When faults that delay the list began and ended.
    list_delays: Vec<(Duration, bool)>,
    /// What has come to each worker.
    worker_arrivals: Vec<(usize, Duration, bool)>,
    findings: Vec<Finding>,
}

/// The broken promises of a run that ended at `end`, in the order of their times.
pub(crate) fn check(records: &[Record], end: Duration, lateness: &Lateness) -> Vec<Finding> {
    let mut histories = Histories::default();
    for record in records {
        histories.add(record);
    }
    let mut findings = std::mem::take(&mut histories.findings);
    for (number, request) in &histories.requests {
        let broken = [
            histories.check_answers(request, end, lateness),
            check_repeats(request),
            check_leaving(request, lateness),
            check_time_limits(request, lateness),
        ];
        findings.extend(broken.into_iter().flatten().map(|(promise, at, text)| Finding {
            promise,
            at,
            request: Some(*number),
            text,
        }));
    }
    findings.extend(histories.check_drains(lateness));
    findings.sort_by_key(|finding| finding.at);
    findings
}

/// A broken promise of one request.
type Broken = (Promise, Duration, String);

impl Histories {
    fn add(&mut self, record: &Record) {
        let at = record.at;
        match &record.event {
            Event::Sent { request, .. }
            | Event::Answered { request, .. }
            | Event::Left { request }
            | Event::Arrived { request, .. } => {
                let history = self
                    .requests
                    .entry(*request)
                    .or_insert_with(RequestHistory::unsent);
                history.add(at, &record.event);
            }
            Event::ConnectionEnded { connection } => {
                self.connections_ended.insert(*connection, at);
            }
            Event::Draining { worker } => self.drains.entry(*worker).or_default().push((at, None)),
            Event::Ready { worker } => {
                if let Some((_, ready_at)) = self.drains.entry(*worker).or_default().last_mut() {
                    *ready_at = Some(at);
                }
            }
            Event::Process { incarnation, event } => self.add_process_event(at, *incarnation, event),
            Event::Fault {
                begins, delays_list, ..
            } => {
                if *delays_list {
                    self.list_delays.push((at, *begins));
                }
            }
            Event::LoadArrived { .. } => {}
        }
        if let Event::Arrived {
            worker, is_prompt, ..
        }
        | Event::LoadArrived { worker, is_prompt } = &record.event
        {
            self.worker_arrivals.push((*worker, at, *is_prompt));
        }
    }

    fn add_process_event(&mut self, at: Duration, incarnation: Incarnation, event: &ProcessEvent) {
        let (promise, text) = match event {
            ProcessEvent::Killed => {
                self.killed.insert(incarnation, at);
                return;
            }
            ProcessEvent::Ended { success, was_asked } => {
                let was_killed = self.killed.contains_key(&incarnation);
                if was_killed || *success && *was_asked {
                    return;
                }
                let text = format!("{incarnation:?} ended, success: {success}, asked to: {was_asked}");
                (Promise::Crashed, text)
            }
            ProcessEvent::Broken(text) => (Promise::ProcessBroken, format!("{incarnation:?} {text}")),
            ProcessEvent::Started | ProcessEvent::Ready | ProcessEvent::Terminated => return,
        };
        self.findings.push(Finding {
            promise,
            at,
            request: None,
            text,
        });
    }

    fn check_answers(&self, request: &RequestHistory, end: Duration, lateness: &Lateness) -> Option<Broken> {
        let due_at = request.sent_at + request.allowed + LATE_LIMIT + SOCKET_SLACK;
        let due_at = due_at + lateness.around(due_at);
        if request.answers.len() > 1 {
            return Some((
                Promise::AnsweredTwice,
                request.answers[1].0,
                format!("{:?}", request.answers),
            ));
        }
        let Some((at, answer, body_is_right)) = request.answers.first().copied() else {
            return self.check_unanswered(request, due_at, end);
        };
        if at > due_at && request.left_at.is_none() {
            let text = format!("sent at {:?}, allowed {:?}", request.sent_at, request.allowed);
            return Some((Promise::AnsweredLate, at, text));
        }
        let ran = request.arrivals.iter().any(|arrival| arrival.runs);
        if answer == Answer::Served && !(body_is_right && ran) {
            return Some((
                Promise::WrongBody,
                at,
                format!("body right: {body_is_right}, ran: {ran}"),
            ));
        }
        let ran_before = request
            .arrivals
            .iter()
            .any(|arrival| arrival.runs && arrival.at < at);
        if answer == Answer::Rejected && request.class == RequestClass::NonIdempotent && ran_before {
            return Some((
                Promise::UnsafeRepeat,
                at,
                "refused although it has run".to_owned(),
            ));
        }
        None
    }

    fn check_unanswered(&self, request: &RequestHistory, due_at: Duration, end: Duration) -> Option<Broken> {
        let was_killed = self
            .killed
            .get(&request.incarnation)
            .is_some_and(|at| *at < due_at);
        let ended_at = self.connections_ended.get(&request.connection);
        let crossed = ended_at.is_some_and(|at| at.saturating_sub(request.sent_at) < CROSSING);
        if request.left_at.is_some() || was_killed || crossed || due_at > end || !request.was_sent() {
            return None;
        }
        let text = format!(
            "sent at {:?} to {:?}, allowed {:?}, connection {} ended at {ended_at:?}",
            request.sent_at, request.incarnation, request.allowed, request.connection
        );
        Some((Promise::Unanswered, ended_at.copied().unwrap_or(due_at), text))
    }

    /// How long after a change of the list it counts as told to everybody, where something was sent at a later time.
    fn list_delay(&self, changed_at: Duration, sent_at: Duration) -> Duration {
        let mut running = 0;
        for (at, begins) in &self.list_delays {
            if *at > sent_at {
                break;
            }
            running += if *begins { 1 } else { -1 };
            let is_recent = *at + TOLD_LIMIT > changed_at;
            if is_recent {
                return TOLD_LIMIT;
            }
        }
        if running > 0 { TOLD_LIMIT } else { Duration::ZERO }
    }

    fn check_drains(&self, lateness: &Lateness) -> Vec<Finding> {
        let mut findings = Vec::new();
        for (worker, at, is_prompt) in &self.worker_arrivals {
            let drains = self.drains.get(worker).into_iter().flatten();
            for (drained_at, ready_at) in drains {
                let told_at = *drained_at + self.list_delay(*drained_at, *at);
                let limit = told_at + DRAIN_GRACE + SOCKET_SLACK + lateness.around(*at);
                if *is_prompt && *at > limit && ready_at.is_none_or(|ready_at| *at < ready_at) {
                    findings.push(Finding {
                        promise: Promise::SentWhileDraining,
                        at: *at,
                        request: None,
                        text: format!("worker {worker} drained at {drained_at:?}"),
                    });
                }
            }
        }
        findings
    }
}

impl RequestHistory {
    /// A request of which something was seen before its client had noted that it was sent.
    fn unsent() -> RequestHistory {
        RequestHistory {
            class: RequestClass::Idempotent,
            sent_at: Duration::MAX / 4,
            allowed: Duration::ZERO,
            connection: 0,
            incarnation: Incarnation {
                scheduler: usize::MAX,
                generation: 0,
            },
            answers: Vec::new(),
            left_at: None,
            arrivals: Vec::new(),
        }
    }

    /// Adds what was seen of this request.
    fn add(&mut self, at: Duration, event: &Event) {
        match *event {
            Event::Sent {
                class,
                allowed,
                connection,
                incarnation,
                ..
            } => {
                self.class = class;
                self.sent_at = at;
                self.allowed = allowed;
                self.connection = connection;
                self.incarnation = incarnation;
            }
            Event::Answered {
                answer,
                body_is_right,
                ..
            } => self.answers.push((at, answer, body_is_right)),
            Event::Left { .. } => self.left_at = Some(at),
            Event::Arrived {
                time_limit,
                runs,
                is_prompt,
                ..
            } => self.arrivals.push(Arrival {
                at,
                time_limit,
                runs,
                is_prompt,
            }),
            _ => {}
        }
    }

    fn was_sent(&self) -> bool {
        self.sent_at < Duration::MAX / 4
    }
}

fn check_repeats(request: &RequestHistory) -> Option<Broken> {
    let arrivals = &request.arrivals;
    if arrivals.len() > MAX_ATTEMPTS {
        let text = format!("{} attempts", arrivals.len());
        return Some((Promise::TooManyAttempts, arrivals[MAX_ATTEMPTS].at, text));
    }
    let first_run = arrivals.iter().position(|arrival| arrival.runs)?;
    let repeat = arrivals.get(first_run + 1)?;
    let after = repeat.at.saturating_sub(arrivals[first_run].at);
    let is_permitted = match request.class {
        RequestClass::Idempotent => true,
        RequestClass::Keyed => !repeat.is_prompt || after <= DEDUPLICATION_WINDOW + SOCKET_SLACK,
        RequestClass::NonIdempotent => false,
    };
    (!is_permitted).then(|| {
        (
            Promise::UnsafeRepeat,
            repeat.at,
            format!("{:?}: {arrivals:?}", request.class),
        )
    })
}

fn check_leaving(request: &RequestHistory, lateness: &Lateness) -> Option<Broken> {
    let left_at = request.left_at?;
    let late = request.arrivals.iter().find(|arrival| {
        let limit = left_at + LEFT_LIMIT + SOCKET_SLACK + lateness.around(arrival.at);
        arrival.is_prompt && arrival.at > limit
    })?;
    Some((Promise::SentAfterLeaving, late.at, format!("left at {left_at:?}")))
}

fn check_time_limits(request: &RequestHistory, lateness: &Lateness) -> Option<Broken> {
    if !request.was_sent() {
        return None;
    }
    let too_long = request.arrivals.iter().find(|arrival| {
        let left = (request.sent_at + request.allowed).saturating_sub(arrival.at);
        let slack = TIME_LIMIT_SLACK + lateness.around(arrival.at);
        arrival.is_prompt && arrival.time_limit > left + slack
    })?;
    let text = format!(
        "{too_long:?}, sent at {:?}, allowed {:?}",
        request.sent_at, request.allowed
    );
    Some((Promise::TimeLimitTooLong, too_long.at, text))
}

/// The part of the requests sent after a time that were served, and how many there were.
pub(crate) fn share_served(records: &[Record], since: Duration) -> (f64, usize) {
    let mut sent = 0usize;
    let mut numbers = std::collections::HashSet::new();
    let mut served = 0usize;
    for record in records {
        match &record.event {
            Event::Sent { request, .. } if record.at >= since => {
                sent += 1;
                numbers.insert(*request);
            }
            Event::Answered {
                request,
                answer: Answer::Served,
                ..
            } if numbers.contains(request) => served += 1,
            _ => {}
        }
    }
    (served as f64 / sent.max(1) as f64, sent)
}
