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
 * @param type URN that identifies the reason
 * @param title the reason in words
 * @param status the HTTP status
 * @param detail one sentence about this occurrence
 * @param run whether the request ran: {@code not-run} or {@code may-have-run}
 * @param retryAfterMillis the delay before a retry in milliseconds, if one is known
 * @param findings the faults of the input, each with its location
 * @param error the same message in the field where chat completion clients expect it
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

  /** Returns the document that describes a refusal. */
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

  /** Returns a copy of this document with another status. */
  public ProblemDocument withStatus(int other) {
    return new ProblemDocument(type, title, other, detail, run, retryAfterMillis, findings, error);
  }

  /**
   * One fault of the input.
   *
   * @param source the input that has the fault, such as {@code body} or {@code header}
   * @param line the line number, or 0 if unknown
   * @param path the path of the value inside the input
   * @param message the fault and what was expected
   */
  public record FindingDocument(String source, int line, String path, String message) {

    private static FindingDocument of(Finding finding) {
      return new FindingDocument(
          finding.source(), finding.line(), finding.path(), finding.message());
    }
  }

  /**
   * The refusal in the error format of chat completion APIs.
   *
   * @param message the detail of the refusal
   * @param type the name of the reason
   * @param code the name of the reason
   */
  public record ErrorDocument(String message, String type, String code) {}
}
