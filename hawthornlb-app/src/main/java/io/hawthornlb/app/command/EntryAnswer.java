package io.hawthornlb.app.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.micronaut.http.HttpResponse;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * An answer of an entry.
 *
 * @param status the HTTP status
 * @param text the body as text
 * @param nextCursor where the next page begins, if there is one
 */
record EntryAnswer(int status, String text, Optional<String> nextCursor) {

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final String CURSOR_HEADER = "Next-Cursor";
  private static final int FIRST_REFUSAL = 300;

  static EntryAnswer of(HttpResponse<byte[]> response) {
    String text =
        response.getBody().map(bytes -> new String(bytes, StandardCharsets.UTF_8)).orElse("");
    Optional<String> cursor = Optional.ofNullable(response.getHeaders().get(CURSOR_HEADER));
    return new EntryAnswer(response.code(), text, cursor);
  }

  boolean isRefusal() {
    return status >= FIRST_REFUSAL;
  }

  /**
   * Returns the body as JSON.
   *
   * @throws CommandFailedException if it is none
   */
  JsonNode json() {
    try {
      return MAPPER.readTree(text);
    } catch (IOException e) {
      throw CommandFailedException.failed("the answer is no JSON; is the address an entry's?");
    }
  }
}
