package io.hawthornlb.core.chart;

import java.util.List;
import java.util.Optional;

/**
 * Current state of one object that follows a chart. Instances are confined to one thread.
 *
 * @param <S> the states
 * @param <E> the events
 * @param <A> the actions
 */
public final class ChartInstance<S extends Enum<S>, E extends Enum<E>, A extends Enum<A>> {

  private final StateChart<S, E, A> chart;
  private S state;

  /** Creates an instance in the initial state. */
  public ChartInstance(StateChart<S, E, A> chart) {
    this.chart = chart;
    this.state = chart.initial();
  }

  /** Creates an instance in a given state, such as one restored from a record. */
  public ChartInstance(StateChart<S, E, A> chart, S state) {
    this.chart = chart;
    this.state = state;
  }

  /** Returns the current state. */
  public S state() {
    return state;
  }

  /** Returns whether the current state is final. */
  public boolean isFinal() {
    return chart.isFinal(state);
  }

  /**
   * Handles an event and returns the actions to perform, or an empty list if the event is ignored.
   *
   * @throws UnexpectedEventException if the chart does not allow the event in this state
   */
  public List<A> fire(E event) {
    Optional<Transition<S, A>> transition = chart.transition(state, event);
    if (transition.isPresent()) {
      state = transition.get().target();
      return transition.get().actions();
    }
    if (chart.ignores(state, event)) {
      return List.of();
    }
    throw new UnexpectedEventException(chart.name(), state, event);
  }
}
