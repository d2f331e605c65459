package io.hawthornlb.gateway.front;

import io.hawthornlb.core.crash.CrashBlock;
import io.hawthornlb.gateway.event.EventLine;
import io.hawthornlb.gateway.route.Route;
import io.hawthornlb.gateway.route.RoutingConfig;
import io.hawthornlb.gateway.slot.RefusalReason;
import io.hawthornlb.gateway.slot.SlotAnswer;
import java.time.Duration;
import java.time.Instant;
import java.util.Locale;

/** Log lines and counts about why one request is refused. */
final class RequestLines {

  private final ForwardingHandler.Parts parts;
  private final Route route;
  private final ForwardedRequest request;
  private final RequestTime time;

  RequestLines(
      ForwardingHandler.Parts parts, Route route, ForwardedRequest request, RequestTime time) {
    this.parts = parts;
    this.route = route;
    this.request = request;
    this.time = time;
  }

  /** Starts a line about the request. */
  EventLine line(String event) {
    return parts
        .log()
        .important("front", event)
        .with("id", request.id())
        .with("route", route.name())
        .with("millis", time.sinceArrival());
  }

  /** Logs that a part of the request crashes endpoints, with the crashes that show it. */
  void blocked(CrashBlock block) {
    parts.metrics().count("requests.blocked", route.name());
    line("request.blocked")
        .with("parts", String.join(" ", block.parts()))
        .with("crashes", String.join(" ", block.crashes()))
        .write();
  }

  /** Logs that the workspace of the request has used up its limit. */
  void limitExceeded(Duration retryAfter) {
    parts.metrics().count("requests.refused", "over limit");
    line("limit.exceeded")
        .with("workspace", String.valueOf(request.workspace()))
        .with("config", parts.config().current().map(RoutingConfig::version).orElse(-1L))
        .with("retryMillis", retryAfter.toMillis())
        .write();
  }

  /**
   * Logs the slot counts the coordinator reported and the time since the slot was requested.
   *
   * @param excluded number of endpoints that the request must not get
   * @param requestedAt when the slot was requested
   */
  void slotRefused(SlotAnswer.Refused refused, int excluded, Instant requestedAt) {
    EventLine line = line("slot.refused");
    RefusalReason reason = refused.reason();
    if (reason.isKnown()) {
      String cause = reason.cause() + " " + parts.dataCentre() + " " + reason.size();
      parts.metrics().count("slots.refused", cause.toLowerCase(Locale.ROOT));
      line.with("cause", reason.cause().name()).with("aheadMillis", reason.workAhead().toMillis());
    }
    line.with("slots", refused.seen().slots())
        .with("used", refused.seen().used())
        .with("waiting", refused.seen().waiting())
        .with("excluded", excluded)
        .with("askedMillisAgo", Duration.between(requestedAt, parts.clock().instant()).toMillis())
        .write();
  }
}
