package io.hawthornlb.core.chart.support;

import java.util.List;
import java.util.Locale;
import java.util.Optional;

/**
 * Reference implementation of reader and interpreter, which scans a list of rows from the start for
 * each event.
 */
final class NaiveChart {

  enum State {
    S0,
    S1,
    S2,
    S3,
    S4
  }

  enum Event {
    E0,
    E1,
    E2
  }

  enum Action {
    A0,
    A1
  }

  record Row(State from, Event event, State to, List<Action> actions) {}

  private final List<Row> rows;
  private State current = State.S0;

  NaiveChart(List<Row> rows) {
    this.rows = rows;
  }

  /** Returns the actions, or empty if the event is unexpected. */
  Optional<List<Action>> fire(Event event) {
    for (Row row : rows) {
      if (row.from() == current && row.event() == event) {
        current = row.to();
        return Optional.of(row.actions());
      }
    }
    return Optional.empty();
  }

  State current() {
    return current;
  }

  /**
   * Returns whether the chart is valid, as computed from the transitive closure of all transitions.
   * The last state is the final one.
   */
  boolean isValid() {
    boolean[][] paths = paths();
    for (State state : State.values()) {
      boolean deadEnd = !paths[state.ordinal()][State.S4.ordinal()];
      boolean unreachable = !paths[State.S0.ordinal()][state.ordinal()];
      if (deadEnd || unreachable) {
        return false;
      }
    }
    boolean finalHasExit = rows.stream().anyMatch(row -> row.from() == State.S4);
    long events = rows.stream().map(Row::event).distinct().count();
    return !finalHasExit && events == Event.values().length;
  }

  private boolean[][] paths() {
    int n = State.values().length;
    boolean[][] paths = new boolean[n][n];
    for (int i = 0; i < n; i++) {
      paths[i][i] = true;
    }
    rows.forEach(row -> paths[row.from().ordinal()][row.to().ordinal()] = true);
    for (int k = 0; k < n; k++) {
      for (int i = 0; i < n; i++) {
        for (int j = 0; j < n; j++) {
          paths[i][j] |= paths[i][k] && paths[k][j];
        }
      }
    }
    return paths;
  }

  String yaml() {
    StringBuilder yaml = new StringBuilder("chart: random\ninitial: s0\nstates:\n");
    for (State state : State.values()) {
      yaml.append("  ").append(lower(state)).append(":\n");
      yaml.append("    final: ").append(state == State.S4).append("\n    on: {");
      for (Row row : rows) {
        if (row.from() == state) {
          yaml.append(lower(row.event())).append(": {to: ").append(lower(row.to()));
          yaml.append(", do: ").append(names(row.actions())).append("}, ");
        }
      }
      yaml.append("}\n");
    }
    return yaml.toString();
  }

  private static String names(List<Action> actions) {
    return actions.stream().map(NaiveChart::lower).toList().toString();
  }

  private static String lower(Enum<?> value) {
    return value.name().toLowerCase(Locale.ROOT);
  }
}
