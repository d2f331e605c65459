package io.hawthornlb.gateway.front;

import io.hawthornlb.core.crash.PromptParts;
import io.hawthornlb.core.model.WorkspaceId;
import io.hawthornlb.core.work.WorkSize;
import io.hawthornlb.core.workspace.Workspace;
import io.hawthornlb.gateway.crash.ContentHash;
import io.hawthornlb.gateway.event.EventLog;
import io.hawthornlb.gateway.route.Route;
import io.hawthornlb.gateway.route.RouteKind;
import io.hawthornlb.gateway.stream.StreamId;
import io.hawthornlb.gateway.wire.HeaderNames;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.jspecify.annotations.Nullable;

/** A caller's request on its route: what coordinators and endpoints get to know of it. */
final class ForwardedRequest {

  private final FrontRequest request;
  private final Route route;
  private final HeaderNames names;
  private final EventLog log;
  private final long fingerprint;
  private final PromptParts parts;

  ForwardedRequest(FrontRequest request, Route route, HeaderNames names, EventLog log) {
    this.request = request;
    this.route = route;
    this.names = names;
    this.log = log;
    this.fingerprint = ContentHash.of(request.uri(), request.body());
    this.parts = names.promptParts().read(request.headers()::get).withContent(fingerprint);
  }

  /** Returns the id that the caller gave this attempt. */
  String id() {
    return request.headers().get(names.requestId(), "");
  }

  /** Returns whether the caller resumes a stream, of which it has events already. */
  boolean resumesStream() {
    String last = request.headers().get(names.lastEventId());
    return route.kind() == RouteKind.STREAM && last != null && !last.isBlank();
  }

  /**
   * Returns the id of the attempt that began the stream: the one that the caller names if it
   * resumes a stream, else this one. Empty if the caller names none.
   */
  Optional<String> begunBy() {
    return resumesStream()
        ? Optional.ofNullable(request.headers().get(names.resumes())).map(String::trim)
        : Optional.of(id());
  }

  /**
   * Returns the stream that the request begins or resumes; empty if its caller does not name it.
   */
  Optional<StreamId> stream() {
    return begunBy().map(attempt -> StreamId.of(workspace(), attempt));
  }

  /** Returns the last event that the caller has; negative if it has none or names no number. */
  long lastEventId() {
    String last = resumesStream() ? request.headers().get(names.lastEventId()) : "";
    try {
      return Math.max(-1, Long.parseLong(last.trim()));
    } catch (NumberFormatException e) {
      // The endpoint decides about a value that is no number; it is passed on as it is.
      return -1;
    }
  }

  /** Returns the request as one that resumes a stream. */
  SingleVersion.Resumption resumption() {
    return new SingleVersion.Resumption(route, request.host(), request.path(), request.arrived());
  }

  /** Returns when the request was complete. */
  Instant arrived() {
    return request.arrived();
  }

  /** Returns the workspace of the caller; null if the caller is anonymous. */
  @Nullable WorkspaceId workspace() {
    Workspace workspace = request.workspace();
    return workspace == null ? null : workspace.id();
  }

  /** Returns the name of the caller's workspace for log lines; null if the caller is anonymous. */
  @Nullable String workspaceName() {
    WorkspaceId workspace = workspace();
    return workspace == null ? null : workspace.value();
  }

  /** Returns the token counts that the request states. */
  WorkSize size() {
    return names.workSize().read(request.headers()::get);
  }

  /** Returns the priority of the workspace, or that of the route if the workspace has none. */
  int priority() {
    Workspace workspace = request.workspace();
    return workspace == null ? route.priority() : workspace.priorityOr(route.priority());
  }

  /**
   * Returns a hash by which a request is recognized when its caller repeats it under another id.
   */
  long fingerprint() {
    return fingerprint;
  }

  /** Returns what the request shares with other requests and with its own repeats. */
  PromptParts parts() {
    return parts;
  }

  /**
   * Returns the time that the caller and the route allow; that of the route if the caller's is
   * unreadable.
   */
  Duration timeAllowed() {
    String remaining = request.headers().get(names.remainingMillis());
    if (remaining == null) {
      return route.timeout();
    }
    try {
      Duration callers = Duration.ofMillis(Long.parseLong(remaining.trim()));
      return callers.compareTo(route.timeout()) < 0 ? callers : route.timeout();
    } catch (NumberFormatException e) {
      log.routine("front", "budget.unreadable").with("id", id()).with("value", remaining).write();
      return route.timeout();
    }
  }

  /**
   * Returns the request to an endpoint.
   *
   * @param left time until the caller gives up
   * @param lastEventId last event of a stream that is resumed; negative if none
   */
  FullHttpRequest toEndpoint(String endpointId, Duration left, long lastEventId) {
    HttpHeaders headers = ForwardedHeaders.toEndpoint(request.headers(), names);
    headers.set(names.remainingMillis(), Math.max(1, left.toMillis()));
    headers.set(names.expectedEndpoint(), endpointId);
    WorkspaceId workspace = workspace();
    if (workspace != null) {
      headers.set(names.workspace(), workspace.value());
    }
    if (lastEventId >= 0) {
      headers.set(names.lastEventId(), lastEventId);
    }
    if (request.body().length > 0 || !request.method().equals(HttpMethod.GET)) {
      headers.set(HttpHeaderNames.CONTENT_LENGTH, request.body().length);
    }
    return new DefaultFullHttpRequest(
        HttpVersion.HTTP_1_1,
        request.method(),
        request.uri(),
        Unpooled.wrappedBuffer(request.body()),
        headers,
        new DefaultHttpHeaders());
  }
}
