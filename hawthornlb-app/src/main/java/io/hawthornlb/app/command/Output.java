package io.hawthornlb.app.command;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.hawthornlb.core.model.Finding;
import java.io.PrintStream;
import java.util.List;

/** What a command writes: results to one stream, faults to the other. */
public final class Output {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final PrintStream results;
  private final PrintStream faults;

  /** Creates an output on two streams. */
  public Output(PrintStream results, PrintStream faults) {
    this.results = results;
    this.faults = faults;
  }

  /** Returns an empty JSON object. */
  public static ObjectNode object() {
    return MAPPER.createObjectNode();
  }

  /** Writes a line of the result. */
  public void line(String text) {
    results.println(text);
  }

  /** Writes text of the result as it is. */
  public void text(String text) {
    results.print(text);
    results.flush();
  }

  /** Writes a result as one line of JSON. */
  public void json(JsonNode value) {
    try {
      results.println(MAPPER.writeValueAsString(value));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a JSON tree can always be written", e);
    }
  }

  /** Writes why a command did not do what was asked. */
  public void failure(CommandFailedException failure, boolean asJson) {
    if (asJson) {
      ObjectNode document = object();
      document.put("error", failure.getMessage());
      document.set("findings", findings(failure.findings()));
      json(document);
      return;
    }
    failure.findings().forEach(finding -> faults.println(finding.text()));
    faults.println(failure.getMessage());
  }

  private static ArrayNode findings(List<Finding> findings) {
    return MAPPER.valueToTree(findings);
  }
}
