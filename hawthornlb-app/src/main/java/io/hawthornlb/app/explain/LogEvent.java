package io.hawthornlb.app.explain;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Instant;

/**
 * A line of an instance's log.
 *
 * @param source file that it stands in, or what stands before the line in a merged file
 * @param time when it was written
 * @param fields all fields
 */
public record LogEvent(String source, Instant time, JsonNode fields) {

  /** Returns the name of the event with its part. */
  public String name() {
    return fields.path("part").asText() + " " + fields.path("event").asText();
  }

  /** Returns whether the line names an id as that of a request, job or item. */
  boolean names(String id) {
    return fields.path("id").asText().equals(id) || fields.path("job").asText().equals(id);
  }
}
