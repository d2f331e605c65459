package io.hawthornlb.app.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.hawthornlb.core.model.Finding;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** Converts a problem document of an entry instance to the exception of the command. */
final class ProblemReader {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private ProblemReader() {}

  static CommandFailedException read(EntryResponse response) {
    JsonNode problem = parse(response.text());
    List<Finding> findings = findings(problem.path("findings"));
    if (!findings.isEmpty()) {
      return CommandFailedException.invalidInput(findings);
    }
    String detail = problem.path("detail").asText("no reason given");
    return CommandFailedException.failed(
        "refused with status " + response.status() + ": " + detail);
  }

  private static JsonNode parse(String text) {
    try {
      JsonNode document = MAPPER.readTree(text);
      return document == null ? MAPPER.createObjectNode() : document;
    } catch (IOException ignored) {
      return MAPPER.createObjectNode();
    }
  }

  private static List<Finding> findings(JsonNode array) {
    List<Finding> findings = new ArrayList<>();
    for (JsonNode element : array) {
      findings.add(
          new Finding(
              element.path("source").asText(),
              element.path("line").asInt(),
              element.path("path").asText(),
              element.path("message").asText("fault")));
    }
    return findings;
  }
}
