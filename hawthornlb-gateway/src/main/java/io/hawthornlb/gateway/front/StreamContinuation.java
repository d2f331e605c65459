package io.hawthornlb.gateway.front;

import io.hawthornlb.gateway.endpoint.EndpointRecord;
import io.hawthornlb.gateway.event.EventLine;
import io.hawthornlb.gateway.route.Route;
import io.hawthornlb.gateway.route.RouteKind;
import io.hawthornlb.gateway.stream.StreamOrigin;
import io.hawthornlb.gateway.stream.StreamVersion;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;

/**
 * Keeps a forwarded stream at the version that began it, over the endpoints of one response and
 * over the attempts of its caller.
 */
final class StreamContinuation {

  /**
   * Retry-After of a caller whose stream nobody knows; those who know it may be reachable again
   * after a short network failure.
   */
  static final Duration UNKNOWN_RETRY = Duration.ofMillis(300);

  /** Makes a version that no endpoint has. */
  private static final String UNCLEAR_SUFFIX = "\0unclear";

  private final ForwardingHandler.Parts parts;
  private final Route route;
  private final ForwardedRequest request;
  private final StreamVersion version;
  private String evidence = "its first event came through this response";

  /** Receives whether the request may be placed. */
  interface Receiver {

    /**
     * Called if a stream may be continued.
     *
     * @param service service whose endpoints may continue it
     */
    void onKnown(String service);

    /** Called if the stream must not be continued. */
    void onUnknown(String cause);
  }

  StreamContinuation(ForwardingHandler.Parts parts, Route route, ForwardedRequest request) {
    this.parts = parts;
    this.route = route;
    this.request = request;
    this.version = new StreamVersion(parts.directory(), null);
  }

  /** Finds where the stream began that the caller resumes. */
  void find(Receiver receiver) {
    Runnable unknown = () -> findOnlyVersion(receiver);
    Consumer<Optional<StreamOrigin>> found =
        origin ->
            origin.ifPresentOrElse(each -> onFound(each, "its origin is known", receiver), unknown);
    request.stream().ifPresentOrElse(stream -> parts.origins().find(stream, found), unknown);
  }

  /** Continues a stream that nobody knows if only one version can have begun it. */
  private void findOnlyVersion(Receiver receiver) {
    parts
        .single()
        .find(
            request.resumption(),
            shown ->
                shown
                    .origin()
                    .ifPresentOrElse(
                        each -> onFound(each, shown.reason(), receiver),
                        () -> refuse(shown.reason(), receiver)));
  }

  private void refuse(String reason, Receiver receiver) {
    evidence = reason;
    logRefused("unknown", "");
    receiver.onUnknown("nobody knows at which version the stream began");
  }

  private void onFound(StreamOrigin origin, String reason, Receiver receiver) {
    evidence = reason;
    boolean served =
        route.services().stream().anyMatch(share -> share.service().equals(origin.service()));
    if (served) {
      version.fix(origin);
      receiver.onKnown(origin.service());
    } else {
      logRefused("service left the route", origin.version());
      receiver.onUnknown("the route no longer leads to the service that began the stream");
    }
  }

  /** Returns the version that an endpoint must have; null before the first event. */
  @Nullable String requiredVersion() {
    return version.origin().map(StreamOrigin::version).orElse(null);
  }

  /** Returns whether an endpoint may be sent the request. */
  boolean accepts(EndpointRecord endpoint) {
    return version.accepts(endpoint);
  }

  /** Records that an endpoint is sent the request. */
  void sentTo(EndpointRecord endpoint) {
    if (request.resumesStream() || version.origin().isPresent()) {
      logContinued(endpoint);
    }
    version.sentTo(endpoint);
  }

  /** Returns whether the first event of the endpoint may be forwarded. */
  boolean admitsFirstEvent() {
    boolean admitted = version.admitsFirstEvent();
    if (admitted && route.kind() == RouteKind.STREAM && route.resumable()) {
      record();
    }
    return admitted;
  }

  /** Returns whether the stream may be continued after its endpoint failed. */
  boolean mayContinue() {
    Optional<StreamOrigin> before = version.origin();
    boolean continued = version.mayContinue();
    if (!continued && before.isPresent()) {
      logRefused("the endpoint restarted with another version", before.get().version());
      withdraw(before.get());
    }
    return continued;
  }

  /** Makes an origin that was told ambiguous, so that no attempt of the caller relies on it. */
  private void withdraw(StreamOrigin told) {
    StreamOrigin other = new StreamOrigin(told.service(), told.version() + UNCLEAR_SUFFIX);
    request.stream().ifPresent(stream -> parts.origins().began(stream, other));
  }

  /** Logs that no endpoint of the version is listed. */
  void versionGone() {
    logRefused("version gone", version.origin().map(StreamOrigin::version).orElse(""));
  }

  private void record() {
    request.stream()
        .ifPresent(
            stream -> version.origin().ifPresent(origin -> parts.origins().began(stream, origin)));
  }

  private void logContinued(EndpointRecord endpoint) {
    String way = request.resumesStream() ? "by a caller" : "within a response";
    parts.metrics().count("streams.continued", way);
    line("stream.continued")
        .with("way", way)
        .with("began", requiredVersion())
        .with("endpoint", endpoint.id())
        .with("version", endpoint.version())
        .with("evidence", evidence)
        .write();
  }

  private void logRefused(String cause, String began) {
    parts.metrics().count("streams.refused", cause);
    line("stream.refused")
        .with("cause", cause)
        .with("began", began)
        .with("evidence", evidence)
        .write();
  }

  private EventLine line(String event) {
    return parts
        .log()
        .important("front", event)
        .with("id", request.id())
        .with("begunBy", request.begunBy().orElse(""))
        .with("route", route.name());
  }
}
