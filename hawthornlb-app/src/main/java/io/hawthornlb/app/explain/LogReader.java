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

/** Reads logs; passes over lines that are torn or of another program, and counts them. */
public final class LogReader {

  private final ObjectMapper mapper = new ObjectMapper();
  private final List<LogEvent> events = new ArrayList<>();
  private int foreign;

  /** Reads a file. */
  public void read(Path file) {
    String name = String.valueOf(file.getFileName());
    try {
      String text = new String(Files.readAllBytes(file), StandardCharsets.UTF_8);
      for (String line : text.split("\n")) {
        event(name, line).ifPresentOrElse(events::add, () -> foreign++);
      }
    } catch (IOException e) {
      throw new UncheckedIOException(file + " cannot be read: " + e.getMessage(), e);
    }
  }

  /** Returns the lines that were read. */
  public List<LogEvent> events() {
    return events;
  }

  /** Returns the number of lines that were passed over. */
  public int foreign() {
    return foreign;
  }

  private Optional<LogEvent> event(String file, String line) {
    int start = line.indexOf('{');
    if (start < 0) {
      return Optional.empty();
    }
    String before = line.substring(0, start).strip();
    String source = before.isEmpty() ? file : before.substring(before.lastIndexOf(' ') + 1);
    try {
      JsonNode fields = mapper.readTree(line.substring(start));
      Instant time = Instant.parse(fields.path("time").asText());
      return Optional.of(new LogEvent(source, time, fields));
    } catch (JsonProcessingException | DateTimeParseException e) {
      // A line that was cut off, or of another program; it is counted.
      return Optional.empty();
    }
  }
}
