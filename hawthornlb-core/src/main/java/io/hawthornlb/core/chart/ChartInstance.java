package io.hawthornlb.core.chart;

import java.util.List;
import java.util.Optional;

/**
 * One thing that moves through a chart; confined to one thread.
 *
 * @param <S> the states
 * @param <E> the events
 * @param <A> the actions
 */
public final class ChartInstance<S extends Enum<S>, E extends Enum<E>, A extends Enum<A>> {

  private final StateChart<S, E, A> chart;
  private S state;

  /** Starts in the initial state. */
  public ChartInstance(StateChart<S, E, A> chart) {
    this.chart = chart;
    this.state = chart.initial();
  }

  /** Goes on from a state that was kept elsewhere. */
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
   * Moves to the next state and returns the actions to carry out, none if the event is ignored.
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
