package io.hawthornlb.gateway.front;

import io.hawthornlb.gateway.crash.CrashGuard;
import io.hawthornlb.gateway.endpoint.EndpointDirectory;
import io.hawthornlb.gateway.event.EventLog;
import io.hawthornlb.gateway.metric.GatewayMetrics;
import io.hawthornlb.gateway.route.ConfigHolder;
import io.hawthornlb.gateway.route.Route;
import io.hawthornlb.gateway.route.RoutingConfig;
import io.hawthornlb.gateway.slot.SlotClient;
import io.hawthornlb.gateway.stream.StreamOrigins;
import io.hawthornlb.gateway.wire.EndpointPool;
import io.hawthornlb.gateway.wire.HeaderNames;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.concurrent.ScheduledExecutorService;
import org.jspecify.annotations.Nullable;

/**
 * Finds the route of a request and forwards the request to an endpoint, or passes it to the handler
 * of jobs.
 */
public final class ForwardingHandler implements RequestHandler {

  /** Retry-After while no configuration is known; a first read takes about 10 ms. */
  private static final Duration CONFIG_RETRY = Duration.ofMillis(300);

  /** Retry-After while the process stops; another process may take the request at once. */
  private static final Duration STOPPING_RETRY = Duration.ofMillis(10);

  private static final Handling COMPLETED = () -> {};

  private final Parts parts;
  private final RequestResolver resolver;
  private boolean stopping;

  /**
   * Dependencies of request forwarding.
   *
   * @param config configuration in force
   * @param check determines whether the configuration is current
   * @param revocation decides whether known keys are accepted while the configuration is old
   * @param directory endpoints
   * @param slots client that acquires slots
   * @param origins where streams began that callers may resume
   * @param single shows which version began a stream that nobody knows
   * @param crashes keeps requests that crash endpoints from reaching further ones
   * @param pool connections to endpoints
   * @param names names of headers
   * @param jobs handler of requests about jobs
   * @param dataCentre data centre of this process
   * @param executor the event loop
   * @param clock clock
   * @param log event log
   * @param metrics metrics
   */
  public record Parts(
      ConfigHolder config,
      ConfigFreshness check,
      RevocationPolicy revocation,
      EndpointDirectory directory,
      SlotClient slots,
      StreamOrigins origins,
      SingleVersion single,
      CrashGuard crashes,
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
    this.resolver =
        new RequestResolver(parts.names(), request -> parts.jobs().namedJob(request).isPresent());
  }

  /**
   * Refuses all requests from now on.
   *
   * <p>A request that completes late in a shutdown would be cut off by the end of the process. The
   * gateway does not start such a request and tells its caller to retry.
   */
  public void refuseNewRequests() {
    stopping = true;
  }

  @Override
  public Handling handle(FrontRequest request, Responder responder) {
    if (parts.config().current().isEmpty() && !stopping) {
      // No route is known yet, and a 404 would make the caller give the request up.
      return refuse(request, responder, 503, "no configuration yet", CONFIG_RETRY);
    }
    return handleIfAllowed(request, responder).orElseGet(() -> refuseOnceSure(request, responder));
  }

  @Override
  public OptionalInt refusalOf(FrontRequest head) {
    Optional<RoutingConfig> config = parts.config().current();
    if (config.isEmpty() || stopping || resolver.keyKnown(config.get(), head)) {
      return OptionalInt.empty();
    }
    if (!(resolver.resolve(config.get(), head) instanceof RequestResolver.Rejected rejected)
        || !parts.check().isCurrentAt(head.arrived())) {
      return OptionalInt.empty();
    }
    logRefused(head, rejected.status(), rejected.cause());
    return OptionalInt.of(rejected.status());
  }

  /**
   * Starts handling a request that the configuration allows, and any request while the process
   * stops. Returns empty for a request without a route, with an unknown key where one is needed, or
   * with a key that a version may know which this process has not read.
   */
  private Optional<Handling> handleIfAllowed(FrontRequest request, Responder responder) {
    if (stopping) {
      return Optional.of(refuse(request, responder, 503, "the process stops", STOPPING_RETRY));
    }
    if (keyMayBeNew(request)) {
      return Optional.empty();
    }
    RequestResolver.Resolution resolution = resolve(request);
    if (resolution instanceof RequestResolver.AboutJob job && mayServe(job.request())) {
      Responder answering = job.stranger() ? strangerResponder(request, responder) : responder;
      return Optional.of(parts.jobs().handle(job.request(), answering));
    }
    if (resolution instanceof RequestResolver.Forward forward && mayServe(forward.request())) {
      return Optional.of(forward(forward.route(), forward.request(), responder));
    }
    return Optional.empty();
  }

  /**
   * Returns the responder of a caller without a known key. Only jobs of anonymous callers are
   * looked up for it, so one that is not found may still exist.
   */
  private Responder strangerResponder(FrontRequest request, Responder responder) {
    int unknownKey = RequestResolver.Rejected.UNKNOWN_KEY.status();
    return new StatusMappingResponder(
        responder,
        status -> {
          if (status != RequestResolver.Rejected.NO_ROUTE.status()) {
            return status;
          }
          logRefused(request, unknownKey, RequestResolver.Rejected.UNKNOWN_KEY.cause());
          return unknownKey;
        });
  }

  private boolean keyMayBeNew(FrontRequest request) {
    return resolver.namesUnknownKey(parts.config().current().orElseThrow(), request)
        && !parts.check().isCurrentAt(request.arrived());
  }

  private boolean mayServe(FrontRequest request) {
    return parts.revocation().allows(request, parts.check().freshAsOf());
  }

  private RequestResolver.Resolution resolve(FrontRequest request) {
    return resolver.resolve(parts.config().current().orElseThrow(), request);
  }

  private Handling forward(Route route, FrontRequest request, Responder responder) {
    if (request.headers().get(parts.names().requestId()) == null) {
      responder.sendStatus(400, null);
      return COMPLETED;
    }
    Forwarding forwarding = new Forwarding(parts, route, request, responder);
    forwarding.start();
    return forwarding;
  }

  /**
   * Refuses a request that the configuration does not allow. Reads the configuration again first if
   * the local copy may be stale.
   */
  private Handling refuseOnceSure(FrontRequest request, Responder responder) {
    if (parts.check().isCurrentAt(request.arrived())) {
      return refuseDisallowed(request, responder);
    }
    DeferredHandling later = new DeferredHandling(responder, STOPPING_RETRY);
    parts
        .check()
        .refreshFor(request.arrived(), () -> later.start(() -> handleOrRefuse(request, responder)));
    return later;
  }

  private Handling handleOrRefuse(FrontRequest request, Responder responder) {
    return handleIfAllowed(request, responder)
        .orElseGet(() -> refuseDisallowed(request, responder));
  }

  private Handling refuseDisallowed(FrontRequest request, Responder responder) {
    if (!parts.check().isCurrentAt(request.arrived())
        || !(resolve(request) instanceof RequestResolver.Rejected rejected)) {
      return refuse(request, responder, 503, "configuration may be old", ConfigFreshness.RETRY);
    }
    Optional<FrontRequest> submission =
        rejected == RequestResolver.Rejected.NO_ROUTE ? submission(request) : Optional.empty();
    return submission
        .map(again -> parts.jobs().confirm(again, responder))
        .orElseGet(() -> refuse(request, responder, rejected.status(), rejected.cause(), null));
  }

  /**
   * Returns a request that submits a job and has no route, with its workspace. The job may have
   * been accepted while it had one, and its caller may not know that.
   */
  private Optional<FrontRequest> submission(FrontRequest request) {
    RoutingConfig config = parts.config().current().orElseThrow();
    return parts.jobs().submitsJob(request)
            && resolver.resolveJob(config, request) instanceof RequestResolver.AboutJob job
            && mayServe(job.request())
        ? Optional.of(job.request())
        : Optional.empty();
  }

  private Handling refuse(
      FrontRequest request,
      Responder responder,
      int status,
      String cause,
      @Nullable Duration retry) {
    logRefused(request, status, cause);
    responder.sendStatus(status, retry);
    return COMPLETED;
  }

  private void logRefused(FrontRequest request, int status, String cause) {
    parts.metrics().count("requests.refused", cause);
    parts
        .log()
        .important("front", "request.refused")
        .with("id", request.headers().get(parts.names().requestId()))
        .with("job", parts.jobs().namedJob(request).orElse(null))
        .with("status", status)
        .with("cause", cause)
        .with("config", parts.config().current().map(RoutingConfig::version).orElse(-1L))
        .with("configProven", String.valueOf(parts.check().freshAsOf()))
        .write();
  }
}
