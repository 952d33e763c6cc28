//! One request of a caller, from its head to the answer.

use std::{future::Future, pin::Pin, rc::Rc};

use bytes::Bytes;
use futures::{StreamExt, stream::FuturesUnordered};
use http::{Request, header, request::Parts};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::{
    Declared, Desk, Repeat, Route, View,
    answer::{Answer, own},
    caller_io::Presence,
    desk::Errand,
    flight::{Landing, Load, fly},
    place::Choice,
};
use crate::{base::Ran, prelude::*};

/// Time kept for the ways there and back, 8 ms each, for a new connection and for timers that fire
/// late: the caller has its answer when its time is over.
const ANSWER_MARGIN: Duration = Duration::from_millis(60);

/// A second target is asked when the first takes this many times the usual time.
const HEDGE_AFTER: f64 = 4.0;

/// Shortest time before a second target is asked.
const HEDGE_LEAST: Duration = Duration::from_millis(350);

/// Least and longest time that a refused caller is asked to stay away. The longest is what callers
/// of the shortest deadlines still honour.
const COME_BACK_LEAST: Duration = Duration::from_millis(80);
const COME_BACK_MOST: Duration = Duration::from_millis(700);

/// Time after the signal to stop in which new requests are still served, as a part of the time to
/// the process' end: what is sent then can still be answered.
const LEAVING_SERVES: f64 = 0.4;

/// Time that a refused caller stays away where nothing tells when there is room.
const COME_BACK_USUAL: Duration = Duration::from_millis(250);

/// Targets that may turn out to be unreachable before a request is refused.
const UNREACHED_MOST: u32 = 3;

type Flight = Pin<Box<dyn Future<Output = Landing>>>;
type Flights = FuturesUnordered<Flight>;

/// A request that may be on its way in.
pub enum Body {
    Incoming(Incoming),
    None,
}

/// Serves one request. `None` when the caller has left.
pub async fn serve(desk: Rc<Desk>, presence: Presence, req: Request<Body>) -> Option<Answer> {
    let since = desk.clock.now();
    let (mut head, body) = req.into_parts();
    let note = desk.dialect.caller(&head.headers);
    let refuse = |kind, come_back| Some(own(&desk, &note, kind, come_back));
    let Some(view) = desk.view() else { return refuse(ErrorKind::NoManifest, None) };
    let Some(declared) = view.declared.clone() else { return refuse(ErrorKind::NoManifest, None) };
    let Some(route) = route(&declared, &head) else {
        return refuse(ErrorKind::ServiceUnknown, None);
    };
    if leaves_too_soon(&desk) {
        return refuse(ErrorKind::HostLeaving, Some(COME_BACK_LEAST));
    }
    let body = tokio::select! {
        body = read(&declared, body) => body,
        () = presence.gone() => return None,
    };
    let body = match body {
        Ok(body) => body,
        Err(kind) => return refuse(kind, None),
    };
    let Some(service) = desk.service(&route) else { return refuse(ErrorKind::NoTarget, None) };
    desk.arrived(&service);
    let fingerprint = fingerprint(&head, &body);
    if is_poison(&desk, &view, fingerprint) {
        log::warn!("request {:?} is refused: it crashed targets", note.attempt);
        return refuse(ErrorKind::Quarantined, None);
    }
    if let Some(path) = head.uri.path_and_query() {
        head.uri = http::Uri::from(path.clone());
    }
    let wait = note.time_left.unwrap_or(route.timeout).min(route.timeout);
    let deadline = since + wait.saturating_sub(ANSWER_MARGIN);
    let load = Load { body, deadline, fingerprint, head, note, service };
    let call = Call { desk, load: Rc::new(load), route, tried: Vec::new() };
    call.run(presence).await
}

/// Whether a request may be started before its turn.
pub fn may_start_ahead(desk: &Desk, head: &Parts) -> bool {
    let declared = desk.view().and_then(|view| view.declared.clone());
    let route = declared.and_then(|declared| route(&declared, head));
    route.is_some_and(|route| route.repeat == Repeat::Idempotent)
}

fn route(declared: &Declared, head: &Parts) -> Option<Arc<Route>> {
    declared.route(host_of(head)?, head.uri.path()).cloned()
}

struct Call {
    desk: Rc<Desk>,
    load: Rc<Load>,
    route: Arc<Route>,
    tried: Vec<u32>,
}

/// What has come of the attempts so far.
#[derive(Default)]
struct Tally {
    /// An attempt may have run.
    maybe_ran: bool,
    /// A target's own failure, to be passed on if nothing better comes.
    poor: Option<Answer>,
    room_in: Option<Duration>,
    /// Attempts that reached a target, or may have.
    sent: u32,
    unreached: u32,
    why: Option<ErrorKind>,
}

impl Call {
    async fn run(mut self, presence: Presence) -> Option<Answer> {
        let mut flights = Flights::new();
        let mut tally = Tally::default();
        let mut may_hedge = self.route.repeat == Repeat::Idempotent;
        let usual = self.desk.work(&self.load.service);
        let hedge_after = usual.mul_f64(HEDGE_AFTER).max(HEDGE_LEAST);
        let mut hedge_at = self.desk.clock.now() + hedge_after;
        loop {
            if flights.is_empty() {
                match self.launch(&mut tally) {
                    Some(flight) => flights.push(flight),
                    None => return Some(self.give_up(tally)),
                }
            }
            let now = self.desk.clock.now();
            let wake =
                if may_hedge { hedge_at.min(self.load.deadline) } else { self.load.deadline };
            tokio::select! {
                biased;
                Some(landing) = flights.next() => {
                    if let Some(answer) = tally.landed(landing) {
                        return Some(answer);
                    }
                    // What may have run once may not be sent again.
                    if tally.maybe_ran && self.route.repeat == Repeat::Once {
                        return Some(self.give_up(tally));
                    }
                }
                () = presence.gone() => return None,
                () = tokio::time::sleep(wake.saturating_sub(now)) => {
                    if self.load.deadline <= self.desk.clock.now() {
                        tally.maybe_ran = true;
                        tally.why = Some(ErrorKind::DispatchTimeout);
                        return Some(self.give_up(tally));
                    }
                    may_hedge = false;
                    hedge_at = self.load.deadline;
                    flights.extend(self.launch(&mut tally));
                }
            }
        }
    }

    /// Starts one more attempt, if the route, the retry budget and the targets allow it.
    fn launch(&mut self, tally: &mut Tally) -> Option<Flight> {
        if self.route.attempts.max(1) <= tally.sent || UNREACHED_MOST <= tally.unreached {
            return None;
        }
        let view = self.desk.view()?;
        let errand = Errand {
            deadline: self.load.deadline,
            object: self.object(),
            route: self.route.clone(),
            service: self.load.service.clone(),
            tried: self.tried.clone(),
        };
        let (choice, target) = self.desk.place(&view, &errand);
        let Some(target) = target else {
            let (why, room_in) = match choice {
                Choice::Busy { room_in } => (ErrorKind::NoSlots, Some(room_in)),
                _ => (ErrorKind::NoTarget, None),
            };
            tally.room_in = room_in;
            tally.why.get_or_insert(why);
            return None;
        };
        if 0 < tally.sent && !self.desk.take_retry(&view, &self.load.service) {
            return None;
        }
        tally.sent += 1;
        self.tried.push(target.tag);
        let running = self.desk.start(&target, self.load.fingerprint);
        Some(Box::pin(fly(self.desk.clone(), self.load.clone(), target, running)))
    }

    fn object(&self) -> u64 {
        let object = self.load.note.object.as_ref().filter(|_| self.route.sticky);
        match object {
            Some(object) => {
                xxh3_64_with_seed(object.as_bytes(), xxh3_64(self.route.prefix.as_bytes()))
            }
            None => rand::random(),
        }
    }

    fn give_up(&self, mut tally: Tally) -> Answer {
        if let Some(poor) = tally.poor.take() {
            return poor;
        }
        let why = tally.why.unwrap_or(ErrorKind::NoSlots);
        let why = match why.row().ran {
            Ran::No if tally.maybe_ran => ErrorKind::DispatchLost,
            _ => why,
        };
        let spread = 0.75 + rand::random::<f64>() / 2.0;
        let come_back = tally.room_in.unwrap_or(COME_BACK_USUAL).mul_f64(spread);
        let come_back = come_back.clamp(COME_BACK_LEAST, COME_BACK_MOST);
        own(&self.desk, &self.load.note, why, Some(come_back))
    }
}

impl Tally {
    /// Takes an attempt's end in; the answer, if it is one for the caller.
    fn landed(&mut self, landing: Landing) -> Option<Answer> {
        match landing {
            Landing::Answer(answer) => return Some(answer),
            Landing::Poor(answer) => {
                self.maybe_ran = true;
                self.poor = Some(answer);
            }
            Landing::NotRun(ErrorKind::ConnectFailed) => {
                self.sent -= 1;
                self.unreached += 1;
                self.why = Some(ErrorKind::ConnectFailed);
            }
            Landing::NotRun(kind) => self.why = Some(kind),
            Landing::Lost(kind) => {
                self.maybe_ran = true;
                self.why = Some(kind);
            }
        }
        None
    }
}

/// The host that a request names.
fn host_of(head: &Parts) -> Option<&str> {
    let named = head.headers.get(header::HOST).and_then(|value| value.to_str().ok());
    named.or_else(|| head.uri.host())
}

/// The whole body, within the declared bound.
async fn read(declared: &Declared, body: Body) -> Result<Bytes, ErrorKind> {
    let Body::Incoming(body) = body else { return Ok(Bytes::new()) };
    if http_body::Body::is_end_stream(&body) {
        return Ok(Bytes::new());
    }
    let read = Limited::new(body, declared.body_bytes).collect().await;
    read.map(|whole| whole.to_bytes()).map_err(|error| {
        let too_large = error.is::<http_body_util::LengthLimitError>();
        if too_large { ErrorKind::BodyTooLarge } else { ErrorKind::BadRequest }
    })
}

fn fingerprint(head: &Parts, body: &[u8]) -> u64 {
    let path = head.uri.path_and_query().map_or("", |path| path.as_str());
    let seed = xxh3_64_with_seed(path.as_bytes(), xxh3_64(head.method.as_str().as_bytes()));
    xxh3_64_with_seed(body, seed)
}

fn is_poison(desk: &Desk, view: &View, fingerprint: u64) -> bool {
    let elsewhere = view.crashes.get(&fingerprint).copied().unwrap_or_default();
    !desk.poison.borrow().may_run(fingerprint, elsewhere)
}

/// Whether the process ends before an answer could be expected.
fn leaves_too_soon(desk: &Desk) -> bool {
    let serves = desk.settings.bounds.grace.mul_f64(LEAVING_SERVES);
    desk.leaving.get().is_some_and(|since| since + serves <= desk.clock.now())
}
