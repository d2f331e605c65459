package io.hawthornlb.gateway.store.support;

import io.hawthornlb.gateway.metric.GatewayMetrics;
import io.hawthornlb.gateway.store.LogStore;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletionStage;
import org.jspecify.annotations.Nullable;

/** Log store that counts its calls by kind and topic. */
public final class CountedLogStore implements LogStore {

  private static final String CALLS = "store.calls";

  private final LogStore log;
  private final GatewayMetrics metrics;

  /** Creates a store that passes its calls on to another one. */
  public CountedLogStore(LogStore log, GatewayMetrics metrics) {
    this.log = log;
    this.metrics = metrics;
  }

  @Override
  public CompletionStage<Appended> append(AppendCall call) {
    metrics.count(CALLS, "append " + call.topic());
    return log.append(call);
  }

  @Override
  public CompletionStage<LogPage> read(String topic, int partition, long from, Duration wait) {
    metrics.count(CALLS, "read " + topic);
    return log.read(topic, partition, from, wait)
        .whenComplete((page, failure) -> readEnded(topic, page));
  }

  @Override
  public CompletionStage<KeyedPage> newest(String topic, int partition, @Nullable String after) {
    metrics.count(CALLS, "list " + topic);
    return log.newest(topic, partition, after);
  }

  @Override
  public CompletionStage<GroupShare> join(GroupJoin join) {
    metrics.count(CALLS, "join");
    return log.join(join);
  }

  @Override
  public CompletionStage<Void> leave(String group, String member) {
    metrics.count(CALLS, "leave");
    return log.leave(group, member);
  }

  @Override
  public CompletionStage<Map<Integer, String>> owners(String group, String topic) {
    metrics.count(CALLS, "owners");
    return log.owners(group, topic);
  }

  private void readEnded(String topic, @Nullable LogPage page) {
    if (page == null) {
      metrics.count("store.reads.failed", topic);
    } else if (page.records().isEmpty()) {
      metrics.count("store.reads.empty", topic);
    }
  }
}
