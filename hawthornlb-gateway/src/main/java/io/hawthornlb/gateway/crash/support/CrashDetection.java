package io.hawthornlb.gateway.crash.support;

import io.hawthornlb.core.crash.EndpointCrash;
import io.hawthornlb.gateway.crash.BrokenRun;
import io.hawthornlb.gateway.endpoint.EndpointIncarnation;
import io.hawthornlb.gateway.event.EventLog;
import io.hawthornlb.gateway.metric.GatewayMetrics;
import io.hawthornlb.gateway.wire.EndpointLiveness;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Finds out whether an endpoint has crashed whose connections broke.
 *
 * <p>A connection also breaks when it is reset on the way. Only an endpoint that accepts no further
 * connection either has crashed, so one is tried before anything is suspected.
 */
final class CrashDetection {

  /** A broken run, and who is to know of the crash. */
  private record Check(BrokenRun run, Consumer<EndpointCrash> receiver) {}

  private final EndpointLiveness liveness;
  private final EventLog log;
  private final GatewayMetrics metrics;
  private final Map<EndpointIncarnation, List<Check>> checked = new HashMap<>();

  CrashDetection(EndpointLiveness liveness, EventLog log, GatewayMetrics metrics) {
    this.liveness = liveness;
    this.log = log;
    this.metrics = metrics;
  }

  /** Tells the receiver of the crash, if it was one, with all suspects of this receiver. */
  void check(BrokenRun run, Consumer<EndpointCrash> receiver) {
    List<Check> others = checked.get(run.endpoint());
    if (others != null) {
      others.add(new Check(run, receiver));
      return;
    }
    List<Check> checks = new ArrayList<>(List.of(new Check(run, receiver)));
    checked.put(run.endpoint(), checks);
    liveness.check(
        run.address(),
        ended -> {
          checked.remove(run.endpoint());
          onChecked(run.endpoint(), ended, checks);
        });
  }

  private void onChecked(EndpointIncarnation endpoint, boolean ended, List<Check> checks) {
    Map<Consumer<EndpointCrash>, Set<String>> suspects = new LinkedHashMap<>();
    for (Check each : checks) {
      suspects
          .computeIfAbsent(each.receiver(), receiver -> new LinkedHashSet<>())
          .addAll(each.run().parts().ids());
    }
    Set<String> all = new LinkedHashSet<>();
    suspects.values().forEach(all::addAll);
    metrics.count("crashes", ended ? "endpoint ended" : "endpoint alive");
    log.important("crash", ended ? "endpoint.ended" : "endpoint.alive")
        .with("endpoint", endpoint.id())
        .with("born", endpoint.born())
        .with("ids", String.join(" ", checks.stream().map(each -> each.run().requestId()).toList()))
        .with("parts", String.join(" ", all))
        .write();
    String id = endpoint.id() + ":" + endpoint.born();
    if (ended && id.length() <= EndpointCrash.MAX_ID_LENGTH) {
      suspects.forEach((receiver, parts) -> receiver.accept(new EndpointCrash(id, parts)));
    }
  }
}
