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
import org.jspecify.annotations.Nullable;

/** Finds the route of a request and forwards it, or hands it to the jobs. */
public final class ForwardingHandler implements RequestHandler {

  /** When to come back while no configuration is known; a first read takes some 10 ms. */
  private static final Duration CONFIG_RETRY = Duration.ofMillis(300);

  /** When to come back to another process, which may take the request at once. */
  private static final Duration STOPPING_RETRY = Duration.ofMillis(10);

  private static final Handling NOTHING_LEFT = () -> {};

  private final Parts parts;
  private boolean stopping;

  /**
   * What forwarding needs.
   *
   * @param config configuration in force
   * @param check tells whether the configuration may be relied on
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
      ConfigCheck check,
      EndpointDirectory directory,
      SlotClient slots,
      EndpointPool pool,
      HeaderNames names,
      JobRequestHandler jobs,
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
    if (parts.config().current().isEmpty() && !stopping) {
      // Nothing is known of any route: a 404 would tell the caller to give up.
      return refuse(request, responder, 503, "no configuration yet", CONFIG_RETRY);
    }
    return takeIfKnown(request, responder).orElseGet(() -> refuseOnceSure(request, responder));
  }

  /** Begins to handle a request that has a route, or that cannot be handled whatever its route. */
  private Optional<Handling> takeIfKnown(FrontRequest request, Responder responder) {
    if (stopping) {
      return Optional.of(refuse(request, responder, 503, "the process stops", STOPPING_RETRY));
    }
    RoutingConfig config = parts.config().current().orElseThrow();
    Optional<Route> route = config.match(request.host(), request.path());
    boolean aboutJob =
        route.isEmpty()
            && config.jobRoute(request.host()).isPresent()
            && parts.jobs().namesJob(request);
    if (aboutJob || route.filter(found -> found.kind() == RouteKind.JOB).isPresent()) {
      return Optional.of(parts.jobs().handle(request, responder));
    }
    return route.map(found -> forward(found, request, responder));
  }

  private Handling forward(Route route, FrontRequest request, Responder responder) {
    if (request.headers().get(parts.names().requestId()) == null) {
      responder.own(400, null);
      return NOTHING_LEFT;
    }
    Forwarding forwarding = new Forwarding(parts, route, request, responder);
    forwarding.start();
    return forwarding;
  }

  /** Refuses a request without a route, after another look at the configuration if that is old. */
  private Handling refuseOnceSure(FrontRequest request, Responder responder) {
    if (parts.check().holdsAt(request.arrived())) {
      return refuseUnknown(request, responder);
    }
    DeferredHandling later = new DeferredHandling(responder, STOPPING_RETRY);
    parts
        .check()
        .renew(request.arrived(), () -> later.begin(() -> takeOrRefuse(request, responder)));
    return later;
  }

  private Handling takeOrRefuse(FrontRequest request, Responder responder) {
    return takeIfKnown(request, responder).orElseGet(() -> refuseUnknown(request, responder));
  }

  private Handling refuseUnknown(FrontRequest request, Responder responder) {
    return parts.check().holdsAt(request.arrived())
        ? refuse(request, responder, 404, "no route", null)
        : refuse(request, responder, 503, "routes may be old", ConfigCheck.RETRY);
  }

  private Handling refuse(
      FrontRequest request,
      Responder responder,
      int status,
      String cause,
      @Nullable Duration retry) {
    refused(request, status, cause);
    responder.own(status, retry);
    return NOTHING_LEFT;
  }

  private void refused(FrontRequest request, int status, String cause) {
    parts.metrics().count("requests.refused", cause);
    parts
        .log()
        .important("front", "request.refused")
        .with("id", request.headers().get(parts.names().requestId()))
        .with("status", status)
        .with("cause", cause)
        .with("config", parts.config().current().map(RoutingConfig::version).orElse(-1L))
        .with("configProven", String.valueOf(parts.check().freshAsOf()))
        .write();
  }
}
