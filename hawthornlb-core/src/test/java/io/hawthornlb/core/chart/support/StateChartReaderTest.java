package io.hawthornlb.core.chart.support;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.core.chart.ChartInstance;
import io.hawthornlb.core.chart.ChartTypes;
import io.hawthornlb.core.chart.StateChart;
import io.hawthornlb.core.chart.UnexpectedEventException;
import io.hawthornlb.core.chart.support.NaiveChart.Action;
import io.hawthornlb.core.chart.support.NaiveChart.Event;
import io.hawthornlb.core.chart.support.NaiveChart.Row;
import io.hawthornlb.core.chart.support.NaiveChart.State;
import io.hawthornlb.core.model.Finding;
import io.vavr.control.Validation;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.Size;
import net.jqwik.api.statistics.Statistics;
import org.junit.jupiter.api.Test;

class StateChartReaderTest {

  enum Door {
    CLOSED,
    OPEN,
    GONE
  }

  enum DoorEvent {
    PUSH,
    PULL,
    BREAK
  }

  enum DoorAction {
    RING
  }

  private static final ChartTypes<Door, DoorEvent, DoorAction> DOOR =
      new ChartTypes<>(Door.class, DoorEvent.class, DoorAction.class);

  private static final ChartTypes<State, Event, Action> RANDOM =
      new ChartTypes<>(State.class, Event.class, Action.class);

  private static final String VALID =
      """
      chart: door
      initial: closed
      states:
        closed:
          on:
            push: {to: open, do: [ring]}
            break: {to: gone}
        open:
          on:
            pull: {to: closed}
            break: {to: gone}
          ignore: [push]
        gone: {final: true}
      """;

  private final YamlStateChartReader reader = new YamlStateChartReader();

  private List<String> findings(String yaml) {
    return reader.read("c.yaml", yaml, DOOR).getError().stream().map(Finding::text).toList();
  }

  @Test
  void interpretsAValidChart() {
    StateChart<Door, DoorEvent, DoorAction> chart = reader.read("c.yaml", VALID, DOOR).get();
    ChartInstance<Door, DoorEvent, DoorAction> door = new ChartInstance<>(chart);

    assertEquals(List.of(DoorAction.RING), door.fire(DoorEvent.PUSH));
    assertEquals(List.of(), door.fire(DoorEvent.PUSH));
    assertEquals(Door.OPEN, door.state());
    door.fire(DoorEvent.PULL);
    assertThrows(UnexpectedEventException.class, () -> door.fire(DoorEvent.PULL));
    assertEquals(Door.CLOSED, door.state());
    door.fire(DoorEvent.BREAK);
    assertTrue(door.isFinal());
  }

  // Guards against a misspelt transition in a chart file, which leaves a request in a state without
  // an exit so that its caller waits for ever. Startup must refuse such a file and name the
  // position of each fault.
  @Test
  void reportsAllFaultsTogether() {
    String yaml =
        """
        chart: door
        initial: closed
        states:
          closed:
            on:
              push: {to: opened, do: [sing]}
              pull: {to: closed}
            ignore: [pull, kick]
          open: {on: {pull: {to: closed}}}
          ajar: {}
        """;

    assertEquals(
        List.of(
            "c.yaml:3: states: no state handles or ignores event push",
            "c.yaml:3: states: no state handles or ignores event break",
            "c.yaml:4: states.gone: missing",
            "c.yaml:4: states.closed: dead end: no final state can be reached from here",
            "c.yaml:6: states.closed.on.push.to: expected one of closed, open, gone, found opened",
            "c.yaml:6: states.closed.on.push.do: unknown action sing; known: ring",
            "c.yaml:8: states.closed.ignore: unknown event kick; known: push, pull, break",
            "c.yaml:8: states.closed.ignore: event pull is both handled and ignored",
            "c.yaml:9: states.open: dead end: no final state can be reached from here",
            "c.yaml:9: states.open: cannot be reached from closed",
            "c.yaml:10: states.ajar: unknown state; known: closed, open, gone"),
        findings(yaml));
  }

  @Test
  void reportsEventsHandledTwice() {
    String yaml =
        VALID.replace(
            "      pull: {to: closed}", "      pull: {to: gone}\n      pull: {to: closed}");

    assertEquals(List.of("c.yaml:11: states.open.on.pull: the key stands twice"), findings(yaml));
  }

  @Test
  void reportsTransitionsOfFinalStates() {
    String yaml =
        VALID.replace("gone: {final: true}", "gone: {final: true, on: {pull: {to: open}}}");

    assertEquals(
        List.of("c.yaml:13: states.gone: a final state has no transitions; remove on or final"),
        findings(yaml));
  }

  @Test
  void everyStateOfAnEndlessChartNeedsATransition() {
    String circle =
        VALID
            .replace("initial: closed", "initial: closed\nendless: true")
            .replace("gone: {final: true}", "gone: {on: {pull: {to: open}}}");
    assertTrue(reader.read("c.yaml", circle, DOOR).isValid());

    assertEquals(
        List.of("c.yaml:14: states.gone: dead end: no transition leads to another state"),
        findings(circle.replace("gone: {on: {pull: {to: open}}}", "gone: {}")));
    assertEquals(
        List.of(
            "c.yaml:14: states.gone: an endless chart has no final state; remove endless or final"),
        findings(circle.replace("gone: {on: {pull: {to: open}}}", "gone: {final: true}")));
  }

  @Provide
  Arbitrary<List<Row>> rows() {
    Arbitrary<Row> row =
        Combinators.combine(
                Arbitraries.of(State.S0, State.S1, State.S2, State.S3),
                Arbitraries.of(Event.class),
                Arbitraries.of(State.class),
                Arbitraries.of(Action.class).list().ofMaxSize(2))
            .as(Row::new);
    return row.list().ofMinSize(4).ofMaxSize(12).map(StateChartReaderTest::withoutDuplicates);
  }

  private static List<Row> withoutDuplicates(List<Row> rows) {
    Set<List<Enum<?>>> seen = new HashSet<>();
    return rows.stream().filter(row -> seen.add(List.of(row.from(), row.event()))).toList();
  }

  @Property(tries = 1_000, seed = "20261202")
  void agreesWithTheReferenceImplementation(
      @ForAll("rows") List<Row> rows, @ForAll @Size(max = 30) List<Event> events) {
    NaiveChart naive = new NaiveChart(rows);

    Validation<List<Finding>, StateChart<State, Event, Action>> read =
        reader.read("random", naive.yaml(), RANDOM);

    assertEquals(naive.isValid(), read.isValid(), naive::yaml);
    Statistics.label("valid").collect(read.isValid());
    Statistics.label("valid").coverage(c -> c.check(true).percentage(p -> p > 5));
    if (read.isValid()) {
      ChartInstance<State, Event, Action> chart = new ChartInstance<>(read.get());
      for (Event event : events) {
        assertEquals(naive.fire(event), fire(chart, event));
        assertEquals(naive.current(), chart.state());
      }
    }
  }

  private static Optional<List<Action>> fire(
      ChartInstance<State, Event, Action> chart, Event event) {
    try {
      return Optional.of(chart.fire(event));
    } catch (UnexpectedEventException expected) {
      return Optional.empty();
    }
  }
}
