package io.hawthornlb.gateway.front;

import io.hawthornlb.core.crash.CrashBlock;
import io.hawthornlb.core.work.WorkSize;
import io.hawthornlb.gateway.crash.GuardedRun;
import io.hawthornlb.gateway.endpoint.EndpointIncarnation;
import io.hawthornlb.gateway.endpoint.EndpointRecord;
import io.hawthornlb.gateway.event.EventLine;
import io.hawthornlb.gateway.route.Route;
import io.hawthornlb.gateway.route.RouteKind;
import io.hawthornlb.gateway.route.RoutingConfig;
import io.hawthornlb.gateway.slot.RefusalCause;
import io.hawthornlb.gateway.slot.SlotAnswer;
import io.hawthornlb.gateway.slot.SlotKey;
import io.hawthornlb.gateway.slot.SlotOutcome;
import io.hawthornlb.gateway.slot.SlotRequest;
import io.hawthornlb.gateway.wire.AnswerPart;
import io.hawthornlb.gateway.wire.EndpointCall;
import io.hawthornlb.gateway.wire.ReportedLoad;
import io.hawthornlb.gateway.wire.SilenceWatch;
import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * One request that is being forwarded: acquires a slot, sends the request to the endpoint, and
 * sends it again where {@link AttemptRules} allow it.
 */
final class Forwarding implements RequestHandler.Handling, SilenceWatch.Listener {

  /**
   * Silence after which the gateway tries another endpoint if the route allows it, as a multiple of
   * the objective. A first event takes less than one objective, also at peak load.
   */
  private static final double STALL_OBJECTIVES = 2.0;

  /**
   * Silence before a first event after which the gateway reports the endpoint to the coordinator as
   * suspect, as a multiple of the objective. Requests do not queue at endpoints, so a response
   * takes much less.
   */
  private static final double SUSPECT_OBJECTIVES = 0.8;

  /** Retry-After of a request that endpoints rejected; slots become free in the meantime. */
  private static final Duration REJECTED_RETRY = Duration.ofMillis(150);

  private final ForwardingHandler.Parts parts;
  private final Route route;
  private final ForwardedRequest request;
  private final Responder responder;
  private final StreamContinuation continuation;
  private final RequestTime time;
  private final Set<EndpointIncarnation> excluded = new HashSet<>();
  private final GuardedRun run;
  private final RequestLines lines;
  private final AnswerRelay relay;
  private final SilenceWatch watch;
  private @Nullable ScheduledFuture<?> timer;
  private @Nullable SlotKey slot;
  private @Nullable SlotRequest lastRequest;
  private @Nullable SlotRequest chargedRequest;
  private @Nullable EndpointCall call;
  private @Nullable EndpointIncarnation endpoint;
  private Instant requestedAt = Instant.MIN;
  private String service;
  private int runs;
  private int rejections;
  private boolean done;

  Forwarding(
      ForwardingHandler.Parts parts, Route route, FrontRequest request, Responder responder) {
    this.parts = parts;
    this.route = route;
    this.request = new ForwardedRequest(request, route, parts.names(), parts.log());
    this.responder = responder;
    this.service = route.service(ThreadLocalRandom.current().nextDouble());
    this.time =
        new RequestTime(route, request.arrived(), this.request.timeAllowed(), parts.clock());
    this.lines = new RequestLines(parts, route, this.request, time);
    this.continuation = new StreamContinuation(parts, route, this.request);
    boolean streaming = route.kind() == RouteKind.STREAM;
    this.run = new GuardedRun(parts.crashes(), this.request.id(), this.request.parts());
    this.relay = new AnswerRelay(this, run, parts, responder, streaming);
    SilenceWatch.Limits limits =
        new SilenceWatch.Limits(
            objectives(route, SUSPECT_OBJECTIVES), objectives(route, STALL_OBJECTIVES));
    this.watch = new SilenceWatch(parts.executor(), parts.clock(), limits, relay::lastHeard, this);
  }

  void start() {
    long millis = Math.max(0, time.left().toMillis());
    timer = parts.executor().schedule(this::onTimeout, millis, TimeUnit.MILLISECONDS);
    if (request.resumesStream()) {
      relay.resumeAfter(request.lastEventId());
      continuation.find(new OriginReceiver());
    } else {
      acquire();
    }
  }

  /** Places a request that resumes a stream once it is known where the stream began. */
  private final class OriginReceiver implements StreamContinuation.Receiver {

    @Override
    public void onKnown(String knownService) {
      if (!done) {
        service = knownService;
        acquire();
      }
    }

    @Override
    public void onUnknown(String cause) {
      end(AttemptRules.finalStep(state()), StreamContinuation.UNKNOWN_RETRY, cause);
    }
  }

  @Override
  public void onCallerDisconnected() {
    if (!done) {
      line("caller.gone").with("endpoint", endpointId()).write();
      finish(abandonedOutcome());
    }
  }

  @Override
  public void onWritable() {
    if (call != null) {
      call.setReading(true);
    }
  }

  @Override
  public void onShutdown() {
    if (call != null) {
      // The request may have run, and the gateway will not learn whether it did.
      runs++;
    }
    end(AttemptRules.finalStep(state()), REJECTED_RETRY, "the process shuts down");
  }

  /** Called by the relay when the caller reads too slowly: stops reading from the endpoint. */
  void pause() {
    if (call != null) {
      call.setReading(false);
    }
  }

  /** Called when a response reports the endpoint's load. */
  void onLoadReported(ReportedLoad load) {
    SlotKey held = slot;
    if (held != null) {
      parts.slots().reportLoad(held, load);
    }
  }

  /** Called when the endpoint reports that it did not run the request. */
  void onNotRun(int status) {
    boolean replaced = status == 421;
    rejections++;
    parts.metrics().count("endpoints.refused", String.valueOf(status));
    line("endpoint.refused").with("endpoint", endpointId()).with("status", status).write();
    excludeCurrent(replaced ? SlotOutcome.REPLACED : SlotOutcome.SHED);
    proceed(AttemptRules.afterNotRun(state()), "endpoints rejected the request");
  }

  /**
   * Called when the endpoint will not deliver a complete response.
   *
   * @param sent whether the endpoint may have received the request
   */
  void onFailed(boolean sent, String cause) {
    parts.metrics().count("endpoints.failed", sent ? "after it was sent" : "not sent");
    line("endpoint.failed").with("endpoint", endpointId()).with("cause", cause).write();
    excludeCurrent(sent ? SlotOutcome.FAILED : SlotOutcome.UNREACHED);
    if (sent) {
      runs++;
      proceed(AttemptRules.afterFailure(route, state()), cause);
    } else {
      rejections++;
      proceed(AttemptRules.afterNotRun(state()), cause);
    }
  }

  /** Called when the endpoint sends too many bytes that are no answer: ends the attempt. */
  void onTooLong(AnswerPart part, long bytes) {
    if (call != null) {
      call.endTooLong(part, bytes);
    }
  }

  /** Returns whether the first event of the current endpoint may be forwarded. */
  boolean admitsEvents() {
    return continuation.admitsFirstEvent();
  }

  /** Called when a resumed stream does not continue where the previous one broke off. */
  void onSequenceBreak(String cause) {
    EndpointCall other = call;
    if (other != null) {
      other.abort();
    }
    onFailed(true, cause);
  }

  /** Returns whether a failure status of the endpoint may be replaced by another attempt. */
  boolean mayRetryFailure() {
    AttemptRules.State after =
        new AttemptRules.State(runs + 1, rejections, false, time.allowsAttempt());
    return AttemptRules.afterFailure(route, after) == NextStep.SEND_AGAIN;
  }

  /** Called when the complete response was passed to the caller's connection. */
  void onAnswered(int status) {
    Duration first = Duration.between(request.arrived(), relay.firstForwarded());
    parts.metrics().count("requests.answered", route.name());
    parts.metrics().time("requests.first", route.name(), first);
    parts.metrics().time("requests.whole", route.name(), Duration.ofMillis(time.sinceArrival()));
    parts
        .log()
        .routine("front", "request.answered")
        .with("id", request.id())
        .with("status", status)
        .with("endpoint", endpointId())
        .with("firstMillis", first.toMillis())
        .with("millis", time.sinceArrival())
        .write();
    finish(status >= 500 ? SlotOutcome.ERROR : SlotOutcome.ANSWERED);
  }

  private void acquire() {
    if (refused(run.check())) {
      return;
    }
    boolean lateAllowed = rejections > 0 || request.resumesStream();
    Duration maxWait = time.maxWait(relay.headSent() || runs > 0, lateAllowed);
    SlotKey key = parts.slots().nextKey();
    slot = key;
    requestedAt = parts.clock().instant();
    SlotRequest wanted =
        SlotRequest.builder(key, service)
            .rank(request.priority())
            .dataCentre(parts.dataCentre())
            .maxWait(maxWait)
            .patience(time.patience(maxWait))
            .fingerprint(request.fingerprint())
            .excluded(Set.copyOf(excluded))
            .workspace(request.workspace())
            .charged(runs == 0 && rejections == 0)
            .size(relay.lastEventId() < 0 ? request.size() : WorkSize.NONE)
            .version(continuation.requiredVersion())
            .build();
    lastRequest = wanted;
    parts.slots().acquire(wanted, this::onSlot);
  }

  /** Ends a request that would crash its endpoint; returns whether it did. */
  private boolean refused(Optional<CrashBlock> block) {
    block.ifPresent(
        found -> {
          lines.blocked(found);
          end(AttemptRules.finalStep(state()), found.retryAfter(), "a part crashes endpoints");
        });
    return block.isPresent();
  }

  private static Duration objectives(Route route, double count) {
    return Duration.ofMillis((long) (route.objective().toMillis() * count));
  }

  private void onSlot(SlotAnswer answer) {
    if (done) {
      return;
    }
    if (answer instanceof SlotAnswer.Granted granted) {
      SlotRequest asked = lastRequest;
      if (asked != null && asked.charged()) {
        chargedRequest = asked;
      }
      parts.metrics().time("requests.slot", route.name(), Duration.ofMillis(time.sinceArrival()));
      send(granted.incarnation());
    } else if (answer instanceof SlotAnswer.OverLimit over) {
      slot = null;
      lines.limitExceeded(over.retryAfter());
      responder.sendStatus(429, over.retryAfter());
      finish(SlotOutcome.ABANDONED);
    } else if (answer instanceof SlotAnswer.Refused refused) {
      slot = null;
      if (refused.reason().cause() == RefusalCause.VERSION_GONE) {
        continuation.versionGone();
      }
      lines.slotRefused(refused, excluded.size(), requestedAt);
      end(AttemptRules.finalStep(state()), refused.retryAfter(), "no slot within the longest wait");
    }
  }

  private void send(EndpointIncarnation incarnation) {
    if (refused(run.admit())) {
      return;
    }
    endpoint = incarnation;
    Optional<EndpointRecord> target = parts.directory().find(incarnation.id());
    if (target.isPresent() && !continuation.accepts(target.get())) {
      // The coordinator runs a former version of this program, or its list differs.
      rejections++;
      excludeCurrent(SlotOutcome.ABANDONED);
      proceed(AttemptRules.afterNotRun(state()), "the endpoint has another version");
      return;
    }
    if (target.isEmpty() || target.get().leaving()) {
      // The coordinator's list of endpoints is older than that of this process.
      rejections++;
      excludeCurrent(SlotOutcome.REPLACED);
      proceed(AttemptRules.afterNotRun(state()), "the endpoint is leaving");
      return;
    }
    relay.begin();
    parts
        .log()
        .routine("front", "request.sent")
        .with("id", request.id())
        .with("route", route.name())
        .with("endpoint", incarnation.id())
        .with("version", target.get().version())
        .with("workspace", request.workspaceName())
        .with("config", parts.config().current().map(RoutingConfig::version).orElse(-1L))
        .with("runs", runs)
        .with("millis", time.sinceArrival())
        .write();
    continuation.sentTo(target.get());
    run.sentTo(incarnation, target.get().address());
    call =
        parts
            .pool()
            .send(
                incarnation,
                target.get().address(),
                request.toEndpoint(incarnation.id(), time.left(), relay.lastEventId()),
                relay);
    watch.start();
  }

  /** Reports a silent endpoint to the coordinator, so that other requests are placed elsewhere. */
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
   * Abandons a silent endpoint if the request may be repeated or resumed. The closed connection
   * ends the work there if the endpoint is still running. Any other request keeps waiting, and the
   * endpoint is reported to the coordinator, so that further requests are placed elsewhere.
   */
  @Override
  public boolean stalled(Duration silence) {
    AttemptRules.State after =
        new AttemptRules.State(runs + 1, rejections, relay.headSent(), time.allowsAttempt());
    NextStep next = AttemptRules.afterFailure(route, after);
    if (next != NextStep.SEND_AGAIN && next != NextStep.RESUME) {
      suspicious(silence);
      return true;
    }
    EndpointCall silent = call;
    if (silent != null) {
      silent.abort();
    }
    onFailed(true, "silent for " + silence.toMillis() + " ms");
    return false;
  }

  private @Nullable String endpointId() {
    return endpoint == null ? null : endpoint.id();
  }

  private void proceed(NextStep step, String cause) {
    boolean again = step == NextStep.SEND_AGAIN || step == NextStep.RESUME;
    if (again && continuation.mayContinue()) {
      acquire();
    } else {
      end(again ? AttemptRules.finalStep(state()) : step, REJECTED_RETRY, cause);
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
        .with("turnedAway", rejections)
        .with("retryMillis", retryAfter.toMillis())
        .write();
    switch (step) {
      case REFUSE -> {
        refund();
        responder.sendStatus(503, retryAfter);
      }
      case FAIL -> responder.sendStatus(502, null);
      default -> responder.breakOff();
    }
    finish(SlotOutcome.ABANDONED);
  }

  private void onTimeout() {
    if (done) {
      return;
    }
    boolean sent = call != null;
    parts.metrics().count("requests.timeout", route.name());
    line("request.timeout").with("endpoint", endpointId()).with("runs", runs).write();
    if (relay.headSent()) {
      responder.breakOff();
    } else if (sent || runs > 0) {
      responder.sendStatus(504, null);
    } else {
      refund();
      responder.sendStatus(503, REJECTED_RETRY);
    }
    finish(abandonedOutcome());
  }

  /** Takes back the charge of a request that got a slot but was run by no endpoint. */
  private void refund() {
    SlotRequest charged = chargedRequest;
    chargedRequest = null;
    if (charged != null) {
      parts.slots().refund(charged);
    }
  }

  /**
   * Returns the outcome of the slot's use when nobody waits for the response any more.
   *
   * <p>An endpoint may hang on some of its requests until the callers disconnect. If every
   * disconnect counted as a caller's loss of interest, no failure would ever count against the
   * endpoint. The use therefore counts as failed if the endpoint had stalled.
   */
  private SlotOutcome abandonedOutcome() {
    return call != null && watch.stalled() ? SlotOutcome.FAILED : SlotOutcome.ABANDONED;
  }

  private void finish(SlotOutcome outcome) {
    done = true;
    run.end();
    if (timer != null) {
      timer.cancel(false);
    }
    watch.stop();
    boolean complete = outcome == SlotOutcome.ANSWERED || outcome == SlotOutcome.ERROR;
    if (call != null && !complete) {
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
    return new AttemptRules.State(runs, rejections, relay.headSent(), time.allowsAttempt());
  }

  private EventLine line(String event) {
    return lines.line(event);
  }
}
