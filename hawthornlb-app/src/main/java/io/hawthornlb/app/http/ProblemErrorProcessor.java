package io.hawthornlb.app.http;

import io.hawthornlb.core.model.Finding;
import io.hawthornlb.core.model.Refusal;
import io.hawthornlb.core.model.RefusalReason;
import io.micronaut.context.annotation.Primary;
import io.micronaut.context.annotation.Requires;
import io.micronaut.http.HttpResponse;
import io.micronaut.http.MutableHttpResponse;
import io.micronaut.http.server.exceptions.response.Error;
import io.micronaut.http.server.exceptions.response.ErrorContext;
import io.micronaut.http.server.exceptions.response.ErrorResponseProcessor;
import jakarta.inject.Singleton;
import java.util.List;

/** Converts errors that the HTTP server itself detects into problem documents. */
@Singleton
@Primary
@Requires(property = "hawthornlb.role", value = "entry")
public class ProblemErrorProcessor implements ErrorResponseProcessor<ProblemDocument> {

  private static final int FIRST_SERVER_ERROR = 500;

  @Override
  public MutableHttpResponse<ProblemDocument> processResponse(
      ErrorContext context, MutableHttpResponse<?> response) {
    int status = response.code();
    List<Finding> findings =
        context.getErrors().stream().map(ProblemErrorProcessor::finding).toList();
    ProblemDocument document =
        ProblemDocument.of(refusal(status).withFindings(findings)).withStatus(status);
    return HttpResponse.<ProblemDocument>status(status, "")
        .headers(headers -> response.getHeaders().forEachValue(headers::add))
        .contentType(ProblemDocument.MEDIA_TYPE)
        .body(document);
  }

  private static Refusal refusal(int status) {
    RefusalReason reason =
        switch (status) {
          case 401 -> RefusalReason.UNAUTHORIZED;
          case 404 -> RefusalReason.NOT_FOUND;
          case 413 -> RefusalReason.TOO_LARGE;
          default -> RefusalReason.INVALID_REQUEST;
        };
    if (status >= FIRST_SERVER_ERROR) {
      return Refusal.mayHaveRun(RefusalReason.ENDPOINT_FAILED, "the request failed here");
    }
    return Refusal.notRun(reason, "the request was not understood");
  }

  private static Finding finding(Error error) {
    String message = error.getMessage();
    String text = message == null || message.isBlank() ? "no detail" : message;
    return new Finding("request", 0, error.getPath().orElse(""), text);
  }
}
