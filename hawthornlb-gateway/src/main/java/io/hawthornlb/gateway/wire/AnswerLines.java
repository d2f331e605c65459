package io.hawthornlb.gateway.wire;

import io.hawthornlb.gateway.event.EventLog;
import io.hawthornlb.gateway.metric.GatewayMetrics;

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
