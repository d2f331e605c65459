package io.hawthornlb.standin.load.support;

import com.fasterxml.jackson.databind.JsonNode;
import io.hawthornlb.standin.report.Outcome;
import io.hawthornlb.standin.support.WireJson;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Parses the lines of a streamed answer and records the arrival times of its tokens. Safe for use
 * by multiple threads.
 */
final class StreamReader {

  private static final String DATA = "data:";
  private static final String DONE = "[DONE]";

  private final StringBuilder text = new StringBuilder();
  private final List<Long> tokenNanos = new ArrayList<>();
  private @Nullable String id;
  private @Nullable String fault;
  private boolean done;

  /** Parses a line that arrived at the given time. */
  synchronized void line(String line, long nanos) {
    if (!line.startsWith(DATA)) {
      return;
    }
    String data = line.substring(DATA.length()).trim();
    if (done) {
      fault = "goes-on-after-the-end";
    } else if (data.equals(DONE)) {
      done = true;
    } else {
      chunk(data, nanos);
    }
  }

  /** Returns the outcome of the stream after its last line. */
  synchronized Outcome outcome(String expected) {
    if (fault != null) {
      return Outcome.wrong(fault);
    }
    if (!done) {
      return expected.startsWith(text.toString())
          ? Outcome.cut("ends-early")
          : Outcome.wrong(AnswerChecks.difference(expected, text.toString()));
    }
    return AnswerChecks.compare(expected, text.toString());
  }

  /** Returns the arrival times of the tokens. */
  synchronized List<Long> tokenNanos() {
    return List.copyOf(tokenNanos);
  }

  private void chunk(String data, long nanos) {
    try {
      JsonNode chunk = WireJson.mapper().readTree(data);
      String content = chunk.path("choices").path(0).path("delta").path("content").asText("");
      checkId(chunk.path("id").asText(""));
      if (!content.isEmpty()) {
        text.append(content);
        tokenNanos.add(nanos);
      }
    } catch (IOException e) {
      fault = "is-no-json";
    }
  }

  private void checkId(String chunkId) {
    if (id == null) {
      id = chunkId;
    } else if (!chunkId.isEmpty() && !id.equals(chunkId)) {
      fault = "mixes-two-ids";
    }
  }
}
