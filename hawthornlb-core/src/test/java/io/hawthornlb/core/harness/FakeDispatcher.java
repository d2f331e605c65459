package io.hawthornlb.core.harness;

import io.hawthornlb.core.claim.Claim;
import io.hawthornlb.core.job.FailureKind;
import io.hawthornlb.core.job.ItemDispatch;
import io.hawthornlb.core.job.ItemFailed;
import io.hawthornlb.core.job.ItemFinished;
import io.hawthornlb.core.job.ItemKey;
import io.hawthornlb.core.job.ItemsCancelled;
import io.hawthornlb.core.job.ItemsDispatched;
import io.hawthornlb.core.job.ItemsHeld;
import io.hawthornlb.core.job.ItemsSettled;
import io.hawthornlb.core.job.PullJobItems;
import io.hawthornlb.core.model.EndpointId;
import io.hawthornlb.core.model.ServiceName;
import io.hawthornlb.core.peer.PeerMessage;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.IntPredicate;

/** Dispatcher that pulls items and runs each for a fixed time. */
public final class FakeDispatcher {

  private static final ServiceName SERVICE = new ServiceName("log-reader");
  private static final EndpointId ENDPOINT = new EndpointId("engine-1");

  private final Node node;
  private final Cluster cluster;
  private final Map<ItemKey, Integer> executions = new HashMap<>();
  private final Set<ItemKey> running = new LinkedHashSet<>();
  private final Map<ItemKey, Report> reports = new LinkedHashMap<>();
  private int width;
  private Duration duration = Duration.ofMillis(30);
  private IntPredicate alwaysFailing = index -> false;
  private Instant heldSentAt = Instant.EPOCH;
  private Instant pulledAt = Instant.EPOCH;

  FakeDispatcher(Node node, Cluster cluster) {
    this.node = node;
    this.cluster = cluster;
  }

  /** Sets how many items run at once; none by default. */
  public void width(int value) {
    width = value;
  }

  public void duration(Duration value) {
    duration = value;
  }

  /** Sets which items always fail. */
  public void alwaysFailing(IntPredicate items) {
    alwaysFailing = items;
  }

  public Map<ItemKey, Integer> executions() {
    return executions;
  }

  public int running() {
    return running.size();
  }

  void tick() {
    Instant now = cluster.now();
    if (width > 0 && !heldSentAt.plusMillis(500).isAfter(now)) {
      heldSentAt = now;
      toHolder(new ItemsHeld(node.id(), List.copyOf(running)));
    }
    resend(now);
    if (running.size() < width && !pulledAt.plusMillis(20).isAfter(now)) {
      pulledAt = now;
      toHolder(new PullJobItems(node.id(), ENDPOINT, SERVICE, width - running.size()));
    }
  }

  void run(ItemsDispatched dispatched) {
    for (ItemDispatch item : dispatched.items()) {
      ItemKey key = new ItemKey(item.job(), item.location().index());
      if (running.add(key)) {
        executions.merge(key, 1, Integer::sum);
        cluster.schedule(duration, () -> node.deliver(() -> finish(key)));
      }
    }
  }

  void cancel(ItemsCancelled cancelled) {
    cancelled.items().forEach(index -> running.remove(new ItemKey(cancelled.job(), index)));
  }

  private void finish(ItemKey key) {
    if (!running.remove(key)) {
      return;
    }
    String name = "item-" + key.index();
    if (alwaysFailing.test(key.index())) {
      report(key, new ItemFailed(node.id(), key, name, FailureKind.TRANSIENT, "broken item"));
    } else {
      report(key, new ItemFinished(node.id(), key, name, "result " + key.index()));
    }
  }

  void settled(ItemsSettled settled) {
    settled.items().forEach(index -> reports.remove(new ItemKey(settled.job(), index)));
  }

  private void report(ItemKey key, PeerMessage message) {
    if (message instanceof ItemFinished) {
      reports.put(key, new Report(message, cluster.now()));
    }
    toHolder(message);
  }

  private void resend(Instant now) {
    reports.replaceAll(
        (key, report) -> {
          if (report.sentAt().plusSeconds(1).isAfter(now)) {
            return report;
          }
          toHolder(report.message());
          return new Report(report.message(), now);
        });
  }

  private void toHolder(PeerMessage message) {
    node.current(Cluster.PARTITION).map(Claim::holder).ifPresent(id -> node.send(id, message));
  }

  private record Report(PeerMessage message, Instant sentAt) {}
}
