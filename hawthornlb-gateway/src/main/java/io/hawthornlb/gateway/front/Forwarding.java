package io.hawthornlb.gateway.front;

import com.dynatrace.hash4j.hashing.Hashing;
import io.hawthornlb.gateway.endpoint.EndpointLife;
import io.hawthornlb.gateway.endpoint.EndpointRecord;
import io.hawthornlb.gateway.event.EventLine;
import io.hawthornlb.gateway.route.Route;
import io.hawthornlb.gateway.route.RouteKind;
import io.hawthornlb.gateway.slot.SlotAnswer;
import io.hawthornlb.gateway.slot.SlotKey;
import io.hawthornlb.gateway.slot.SlotOutcome;
import io.hawthornlb.gateway.slot.SlotRequest;
import io.hawthornlb.gateway.wire.EndpointCall;
import io.hawthornlb.gateway.wire.SilenceWatch;
import io.hawthornlb.gateway.wire.ToldLoad;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/** One request on its way: gets a slot, is sent, and is sent again where the rules allow it. */
final class Forwarding implements RequestHandler.Handling, SilenceWatch.Listener {

  /**
   * Silence after which another endpoint is tried where the route allows it, as a multiple of the
   * objective; a first event takes less than one, also on a crest.
   */
  private static final double STALL_OBJECTIVES = 2.0;

  /**
   * Silence before a first event that is told to the coordinator, as a multiple of the objective.
   * Requests do not queue at endpoints, so that an answer takes much less.
   */
  private static final double SUSPECT_OBJECTIVES = 0.8;

  /** When to come back after endpoints turned a request away; slots come free meanwhile. */
  private static final Duration TURNED_AWAY_RETRY = Duration.ofMillis(150);

  private final ForwardingHandler.Parts parts;
  private final Route route;
  private final FrontRequest request;
  private final Responder responder;
  private final String id;
  private final String service;
  private final RequestTime time;
  private final Set<EndpointLife> excluded = new HashSet<>();
  private final AnswerRelay relay;
  private final SilenceWatch watch;
  private @Nullable ScheduledFuture<?> timer;
  private @Nullable SlotKey slot;
  private @Nullable EndpointCall call;
  private @Nullable EndpointLife endpoint;
  private Instant asked = Instant.MIN;
  private int runs;
  private int turnedAway;
  private boolean done;

  Forwarding(
      ForwardingHandler.Parts parts, Route route, FrontRequest request, Responder responder) {
    this.parts = parts;
    this.route = route;
    this.request = request;
    this.responder = responder;
    this.id = request.headers().get(parts.names().requestId(), "");
    this.service = route.service(ThreadLocalRandom.current().nextDouble());
    this.time = new RequestTime(route, request.arrived(), timeAllowed(), parts.clock());
    boolean streaming = route.kind() == RouteKind.STREAM;
    this.relay = new AnswerRelay(this, parts, responder, streaming);
    SilenceWatch.Limits limits =
        new SilenceWatch.Limits(
            objectives(route, SUSPECT_OBJECTIVES), objectives(route, STALL_OBJECTIVES));
    this.watch = new SilenceWatch(parts.executor(), parts.clock(), limits, relay::lastHeard, this);
  }

  void start() {
    long millis = Math.max(0, time.left().toMillis());
    timer = parts.executor().schedule(this::outOfTime, millis, TimeUnit.MILLISECONDS);
    acquire();
  }

  @Override
  public void callerGone() {
    if (!done) {
      line("caller.gone").with("endpoint", endpointId()).write();
      finish(abandoned());
    }
  }

  @Override
  public void drained() {
    if (call != null) {
      call.setReading(true);
    }
  }

  @Override
  public void processEnds() {
    if (call != null) {
      // It may have run, and nobody will learn whether it did.
      runs++;
    }
    end(AttemptRules.gaveUp(state()), TURNED_AWAY_RETRY, "the process ends");
  }

  /** Is told by the relay that the caller reads slowly. */
  void pause() {
    if (call != null) {
      call.setReading(false);
    }
  }

  /** Is told the load of the endpoint; only one where requests wait is worth a message. */
  void told(ToldLoad load) {
    SlotKey held = slot;
    if (held != null && load.waiting() > 0) {
      parts.slots().told(held, load);
    }
  }

  /** Is told that the endpoint did not run the request. */
  void notRun(int status) {
    boolean replaced = status == 421;
    turnedAway++;
    parts.metrics().count("endpoints.refused", String.valueOf(status));
    line("endpoint.refused").with("endpoint", endpointId()).with("status", status).write();
    excludeCurrent(replaced ? SlotOutcome.REPLACED : SlotOutcome.SHED);
    proceed(AttemptRules.afterNotRun(state()), "endpoints turned it away");
  }

  /** Is told that no whole answer comes from the endpoint. */
  void broken(boolean sent, String cause) {
    parts.metrics().count("endpoints.failed", sent ? "after it was sent" : "not sent");
    line("endpoint.failed").with("endpoint", endpointId()).with("cause", cause).write();
    excludeCurrent(sent ? SlotOutcome.FAILED : SlotOutcome.UNREACHED);
    if (sent) {
      runs++;
      proceed(AttemptRules.afterBreak(route, state()), cause);
    } else {
      turnedAway++;
      proceed(AttemptRules.afterNotRun(state()), cause);
    }
  }

  /** Is told that the endpoint does not go on where it was asked to. */
  void strayed(String cause) {
    EndpointCall other = call;
    if (other != null) {
      other.abort();
    }
    broken(true, cause);
  }

  /** Returns whether a failure that an endpoint answered may be hidden by another try. */
  boolean mayRetryFailure() {
    AttemptRules.State after =
        new AttemptRules.State(runs + 1, turnedAway, false, time.allowsAttempt());
    return AttemptRules.afterBreak(route, after) == NextStep.SEND_AGAIN;
  }

  /** Is told that the caller has the whole answer. */
  void answered(int status) {
    Duration first = Duration.between(request.arrived(), relay.firstPassed());
    parts.metrics().count("requests.answered", route.name());
    parts.metrics().time("requests.first", route.name(), first);
    parts.metrics().time("requests.whole", route.name(), Duration.ofMillis(time.sinceArrival()));
    parts
        .log()
        .routine("front", "request.answered")
        .with("id", id)
        .with("status", status)
        .with("endpoint", endpointId())
        .with("firstMillis", first.toMillis())
        .with("millis", time.sinceArrival())
        .write();
    finish(status >= 500 ? SlotOutcome.ERROR : SlotOutcome.ANSWERED);
  }

  private void acquire() {
    Duration maxWait = time.maxWait(relay.headSent() || runs > 0, turnedAway > 0);
    SlotKey key = parts.slots().nextKey();
    slot = key;
    asked = parts.clock().instant();
    SlotRequest wanted =
        new SlotRequest(
            key,
            service,
            false,
            route.priority(),
            Duration.ZERO,
            parts.dataCentre(),
            maxWait,
            time.patience(maxWait),
            fingerprint(),
            Set.copyOf(excluded));
    parts.slots().acquire(wanted, this::onSlot);
  }

  /** Recognizes a request that comes again under another id. */
  private long fingerprint() {
    return Hashing.wyhashFinal4()
        .hashStream()
        .putString(request.uri())
        .putBytes(request.body())
        .getAsLong();
  }

  private static Duration objectives(Route route, double count) {
    return Duration.ofMillis((long) (route.objective().toMillis() * count));
  }

  private void onSlot(SlotAnswer answer) {
    if (done) {
      return;
    }
    if (answer instanceof SlotAnswer.Granted granted) {
      parts.metrics().time("requests.slot", route.name(), Duration.ofMillis(time.sinceArrival()));
      send(granted.life());
    } else if (answer instanceof SlotAnswer.Refused refused) {
      slot = null;
      noSlot(refused);
      end(AttemptRules.gaveUp(state()), refused.retryAfter(), "no slot in time");
    }
  }

  /** Logs what the coordinator saw, and how long ago it was asked. */
  private void noSlot(SlotAnswer.Refused refused) {
    line("slot.refused")
        .with("slots", refused.seen().slots())
        .with("used", refused.seen().used())
        .with("waiting", refused.seen().waiting())
        .with("excluded", excluded.size())
        .with("askedMillisAgo", Duration.between(asked, parts.clock().instant()).toMillis())
        .write();
  }

  private void send(EndpointLife life) {
    endpoint = life;
    Optional<EndpointRecord> target = parts.directory().find(life.id());
    if (target.isEmpty() || target.get().leaving()) {
      // The coordinator's list is behind this one's.
      turnedAway++;
      excludeCurrent(SlotOutcome.REPLACED);
      proceed(AttemptRules.afterNotRun(state()), "the endpoint is leaving");
      return;
    }
    relay.begin();
    parts
        .log()
        .routine("front", "request.sent")
        .with("id", id)
        .with("route", route.name())
        .with("endpoint", life.id())
        .with("runs", runs)
        .with("millis", time.sinceArrival())
        .write();
    call = parts.pool().send(life, target.get().address(), outgoing(life.id()), relay);
    watch.start();
  }

  /** Tells the coordinator of a silent endpoint, so that others are placed elsewhere. */
  @Override
  public void suspicious(Duration silence) {
    SlotKey held = slot;
    if (held != null) {
      line("endpoint.silent")
          .with("endpoint", endpointId())
          .with("silentMillis", silence.toMillis())
          .write();
      parts.slots().suspect(held);
    }
  }

  /**
   * Leaves a silent endpoint where the request may be repeated or resumed; the closed connection
   * ends the work there, if the endpoint lives. Another request waits on, but those behind it are
   * placed elsewhere.
   */
  @Override
  public boolean stalled(Duration silence) {
    AttemptRules.State after =
        new AttemptRules.State(runs + 1, turnedAway, relay.headSent(), time.allowsAttempt());
    NextStep next = AttemptRules.afterBreak(route, after);
    if (next != NextStep.SEND_AGAIN && next != NextStep.RESUME) {
      suspicious(silence);
      return true;
    }
    EndpointCall silent = call;
    if (silent != null) {
      silent.abort();
    }
    broken(true, "silent for " + silence.toMillis() + " ms");
    return false;
  }

  private @Nullable String endpointId() {
    return endpoint == null ? null : endpoint.id();
  }

  private FullHttpRequest outgoing(String endpointId) {
    HttpHeaders headers = ForwardedHeaders.toEndpoint(request.headers(), parts.names());
    headers.set(parts.names().remainingMillis(), Math.max(1, time.left().toMillis()));
    headers.set(parts.names().expectedEndpoint(), endpointId);
    if (relay.lastEventId() >= 0) {
      headers.set(parts.names().lastEventId(), relay.lastEventId());
    }
    if (request.body().length > 0 || !request.method().equals(HttpMethod.GET)) {
      headers.set(HttpHeaderNames.CONTENT_LENGTH, request.body().length);
    }
    return new DefaultFullHttpRequest(
        HttpVersion.HTTP_1_1,
        request.method(),
        request.uri(),
        Unpooled.wrappedBuffer(request.body()),
        headers,
        new DefaultHttpHeaders());
  }

  private void proceed(NextStep step, String cause) {
    if (step == NextStep.SEND_AGAIN || step == NextStep.RESUME) {
      acquire();
    } else {
      end(step, TURNED_AWAY_RETRY, cause);
    }
  }

  private void end(NextStep step, Duration retryAfter, String cause) {
    if (done) {
      return;
    }
    parts.metrics().count("requests.failed", step.name());
    line("request.failed")
        .with("step", step.name())
        .with("cause", cause)
        .with("runs", runs)
        .with("turnedAway", turnedAway)
        .with("retryMillis", retryAfter.toMillis())
        .write();
    switch (step) {
      case REFUSE -> responder.own(503, retryAfter);
      case FAIL -> responder.own(502, null);
      default -> responder.breakOff();
    }
    finish(SlotOutcome.ABANDONED);
  }

  private void outOfTime() {
    if (done) {
      return;
    }
    boolean sent = call != null;
    parts.metrics().count("requests.timeout", route.name());
    line("request.timeout").with("endpoint", endpointId()).with("runs", runs).write();
    if (relay.headSent()) {
      responder.breakOff();
    } else {
      responder.own(sent || runs > 0 ? 504 : 503, sent || runs > 0 ? null : TURNED_AWAY_RETRY);
    }
    finish(abandoned());
  }

  /**
   * Returns how the use of the slot ends when nobody waits for the answer any more.
   *
   * <p>Failure: an endpoint hangs on some of its requests, and callers leave. Were that taken for
   * callers that lost interest, nothing would ever count against the endpoint.
   */
  private SlotOutcome abandoned() {
    return call != null && watch.stalled() ? SlotOutcome.FAILED : SlotOutcome.ABANDONED;
  }

  private void finish(SlotOutcome outcome) {
    done = true;
    if (timer != null) {
      timer.cancel(false);
    }
    watch.stop();
    boolean whole = outcome == SlotOutcome.ANSWERED || outcome == SlotOutcome.ERROR;
    if (call != null && !whole) {
      call.abort();
    }
    call = null;
    release(outcome);
  }

  private void excludeCurrent(SlotOutcome outcome) {
    if (endpoint != null) {
      excluded.add(endpoint);
    }
    call = null;
    release(outcome);
  }

  private void release(SlotOutcome outcome) {
    SlotKey held = slot;
    slot = null;
    if (held != null) {
      parts.slots().release(held, outcome);
    }
  }

  private AttemptRules.State state() {
    return new AttemptRules.State(runs, turnedAway, relay.headSent(), time.allowsAttempt());
  }

  private Duration timeAllowed() {
    String told = request.headers().get(parts.names().remainingMillis());
    if (told == null) {
      return route.timeout();
    }
    try {
      Duration callers = Duration.ofMillis(Long.parseLong(told.trim()));
      return callers.compareTo(route.timeout()) < 0 ? callers : route.timeout();
    } catch (NumberFormatException e) {
      parts.log().routine("front", "budget.unreadable").with("id", id).with("value", told).write();
      return route.timeout();
    }
  }

  private EventLine line(String event) {
    return parts
        .log()
        .important("front", event)
        .with("id", id)
        .with("route", route.name())
        .with("millis", time.sinceArrival());
  }
}
