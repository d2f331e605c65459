package io.hawthornlb.app.explain;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * One structured line of an instance's log.
 *
 * @param source the name of the log file, or in a merged file the word before the JSON object
 * @param time the time at which the line was written
 * @param fields all fields of the line
 */
public record LogEvent(String source, Instant time, JsonNode fields) {

  /** Returns the part and the name of the event, separated by a space. */
  public String name() {
    return fields.path("part").asText() + " " + fields.path("event").asText();
  }

  /**
   * Returns whether the line has the given id as its {@code id} or {@code job} field, among its
   * {@code ids}, as the attempt that began its stream, or as the id that a dropped answer named.
   */
  boolean concerns(String id) {
    return fields.path("id").asText().equals(id)
        || fields.path("job").asText().equals(id)
        || fields.path("echoed").asText().equals(id)
        || words("ids").contains(id)
        || begunBy().equals(id);
  }

  /** Returns the words of a field that are separated by spaces; none if it is missing. */
  Set<String> words(String field) {
    String text = fields.path(field).asText();
    return text.isEmpty() ? Set.of() : new HashSet<>(List.of(text.split(" ")));
  }

  /** Returns the attempt that began the stream of the line; empty if it names none. */
  String begunBy() {
    return fields.path("begunBy").asText();
  }
}
