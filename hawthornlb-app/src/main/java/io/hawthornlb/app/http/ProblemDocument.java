package io.hawthornlb.app.http;

import com.fasterxml.jackson.annotation.JsonInclude;
import io.hawthornlb.core.model.Finding;
import io.hawthornlb.core.model.Refusal;
import java.time.Duration;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * A refusal as an RFC 9457 problem document.
 *
 * @param type names the reason
 * @param title the reason in words
 * @param status the HTTP status
 * @param detail one sentence about this occurrence
 * @param run {@code not-run} or {@code may-have-run}
 * @param retryAfterMillis when to come back, in milliseconds
 * @param findings faults of the input with their places
 * @param error the same message where clients of chat completions look for it
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record ProblemDocument(
    String type,
    String title,
    int status,
    String detail,
    String run,
    @Nullable Long retryAfterMillis,
    List<FindingDocument> findings,
    ErrorDocument error) {

  /** The media type of problem documents. */
  public static final String MEDIA_TYPE = "application/problem+json";

  private static final String TYPE_PREFIX = "urn:hawthornlb:problem:";

  /** Returns the document of a refusal. */
  public static ProblemDocument of(Refusal refusal) {
    String name = refusal.reason().wireName();
    return new ProblemDocument(
        TYPE_PREFIX + name,
        name.replace('-', ' '),
        refusal.reason().httpStatus(),
        refusal.detail(),
        refusal.run().wireName(),
        refusal.retryAfter().map(Duration::toMillis).orElse(null),
        refusal.findings().stream().map(FindingDocument::of).toList(),
        new ErrorDocument(refusal.detail(), name, name));
  }

  /** Returns this document with another status. */
  public ProblemDocument withStatus(int other) {
    return new ProblemDocument(type, title, other, detail, run, retryAfterMillis, findings, error);
  }

  /**
   * One finding.
   *
   * @param source what was read
   * @param line the line, or 0
   * @param path the place inside the document
   * @param message what is wrong
   */
  public record FindingDocument(String source, int line, String path, String message) {

    private static FindingDocument of(Finding finding) {
      return new FindingDocument(
          finding.source(), finding.line(), finding.path(), finding.message());
    }
  }

  /**
   * The message in the shape of chat completion errors.
   *
   * @param message the detail
   * @param type the reason
   * @param code the reason
   */
  public record ErrorDocument(String message, String type, String code) {}
}
