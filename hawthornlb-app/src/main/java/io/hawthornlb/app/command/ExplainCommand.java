package io.hawthornlb.app.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.hawthornlb.app.explain.Explanation;
import io.hawthornlb.app.explain.LogEvent;
import io.hawthornlb.app.explain.LogReader;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.jspecify.annotations.Nullable;

/** Prints what happened to one request, job or item, according to the logs of instances. */
@Parameters(
    commandNames = "explain",
    commandDescription = "Tell the way of a request, job or item from the logs of instances")
final class ExplainCommand extends AbstractCommand {

  private static final Set<String> HEADER_FIELDS = Set.of("time", "part", "event");

  @Parameter(names = "--id", required = true, description = "Id of a request, job or item")
  private @Nullable String id;

  @Parameter(required = true, description = "LOG...")
  private List<Path> logs = new ArrayList<>();

  @Override
  public void run(Output output) {
    LogReader reader = new LogReader();
    try {
      logs.forEach(reader::read);
    } catch (UncheckedIOException e) {
      throw CommandFailedException.failed(String.valueOf(e.getMessage()));
    }
    String searchedId = Objects.requireNonNull(id);
    List<LogEvent> lines = Explanation.of(searchedId, reader.events());
    if (lines.isEmpty()) {
      throw CommandFailedException.failed("No log line names " + searchedId + ".");
    }
    for (LogEvent line : lines) {
      if (wantsJson()) {
        ObjectNode document = Output.object();
        document.put("source", line.source());
        document.set("line", line.fields());
        output.json(document);
      } else {
        output.line(text(line));
      }
    }
    if (!wantsJson()) {
      output.line(
          reader.skippedLines() + " lines were skipped: truncated or written by other programs.");
    }
  }

  private static String text(LogEvent line) {
    StringBuilder text = new StringBuilder();
    text.append(line.time()).append(' ').append(line.source()).append(' ').append(line.name());
    Iterator<Map.Entry<String, JsonNode>> fields = line.fields().fields();
    while (fields.hasNext()) {
      Map.Entry<String, JsonNode> field = fields.next();
      if (!HEADER_FIELDS.contains(field.getKey())) {
        text.append(' ').append(field.getKey()).append('=').append(field.getValue().asText());
      }
    }
    return text.toString();
  }
}
