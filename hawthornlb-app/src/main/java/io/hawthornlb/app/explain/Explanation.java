package io.hawthornlb.app.explain;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Selects the log lines that explain what happened to one request, job or item.
 *
 * <p>These are the lines that name the id or the attempt that began its stream, and lines of the
 * same instances from about the same time that report a change of the instance's state or of an
 * endpoint that the id's own lines name. If the id was refused by a configuration, the line that
 * put this version in force is among them, whenever it was written. If a part of its prompt was
 * blocked, the lines of all instances about that part and its crashes are the evidence, whenever
 * they were written. For a job, the last lines of each instance tell whether it holds the job's
 * partition or the store has refused it.
 */
public final class Explanation {

  /** Time before the first and after the last line of an id in which context lines are included. */
  private static final Duration CONTEXT_WINDOW = Duration.ofSeconds(2);

  /** Events that report a change of an instance's state or of its view of the fleet. */
  private static final Set<String> STATE_EVENTS =
      Set.of(
          "process started",
          "process stopping",
          "process stopped",
          "store lost",
          "store regained",
          "config applied",
          "slot coordinator.silent",
          "slot answer.lost",
          "stream origin.not.found",
          "job group.lost",
          "job group.regained",
          "job partition.behind",
          "job partition.held",
          "job partition.refused",
          "job partition.dropped");

  /** Events that report whether an instance holds a partition. */
  private static final Set<String> HOLD_EVENTS =
      Set.of("job partition.held", "job partition.refused");

  /** Events that report that a part of a prompt was blocked. */
  private static final Set<String> BLOCK_EVENTS =
      Set.of("front request.blocked", "job item.blocked");

  private Explanation() {}

  /** Returns the lines that explain an id, ordered by time; empty if no line names the id. */
  public static List<LogEvent> of(String id, List<LogEvent> events) {
    Set<String> attempts = attempts(id, events);
    List<LogEvent> ownLines =
        events.stream().filter(event -> attempts.stream().anyMatch(event::concerns)).toList();
    if (ownLines.isEmpty()) {
      return List.of();
    }
    Set<String> sources = new HashSet<>();
    Set<String> endpoints = new HashSet<>();
    for (LogEvent event : ownLines) {
      sources.add(event.source());
      endpoints.add(event.fields().path("endpoint").asText());
    }
    Instant from = time(ownLines, true).minus(CONTEXT_WINDOW);
    Instant to = time(ownLines, false).plus(CONTEXT_WINDOW);
    List<LogEvent> lines = new ArrayList<>(ownLines);
    Set<String> blocked = blockedParts(ownLines);
    Collection<LogEvent> holds = lastHolds(events, ownLines);
    for (LogEvent event : events) {
      if (ownLines.contains(event)) {
        continue;
      }
      if (isEvidence(event, blocked)
          || isRefusingConfig(event, ownLines)
          || holds.contains(event)) {
        lines.add(event);
        continue;
      }
      boolean near = !event.time().isBefore(from) && !event.time().isAfter(to);
      if (near && sources.contains(event.source()) && isContext(event, endpoints)) {
        lines.add(event);
      }
    }
    lines.sort(Comparator.comparing(LogEvent::time));
    return lines;
  }

  /** Returns the id, and the attempt that began its stream if it resumes one. */
  private static Set<String> attempts(String id, List<LogEvent> events) {
    Set<String> attempts = new HashSet<>(Set.of(id));
    for (LogEvent event : events) {
      if (event.concerns(id) && !event.begunBy().isEmpty()) {
        attempts.add(event.begunBy());
      }
    }
    return attempts;
  }

  /** Returns the parts of prompts for which the request or item was refused. */
  private static Set<String> blockedParts(List<LogEvent> ownLines) {
    Set<String> parts = new HashSet<>();
    for (LogEvent event : ownLines) {
      if (BLOCK_EVENTS.contains(event.name())) {
        parts.addAll(event.words("parts"));
      }
    }
    return parts;
  }

  /** Returns the last lines of each instance about holding the partitions that the lines name. */
  private static Collection<LogEvent> lastHolds(List<LogEvent> events, List<LogEvent> ownLines) {
    Set<String> partitions = new HashSet<>();
    for (LogEvent line : ownLines) {
      if (line.fields().has("partition")) {
        partitions.add(line.fields().path("partition").asText());
      }
    }
    Map<List<String>, LogEvent> last = new HashMap<>();
    for (LogEvent event : events) {
      String partition = event.fields().path("partition").asText();
      if (HOLD_EVENTS.contains(event.name()) && partitions.contains(partition)) {
        last.merge(
            List.of(event.source(), event.name(), partition),
            event,
            (before, next) -> next.time().isBefore(before.time()) ? before : next);
      }
    }
    return last.values();
  }

  private static boolean isEvidence(LogEvent event, Set<String> blocked) {
    return event.fields().path("part").asText().equals("crash")
        && event.words("parts").stream().anyMatch(blocked::contains);
  }

  /** Returns whether a line put the configuration in force by which one of the lines refused. */
  private static boolean isRefusingConfig(LogEvent event, List<LogEvent> ownLines) {
    if (!event.name().equals("config applied")) {
      return false;
    }
    String version = event.fields().path("version").asText();
    return ownLines.stream()
        .anyMatch(
            line ->
                line.source().equals(event.source())
                    && line.name().equals("front request.refused")
                    && line.fields().path("config").asText().equals(version));
  }

  private static boolean isContext(LogEvent event, Set<String> endpoints) {
    boolean aboutEndpoint = event.fields().path("part").asText().equals("endpoint");
    String endpoint = event.fields().path("endpoint").asText();
    return STATE_EVENTS.contains(event.name())
        || (aboutEndpoint && !endpoint.isEmpty() && endpoints.contains(endpoint));
  }

  private static Instant time(List<LogEvent> events, boolean first) {
    Comparator<Instant> order = Comparator.naturalOrder();
    return events.stream()
        .map(LogEvent::time)
        .min(first ? order : order.reversed())
        .orElse(Instant.EPOCH);
  }
}
