package io.hawthornlb.standin.load.support;

import com.fasterxml.jackson.databind.JsonNode;
import io.hawthornlb.standin.report.Outcome;
import io.hawthornlb.standin.support.WireJson;
import java.io.IOException;
import java.net.http.HttpHeaders;
import java.net.http.HttpTimeoutException;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeoutException;

/** Converts refusals and connection failures to outcomes. */
final class Refusals {

  static final int CLIENT_ERROR = 400;

  private Refusals() {}

  static boolean refused(int status) {
    return status >= CLIENT_ERROR;
  }

  /**
   * Converts a refusal to an outcome.
   *
   * <p>The reason is the last part of the problem document's type, or the HTTP status if there is
   * no such type.
   */
  static Outcome read(int status, HttpHeaders headers, String body) {
    JsonNode problem = parse(body);
    String type = problem.path("type").asText("");
    String last = type.substring(Math.max(type.lastIndexOf('/'), type.lastIndexOf(':')) + 1);
    String reason = last.isBlank() || last.equals("blank") ? "status-" + status : last;
    String run = problem.path("run").asText(Outcome.UNSAID);
    return Outcome.refused(reason, run, retryAfter(headers));
  }

  /** Converts a connection failure or a timeout to an outcome. */
  static Outcome failure(Throwable failure) {
    Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
    if (HttpCaller.unreachable(failure)) {
      return Outcome.unreachable();
    }
    boolean timedOut = cause instanceof HttpTimeoutException || cause instanceof TimeoutException;
    return Outcome.failed(timedOut ? "timeout" : "connection-lost");
  }

  private static Optional<Duration> retryAfter(HttpHeaders headers) {
    try {
      return headers.firstValue("Retry-After").map(Long::parseLong).map(Duration::ofSeconds);
    } catch (NumberFormatException e) {
      return Optional.empty();
    }
  }

  private static JsonNode parse(String body) {
    try {
      JsonNode parsed = WireJson.mapper().readTree(body);
      return parsed == null ? WireJson.mapper().nullNode() : parsed;
    } catch (IOException e) {
      return WireJson.mapper().nullNode();
    }
  }
}
