package io.hawthornlb.gateway.job;

import io.hawthornlb.core.crash.CrashBlock;
import io.hawthornlb.gateway.event.EventLine;
import io.hawthornlb.gateway.stream.StreamOrigin;
import io.hawthornlb.gateway.wire.EndpointCall;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/** Log lines and counts about one item. */
final class ItemLines {

  private final JobParts parts;
  private final Job job;
  private final JobItem item;

  ItemLines(JobParts parts, Job job, JobItem item) {
    this.parts = parts;
    this.job = job;
    this.item = item;
  }

  /** Starts a line that is dropped first when there are too many lines. */
  EventLine routine(String event) {
    return named(parts.log().routine("job", event));
  }

  /** Starts a line about a failure. */
  EventLine important(String event) {
    return named(parts.log().important("job", event));
  }

  /**
   * Logs a failed attempt, with what shows whether its answer can be a late copy of another one.
   *
   * @param sentAt when the attempt was sent
   */
  void failed(
      int status,
      int failures,
      boolean givenUp,
      @Nullable EndpointCall attempt,
      @Nullable Instant sentAt) {
    parts.metrics().count("items.failed", String.valueOf(status));
    EventLine line = givenUp ? givenUpLine(cause(status)) : routine("item.failed");
    if (attempt != null && sentAt != null) {
      line.with("carried", attempt.carriedBefore())
          .with("millis", Duration.between(sentAt, parts.clock().instant()).toMillis());
    }
    line.with("status", status).with("failures", failures).write();
  }

  /** Logs that the item is held back, with the crashes that are the reason. */
  void blocked(CrashBlock block) {
    parts.metrics().count("items", "blocked");
    routine("item.blocked")
        .with("parts", String.join(" ", block.parts()))
        .with("crashes", String.join(" ", block.crashes()))
        .with("probeMillis", block.retryAfter().toMillis())
        .write();
  }

  /** Logs that the events so far are discarded, as no endpoint can continue them. */
  void begunAnew(Optional<StreamOrigin> began, long lastEventId) {
    parts.metrics().count("items", "begun anew");
    routine("item.begun.anew")
        .with("began", began.map(StreamOrigin::version).orElse("unclear"))
        .with("after", lastEventId)
        .write();
  }

  /** Logs that an endpoint delivers no whole answer. */
  void broken(String endpoint, String cause) {
    important("item.broken").with("endpoint", endpoint).with("cause", cause).write();
  }

  /** Logs that the item is given up without another attempt. */
  void givenUp(String cause, int failures) {
    givenUpLine(cause).with("failures", failures).write();
  }

  private EventLine givenUpLine(String cause) {
    parts.metrics().count("items.given.up", cause);
    return important("item.given.up").with("cause", cause);
  }

  private static String cause(int status) {
    return status == ItemRules.PERMANENT_FAILURE ? "permanent failure" : "failed attempts";
  }

  private EventLine named(EventLine line) {
    return line.with("id", item.id()).with("job", job.callerId());
  }
}
