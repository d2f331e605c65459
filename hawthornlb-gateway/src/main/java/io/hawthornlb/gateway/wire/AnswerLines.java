package io.hawthornlb.gateway.wire;

import io.hawthornlb.gateway.event.EventLog;
import io.hawthornlb.gateway.metric.GatewayMetrics;
import org.jspecify.annotations.Nullable;

/** Log lines and counts of the answers that reached no request or were ended for their size. */
final class AnswerLines {

  private final HeaderNames names;
  private final GatewayMetrics metrics;
  private final EventLog log;

  AnswerLines(HeaderNames names, GatewayMetrics metrics, EventLog log) {
    this.names = names;
    this.metrics = metrics;
    this.log = log;
  }

  /** Returns the name of the header in which endpoints echo the id of a request. */
  String requestIdName() {
    return names.requestId();
  }

  HeaderNames names() {
    return names;
  }

  /**
   * Logs and counts a connection that is closed since what comes next on it is in doubt.
   *
   * @param cause one of a few texts, also the label of the metric
   * @param lastId id of the request that waits, or else was sent last, on the connection
   */
  void distrusted(String cause, @Nullable String lastId, String endpoint) {
    metrics.count("connections.distrusted", cause);
    log.important("endpoint", "connection.distrusted")
        .with("id", lastId)
        .with("endpoint", endpoint)
        .with("cause", cause)
        .write();
  }

  /** Logs and counts an answer that reached no request. */
  void dropped(DroppedAnswer answer) {
    metrics.count("answers.dropped", answer.owner().label());
    log.important("endpoint", "answer.dropped")
        .with("id", answer.waitingId())
        .with("echoed", answer.echoedId())
        .with("endpoint", answer.endpoint())
        .with("cause", answer.owner().label())
        .with("status", answer.status())
        .with("carried", answer.carried())
        .write();
  }

  /** Logs and counts an answer that was ended because of its size. */
  void ended(EndedAnswer answer) {
    metrics.count("answers.ended", answer.part().label());
    log.important("endpoint", "answer.ended")
        .with("id", answer.requestId())
        .with("endpoint", answer.endpoint())
        .with("where", answer.part().label())
        .with("bytes", answer.bytes())
        .write();
  }
}
