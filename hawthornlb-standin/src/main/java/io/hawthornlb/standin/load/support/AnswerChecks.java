package io.hawthornlb.standin.load.support;

import com.fasterxml.jackson.databind.JsonNode;
import io.hawthornlb.standin.report.Outcome;
import io.hawthornlb.standin.service.Echo;
import io.hawthornlb.standin.support.WireJson;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

/** Checks whether answers match their requests. */
public final class AnswerChecks {

  private static final int HASH_PREFIX_LENGTH = 18;

  private AnswerChecks() {}

  /** Checks the body of a chat completion that isn't streamed. */
  public static Outcome completion(String body, String expected) {
    try {
      JsonNode answer = WireJson.mapper().readTree(body);
      return compare(expected, contentOf(answer));
    } catch (IOException e) {
      return Outcome.wrong("is-no-json");
    }
  }

  /** Returns the text of a chat completion that isn't streamed; empty if there is none. */
  static String contentOf(JsonNode answer) {
    return answer.path("choices").path(0).path("message").path("content").asText("");
  }

  /**
   * Checks the body of an echo answer.
   *
   * @param path the expected end of the path that the service received; any prefix before it is
   *     accepted, because a router may or may not pass that prefix on
   */
  public static Outcome echo(String body, String method, String path, String sent) {
    try {
      JsonNode answer = WireJson.mapper().readTree(body);
      String receivedPath = answer.path("path").asText("");
      boolean own = answer.path("body").asText("").equals(sent) && receivedPath.endsWith(path);
      String checksum = Echo.checksum(method, receivedPath, sent.getBytes(StandardCharsets.UTF_8));
      boolean intact = answer.path("checksum").asText("").equals(checksum);
      return own && intact ? Outcome.answered() : Outcome.wrong(own ? "altered" : "foreign");
    } catch (IOException e) {
      return Outcome.wrong("is-no-json");
    }
  }

  static Outcome compare(String expected, String text) {
    return expected.equals(text) ? Outcome.answered() : Outcome.wrong(difference(expected, text));
  }

  /** Returns the kind of difference between an answer and the expected text. */
  static String difference(String expected, String text) {
    if (expected.startsWith(text)) {
      return "truncated";
    }
    String start = expected.substring(0, Math.min(HASH_PREFIX_LENGTH, expected.length()));
    if (!text.startsWith(start)) {
      return "foreign";
    }
    return text.length() > expected.length() ? "doubled" : "altered";
  }
}
