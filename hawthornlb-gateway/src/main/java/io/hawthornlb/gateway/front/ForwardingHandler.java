package io.hawthornlb.gateway.front;

import io.hawthornlb.gateway.endpoint.EndpointDirectory;
import io.hawthornlb.gateway.event.EventLog;
import io.hawthornlb.gateway.metric.GatewayMetrics;
import io.hawthornlb.gateway.route.ConfigHolder;
import io.hawthornlb.gateway.route.Route;
import io.hawthornlb.gateway.route.RouteKind;
import io.hawthornlb.gateway.route.RoutingConfig;
import io.hawthornlb.gateway.slot.SlotClient;
import io.hawthornlb.gateway.wire.EndpointPool;
import io.hawthornlb.gateway.wire.HeaderNames;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;

/** Finds the route of a request and forwards it, or hands it to the jobs. */
public final class ForwardingHandler implements RequestHandler {

  /** When to come back while no configuration is known; a first read takes some 10 ms. */
  private static final Duration CONFIG_RETRY = Duration.ofMillis(300);

  /** When to come back to another process, which may take the request at once. */
  private static final Duration STOPPING_RETRY = Duration.ofMillis(10);

  private final Parts parts;
  private boolean stopping;

  /**
   * What forwarding needs.
   *
   * @param config configuration in force
   * @param directory endpoints
   * @param slots hands out slots
   * @param pool connections to endpoints
   * @param names names of headers
   * @param jobs takes calls about jobs
   * @param dataCentre where this process stands
   * @param executor the event loop
   * @param clock time
   * @param log decisions
   * @param metrics figures
   */
  public record Parts(
      ConfigHolder config,
      EndpointDirectory directory,
      SlotClient slots,
      EndpointPool pool,
      HeaderNames names,
      RequestHandler jobs,
      String dataCentre,
      ScheduledExecutorService executor,
      InstantSource clock,
      EventLog log,
      GatewayMetrics metrics) {}

  /** Creates a handler. */
  public ForwardingHandler(Parts parts) {
    this.parts = parts;
  }

  /**
   * Refuses all requests from now on.
   *
   * <p>Failure: the end of a request comes so late in a stop that the end of the process would cut
   * its answer. Guard: it is not begun, and its caller is told so.
   */
  public void stopTaking() {
    stopping = true;
  }

  @Override
  public Handling handle(FrontRequest request, Responder responder) {
    if (stopping) {
      refused(request, 503, "the process stops", -1);
      responder.own(503, STOPPING_RETRY);
      return () -> {};
    }
    Optional<RoutingConfig> config = parts.config().current();
    if (config.isEmpty()) {
      // Nothing is known of any route: a 404 would tell the caller to give up.
      refused(request, 503, "no configuration yet", -1);
      responder.own(503, CONFIG_RETRY);
      return () -> {};
    }
    Optional<Route> route = config.get().match(request.host(), request.path());
    boolean aboutJobs = route.isEmpty() && config.get().jobRoute(request.host()).isPresent();
    if (aboutJobs || route.filter(found -> found.kind() == RouteKind.JOB).isPresent()) {
      return parts.jobs().handle(request, responder);
    }
    if (route.isEmpty()) {
      refused(request, 404, "no route", config.get().version());
      responder.own(404, null);
      return () -> {};
    }
    if (request.headers().get(parts.names().requestId()) == null) {
      responder.own(400, null);
      return () -> {};
    }
    Forwarding forwarding = new Forwarding(parts, route.get(), request, responder);
    forwarding.start();
    return forwarding;
  }

  private void refused(FrontRequest request, int status, String cause, long version) {
    parts.metrics().count("requests.refused", cause);
    parts
        .log()
        .important("front", "request.refused")
        .with("id", request.headers().get(parts.names().requestId()))
        .with("status", status)
        .with("cause", cause)
        .with("config", version)
        .write();
  }
}
