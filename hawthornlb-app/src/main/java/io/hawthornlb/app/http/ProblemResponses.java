package io.hawthornlb.app.http;

import io.hawthornlb.app.dispatch.RefusalException;
import io.hawthornlb.core.model.Refusal;
import io.hawthornlb.core.model.RefusalReason;
import io.micronaut.http.HttpHeaders;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.HttpStatus;
import io.micronaut.http.MutableHttpResponse;
import java.time.Duration;

/** Builds HTTP responses with problem documents from refusals and exceptions. */
public final class ProblemResponses {

  private static final System.Logger LOG = System.getLogger(ProblemResponses.class.getName());
  private static final long MILLIS_PER_SECOND = 1_000;

  private ProblemResponses() {}

  /**
   * Returns the response for a refusal.
   *
   * <p>If the instance is stopping, the response also asks the client to close the connection.
   */
  public static MutableHttpResponse<ProblemDocument> of(Refusal refusal) {
    HttpStatus status = HttpStatus.valueOf(refusal.reason().httpStatus());
    MutableHttpResponse<ProblemDocument> response =
        HttpResponse.<ProblemDocument>status(status)
            .contentType(ProblemDocument.MEDIA_TYPE)
            .body(ProblemDocument.of(refusal));
    refusal
        .retryAfter()
        .ifPresent(
            delay -> response.header(HttpHeaders.RETRY_AFTER, Long.toString(seconds(delay))));
    if (refusal.reason() == RefusalReason.STOPPING) {
      response.header(HttpHeaders.CONNECTION, "close");
    }
    return response;
  }

  /**
   * Returns the response for a failed reactive chain.
   *
   * <p>An unexpected error is logged and reported as {@code may-have-run}.
   */
  public static MutableHttpResponse<ProblemDocument> of(Throwable error) {
    if (error instanceof RefusalException refused) {
      return of(refused.refusal());
    }
    LOG.log(System.Logger.Level.ERROR, "http: unexpected error", error);
    return of(Refusal.mayHaveRun(RefusalReason.ENDPOINT_FAILED, "the request failed here"));
  }

  private static long seconds(Duration delay) {
    return Math.max(1, (delay.toMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND);
  }
}
