package io.hawthornlb.app.explain;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * The lines that tell the way of one id: those that name it, and what the same instances came to
 * believe meanwhile.
 */
public final class Explanation {

  /** Time before and after an id's own lines in which beliefs are told. */
  private static final Duration AROUND = Duration.ofSeconds(2);

  /** Events that change what an instance believes or is. */
  private static final Set<String> BELIEFS =
      Set.of(
          "process started",
          "process stopping",
          "process stopped",
          "store lost",
          "store regained",
          "config applied",
          "slot coordinator.silent",
          "slot answer.lost",
          "job group.lost",
          "job group.regained",
          "job partition.held",
          "job partition.dropped");

  private Explanation() {}

  /** Returns the lines about an id in the order of their time; empty if no line names it. */
  public static List<LogEvent> of(String id, List<LogEvent> events) {
    List<LogEvent> own = events.stream().filter(event -> event.names(id)).toList();
    if (own.isEmpty()) {
      return List.of();
    }
    Set<String> sources = new HashSet<>();
    Set<String> endpoints = new HashSet<>();
    for (LogEvent event : own) {
      sources.add(event.source());
      endpoints.add(event.fields().path("endpoint").asText());
    }
    Instant from = time(own, true).minus(AROUND);
    Instant to = time(own, false).plus(AROUND);
    List<LogEvent> lines = new ArrayList<>(own);
    for (LogEvent event : events) {
      boolean near = !event.time().isBefore(from) && !event.time().isAfter(to);
      if (near && sources.contains(event.source()) && tells(event, endpoints)) {
        lines.add(event);
      }
    }
    lines.sort(Comparator.comparing(LogEvent::time));
    return lines;
  }

  private static boolean tells(LogEvent event, Set<String> endpoints) {
    boolean aboutEndpoint = event.fields().path("part").asText().equals("endpoint");
    String endpoint = event.fields().path("endpoint").asText();
    return BELIEFS.contains(event.name())
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
