package io.hawthornlb.standin.load.support;

import com.fasterxml.jackson.databind.JsonNode;
import io.hawthornlb.standin.report.Outcome;
import io.hawthornlb.standin.service.Echo;
import io.hawthornlb.standin.support.WireJson;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/** Checks answers against their requests. */
public final class AnswerChecks {

  private static final int HASH_PART = 18;

  private AnswerChecks() {}

  /** Checks the body of a whole chat completion. */
  public static Outcome completion(String body, String expected) {
    try {
      JsonNode answer = WireJson.mapper().readTree(body);
      return compare(expected, contentOf(answer));
    } catch (IOException e) {
      return Outcome.wrong("is-no-json");
    }
  }

  /** Returns the text of a whole chat completion; empty when there is none. */
  static String contentOf(JsonNode answer) {
    return answer.path("choices").path(0).path("message").path("content").asText("");
  }

  /**
   * Checks the body of an echo.
   *
   * @param path the end of the path that the service must have seen; what comes before it, as a
   *     router may or may not pass it on, is free
   */
  public static Outcome echo(String body, String method, String path, String sent) {
    try {
      JsonNode answer = WireJson.mapper().readTree(body);
      String seen = answer.path("path").asText("");
      boolean own = answer.path("body").asText("").equals(sent) && seen.endsWith(path);
      String checksum = Echo.checksum(method, seen, sent.getBytes(StandardCharsets.UTF_8));
      boolean whole = answer.path("checksum").asText("").equals(checksum);
      return own && whole ? Outcome.answered() : Outcome.wrong(own ? "altered" : "foreign");
    } catch (IOException e) {
      return Outcome.wrong("is-no-json");
    }
  }

  static Outcome compare(String expected, String text) {
    return expected.equals(text) ? Outcome.answered() : Outcome.wrong(difference(expected, text));
  }

  /** Names the way in which a text differs from the one that was expected. */
  static String difference(String expected, String text) {
    if (expected.startsWith(text)) {
      return "truncated";
    }
    String start = expected.substring(0, Math.min(HASH_PART, expected.length()));
    if (!text.startsWith(start)) {
      return "foreign";
    }
    return text.length() > expected.length() ? "doubled" : "altered";
  }
}
