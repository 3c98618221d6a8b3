//! Requests that arrive on a connection while earlier ones on it are not answered.
//!
//! [`Pipeline`] decides; here they are read, run and answered, all within the task of the connection.
//! A connection comes here only when a second request arrives while one runs, and leaves once all are
//! answered, so a client that waits for each response costs nothing more.

use std::{collections::HashMap, future::Future, pin::Pin, task::Poll, time::Instant};

use async_std::net::TcpStream;
use futures_util::{StreamExt, future::poll_fn, stream::FuturesUnordered};
use oleandertiller_mesh::{
    config::{ClientLimits, RetrySafety},
    memory_budget::Activity,
    pipeline::{AfterResponse, Concurrency, Pipeline, PipelineLimits, Position, concurrency},
};
use oleandertiller_model::{Clock, ErrorKind};

use super::{
    AfterRequest, Ended, Ingress, REFUSED_EXPECTED_WAIT, Served, Unread, WRITE_TIMEOUT,
    outcome::Outcome, request::ClientRequest,
};
use crate::mesh::{
    body::Body,
    http::{Framing, HttpConn, RequestHead, join_small_body, request_framing, write_message},
    metrics::Decision,
};

/// Bounds of the window of a connection: fewer requests than the slots of a usual upstream, so that
/// one connection does not fill it, and the bytes of some dozen requests with heads of usual size.
const LIMITS: PipelineLimits = PipelineLimits { requests: 8, bytes: 256 << 10 };

/// A request that was read while earlier ones of its connection are not answered.
enum ReadAhead {
    /// Runs beside the others.
    Complete(RequestHead, Body, Instant),
    /// Has to run alone; its body was not read.
    Alone(RequestHead, Instant),
    Unread(Unread),
}

/// What happens next on a connection.
enum Event<'a> {
    /// The response to a request is ready.
    Ended(Position, Ended),
    /// The first bytes of a request have arrived.
    Input,
    Read(&'a mut HttpConn, ReadAhead),
    /// A response was written, or could not be written.
    Written(bool),
    /// The client has closed the connection.
    Gone,
}

/// The window of a connection, and the responses in it that are not written yet.
struct Window {
    pipeline: Pipeline,
    responses: HashMap<Position, Ended>,
}

impl Window {
    fn on_ended(&mut self, position: Position, ended: Ended) {
        self.pipeline.on_ended(position, ended.size());
        self.responses.insert(position, ended);
    }

    fn on_refused(&mut self, after: AfterResponse, ended: Ended) {
        let position = self.pipeline.on_refused(after);
        self.responses.insert(position, ended);
    }

    /// Takes the next response in the order of the requests, and whether it is the last one.
    fn take_response(&mut self) -> Option<(Ended, bool)> {
        let (position, after) = self.pipeline.take_response()?;
        let ended = self.responses.remove(&position)?;
        Some((ended, after == AfterResponse::Close))
    }
}

impl<C: Clock> Ingress<C> {
    /// Serves requests concurrently until all that were read are answered, or one has to run alone.
    /// `first` is the request that is running, of `first_bytes` bytes. If the client leaves, all are
    /// cancelled.
    pub(super) async fn serve_pipelined<F>(
        &self,
        conn: &mut HttpConn,
        first: Pin<&mut F>,
        first_bytes: usize,
        limits: ClientLimits,
    ) -> Served
    where
        F: Future<Output = Ended>,
    {
        let writer = conn.writer();
        let mut window = Window { pipeline: Pipeline::new(LIMITS), responses: HashMap::new() };
        let first_position = window.pipeline.on_read(Concurrency::Concurrent, first_bytes, false);
        let mut first = Some(first);
        let mut running = FuturesUnordered::new();
        let (mut conn, mut read, mut write) = (Some(conn), None, None);
        let mut alone = None;
        let mut closing = false;
        loop {
            if self.shared.is_stopping() {
                window.pipeline.stop_reading();
            }
            if write.is_none() {
                if let Some((ended, is_last)) = window.take_response() {
                    closing = is_last;
                    if closing {
                        // What is being read may not run any more, even if the write takes long.
                        (read, conn) = (None, None);
                    }
                    let Ended { id, outcome, arrived } = ended;
                    let (head, body) =
                        self.encode_outcome(id.as_deref(), outcome, arrived, is_last);
                    write = Some(Box::pin(self.write_response(writer.clone(), head, body)));
                } else if window.pipeline.is_alone()
                    && let Some((head, arrived)) = alone.take()
                {
                    return Served::Next(head, arrived);
                } else if window.pipeline.is_empty() && read.is_none() {
                    return Served::Done(AfterRequest::KeepAlive);
                }
            }
            let may_read = window.pipeline.may_read();
            if may_read && let Some(conn) = conn.take_if(|conn| conn.has_input()) {
                let room = window.pipeline.room();
                read = Some(Box::pin(self.read_ahead(conn, limits, room)));
            }
            let event = poll_fn(|cx| {
                if let Some(write) = &mut write
                    && let Poll::Ready(complete) = write.as_mut().poll(cx)
                {
                    return Poll::Ready(Event::Written(complete));
                }
                if let Some(run) = &mut first
                    && let Poll::Ready(ended) = run.as_mut().poll(cx)
                {
                    return Poll::Ready(Event::Ended(first_position, ended));
                }
                if let Poll::Ready(Some((position, ended))) = running.poll_next_unpin(cx) {
                    return Poll::Ready(Event::Ended(position, ended));
                }
                if let Some(read) = &mut read {
                    let read: Pin<&mut _> = Pin::as_mut(read);
                    return read.poll(cx).map(|(conn, request)| Event::Read(conn, request));
                }
                match &mut conn {
                    Some(conn) => poll_idle(conn, may_read, cx),
                    None => Poll::Pending,
                }
            })
            .await;
            match event {
                Event::Ended(position, ended) => {
                    if position == first_position {
                        first = None;
                    }
                    window.on_ended(position, ended);
                }
                Event::Input => {}
                Event::Written(true) if closing => return Served::Done(AfterRequest::Linger),
                Event::Written(true) => write = None,
                Event::Written(false) | Event::Gone => {
                    return self.cancel(&window);
                }
                Event::Read(idle, request) => {
                    idle.set_activity(Activity::Serving);
                    (read, conn) = (None, Some(idle));
                    match request {
                        ReadAhead::Unread(Unread::Gone) => return self.cancel(&window),
                        ReadAhead::Unread(Unread::Refused(kind)) => {
                            window.on_refused(AfterResponse::Close, self.refused_unread(kind));
                        }
                        ReadAhead::Alone(head, arrived) => {
                            self.count("alone");
                            window.pipeline.on_read(Concurrency::Alone, 0, false);
                            alone = Some((head, arrived));
                        }
                        ReadAhead::Complete(head, body, arrived) => {
                            if let Some((position, request)) =
                                self.admit_ahead(&mut window, head, body, arrived)
                            {
                                running.push(self.run_at(position, request));
                            }
                        }
                    }
                }
            }
        }
    }

    /// Adds a request to the window; returns it if it is to be run.
    fn admit_ahead(
        &self,
        window: &mut Window,
        head: RequestHead,
        body: Body,
        arrived: Instant,
    ) -> Option<(Position, ClientRequest)> {
        let close = head.close;
        if self.is_refusing() {
            window.on_refused(AfterResponse::Close, self.refused_unread(ErrorKind::Draining));
            return None;
        }
        let admitted = self.admit(head, body, arrived).and_then(|request| {
            // A configuration that changes the route's kind may have come while it was read.
            let safe = request.is_idempotent();
            if safe { Ok(request) } else { Err(request.refuse(ErrorKind::StaleIntent)) }
        });
        match admitted {
            Ok(request) => {
                self.count("read-ahead");
                let bytes = request.size();
                let position = window.pipeline.on_read(Concurrency::Concurrent, bytes, close);
                Some((position, request))
            }
            Err(refusal) => {
                let after = if close { AfterResponse::Close } else { AfterResponse::Continue };
                let outcome = self.on_refusal(&refusal, arrived);
                window.on_refused(after, Ended { id: refusal.id, outcome, arrived });
                None
            }
        }
    }

    async fn run_at(&self, position: Position, request: ClientRequest) -> (Position, Ended) {
        (position, self.run_to_end(request).await)
    }

    /// Reads a request whose first bytes have arrived, except for the body of one that has to run
    /// alone. Returns the connection as well, which it uses until then.
    async fn read_ahead<'a>(
        &self,
        conn: &'a mut HttpConn,
        limits: ClientLimits,
        room: u64,
    ) -> (&'a mut HttpConn, ReadAhead) {
        let read = async {
            let (head, arrived) = self.read_head(conn, limits).await?;
            let malformed = |_| Unread::Refused(ErrorKind::BadRequest);
            let framing = request_framing(&head.headers).map_err(malformed)?;
            let body_bytes = match framing {
                // The interim response must not precede the responses to earlier requests.
                _ if head.expects_continue() => None,
                Framing::Length(len) => Some(len),
                Framing::Chunked | Framing::UntilClose => None,
            };
            if concurrency(self.may_repeat(&head), body_bytes, room) == Concurrency::Alone {
                return Ok(ReadAhead::Alone(head, arrived));
            }
            let body = self.read_body(conn, &head, framing, limits).await?;
            Ok(ReadAhead::Complete(head, body, arrived))
        };
        let request = read.await.unwrap_or_else(ReadAhead::Unread);
        (conn, request)
    }

    /// Returns whether a request may run more than once. One without a route is refused, so it may.
    fn may_repeat(&self, head: &RequestHead) -> bool {
        let cfg = self.shared.config();
        let host = head.headers.get("host").unwrap_or("");
        let path = head.target.split('?').next().unwrap_or_default();
        let route = cfg.as_ref().and_then(|cfg| cfg.route(host, path));
        route.is_none_or(|route| route.retry_safety == RetrySafety::Idempotent)
    }

    async fn write_response(&self, mut writer: TcpStream, mut head: Vec<u8>, body: Body) -> bool {
        let until = self.shared.clock.now() + WRITE_TIMEOUT;
        let rest = join_small_body(&mut head, &body);
        let written = write_message(&mut writer, &head, rest);
        let written = self.shared.timers.within(until, written).await;
        matches!(written, Some(Ok(())))
    }

    /// Returns the response to a request that was not read completely.
    fn refused_unread(&self, kind: ErrorKind) -> Ended {
        self.log_unread(kind);
        let outcome = Outcome::refused(kind, REFUSED_EXPECTED_WAIT);
        Ended { id: None, outcome, arrived: self.shared.clock.now() }
    }

    /// Ends the connection of a client that has left. The requests that are running are dropped, and
    /// so cancelled, with the caller's state.
    fn cancel(&self, window: &Window) -> Served {
        (0..window.pipeline.len()).for_each(|_| self.count("cancelled"));
        Served::Done(AfterRequest::Close)
    }

    fn count(&self, reason: &'static str) {
        self.shared.metrics.count_decision(Decision::Pipeline, reason);
    }
}

/// Polls a connection on which no request has begun. Input is not consumed, so the wait can be
/// begun anew at each poll.
fn poll_idle<'a>(
    conn: &mut HttpConn,
    may_read: bool,
    cx: &mut std::task::Context<'_>,
) -> Poll<Event<'a>> {
    if may_read {
        let input = std::pin::pin!(conn.wait_for_input()).poll(cx);
        return input.map(|open| if matches!(open, Ok(true)) { Event::Input } else { Event::Gone });
    }
    std::pin::pin!(conn.wait_for_close()).poll(cx).map(|()| Event::Gone)
}
