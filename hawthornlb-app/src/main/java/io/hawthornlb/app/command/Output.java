package io.hawthornlb.app.command;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.hawthornlb.core.model.Finding;
import java.io.PrintStream;
import java.util.List;

/** Output of a command: results and errors go to separate streams. */
public final class Output {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final PrintStream results;
  private final PrintStream errors;

  /** Creates an output that writes to the given streams. */
  public Output(PrintStream results, PrintStream errors) {
    this.results = results;
    this.errors = errors;
  }

  /** Returns an empty JSON object. */
  public static ObjectNode object() {
    return MAPPER.createObjectNode();
  }

  /** Writes one line of the result. */
  public void line(String text) {
    results.println(text);
  }

  /** Writes text of the result without a line break after it. */
  public void text(String text) {
    results.print(text);
    results.flush();
  }

  /** Writes a result as one line of JSON. */
  public void json(JsonNode value) {
    try {
      results.println(MAPPER.writeValueAsString(value));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("cannot serialize a JSON tree", e);
    }
  }

  /**
   * Writes the reason of a failure.
   *
   * <p>JSON is written to the stream of results, text to the stream of errors.
   */
  public void failure(CommandFailedException failure, boolean asJson) {
    if (asJson) {
      ObjectNode document = object();
      document.put("error", failure.getMessage());
      document.set("findings", findings(failure.findings()));
      json(document);
      return;
    }
    failure.findings().forEach(finding -> errors.println(finding.text()));
    errors.println(failure.getMessage());
  }

  private static ArrayNode findings(List<Finding> findings) {
    return MAPPER.valueToTree(findings);
  }
}
