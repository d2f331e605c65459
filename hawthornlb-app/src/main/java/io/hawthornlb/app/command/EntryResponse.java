package io.hawthornlb.app.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.micronaut.http.HttpResponse;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * HTTP response of an entry instance.
 *
 * @param status the HTTP status
 * @param text the body as text
 * @param nextCursor the cursor of the next page, if there is one
 */
record EntryResponse(int status, String text, Optional<String> nextCursor) {

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final String CURSOR_HEADER = "Next-Cursor";
  private static final int FIRST_UNSUCCESSFUL_STATUS = 300;

  static EntryResponse of(HttpResponse<byte[]> response) {
    String text =
        response.getBody().map(bytes -> new String(bytes, StandardCharsets.UTF_8)).orElse("");
    Optional<String> cursor = Optional.ofNullable(response.getHeaders().get(CURSOR_HEADER));
    return new EntryResponse(response.code(), text, cursor);
  }

  boolean isRefusal() {
    return status >= FIRST_UNSUCCESSFUL_STATUS;
  }

  /**
   * Returns the body as JSON.
   *
   * @throws CommandFailedException if the body is not JSON
   */
  JsonNode json() {
    try {
      return MAPPER.readTree(text);
    } catch (IOException e) {
      throw CommandFailedException.failed(
          "the response is not JSON; check that --entry is the address of an entry");
    }
  }
}
