package io.hawthornlb.app.explain;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Reads structured logs; skips and counts lines that are truncated or of another program. */
public final class LogReader {

  private final ObjectMapper mapper = new ObjectMapper();
  private final List<LogEvent> events = new ArrayList<>();
  private int skippedLines;

  /** Reads all lines of a log file. */
  public void read(Path file) {
    String name = String.valueOf(file.getFileName());
    try {
      String text = new String(Files.readAllBytes(file), StandardCharsets.UTF_8);
      for (String line : text.split("\n")) {
        parse(name, line).ifPresentOrElse(events::add, () -> skippedLines++);
      }
    } catch (IOException e) {
      throw new UncheckedIOException(file + " cannot be read: " + e.getMessage(), e);
    }
  }

  /** Returns the lines that were read, in the order of reading. */
  public List<LogEvent> events() {
    return events;
  }

  /** Returns the number of lines that were skipped. */
  public int skippedLines() {
    return skippedLines;
  }

  private Optional<LogEvent> parse(String file, String line) {
    int start = line.indexOf('{');
    if (start < 0) {
      return Optional.empty();
    }
    String prefix = line.substring(0, start).strip();
    String source = prefix.isEmpty() ? file : prefix.substring(prefix.lastIndexOf(' ') + 1);
    try {
      JsonNode fields = mapper.readTree(line.substring(start));
      Instant time = Instant.parse(fields.path("time").asText());
      return Optional.of(new LogEvent(source, time, fields));
    } catch (JsonProcessingException | DateTimeParseException e) {
      // The line is truncated or of another program; the caller counts it.
      return Optional.empty();
    }
  }
}
