package io.hawthornlb.app.entry;

import io.hawthornlb.app.dispatch.OnlineRequest;
import io.hawthornlb.core.model.EndpointId;
import io.hawthornlb.core.model.Refusal;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;
import java.time.Duration;
import java.util.HashSet;
import java.util.Locale;
import java.util.Set;

/**
 * Records metrics of requests by request class and workspace.
 *
 * <p>Only the first 100 workspaces have metrics of their own. All others share one label value, so
 * that the number of metrics of an instance is bounded.
 */
public final class RequestMeters implements RequestObserver {

  private static final int MAX_NAMED_WORKSPACES = 100;
  private static final String OTHER_WORKSPACES = "other";

  private final MeterRegistry registry;
  private final Set<String> namedWorkspaces = new HashSet<>();

  /** Creates an observer that records to a registry. */
  public RequestMeters(MeterRegistry registry) {
    this.registry = registry;
  }

  @Override
  public void sent(OnlineRequest request, EndpointId endpoint) {
    registry
        .counter("hawthornlb.attempts", "service", request.service().name().value())
        .increment();
  }

  @Override
  public void firstAnswer(OnlineRequest request, Duration elapsed) {
    timer("hawthornlb.first.answer", request).record(elapsed);
  }

  @Override
  public void succeeded(OnlineRequest request, Duration elapsed) {
    timer("hawthornlb.request", request).record(elapsed);
  }

  @Override
  public void refused(OnlineRequest request, Refusal refusal) {
    registry
        .counter(
            "hawthornlb.refusals",
            "reason",
            refusal.reason().wireName(),
            "run",
            refusal.run().wireName(),
            "class",
            className(request))
        .increment();
  }

  @Override
  public void finished(OnlineRequest request) {
    registry.counter("hawthornlb.finished", "class", className(request)).increment();
  }

  private Timer timer(String name, OnlineRequest request) {
    return Timer.builder(name)
        .tag("class", className(request))
        .tag("workspace", workspaceName(request))
        .publishPercentileHistogram()
        .minimumExpectedValue(Duration.ofMillis(1))
        .maximumExpectedValue(Duration.ofMinutes(2))
        .register(registry);
  }

  private String workspaceName(OnlineRequest request) {
    String id = request.workspace().id().value();
    if (namedWorkspaces.contains(id)
        || (namedWorkspaces.size() < MAX_NAMED_WORKSPACES && namedWorkspaces.add(id))) {
      return id;
    }
    return OTHER_WORKSPACES;
  }

  private static String className(OnlineRequest request) {
    return request.service().requestClass().name().toLowerCase(Locale.ROOT);
  }
}
