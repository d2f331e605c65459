package io.hawthornlb.core.chart;

import java.util.Optional;

/**
 * State chart whose file has been checked.
 *
 * <p>Every state can be reached from the initial state. A final state can be reached from every
 * state, except in an endless chart, where every state has a transition to another state. In each
 * state, an event causes one transition, is ignored, or is unexpected.
 *
 * @param <S> the states
 * @param <E> the events
 * @param <A> the actions
 */
public interface StateChart<S extends Enum<S>, E extends Enum<E>, A extends Enum<A>> {

  /** Returns the name of the chart. */
  String name();

  /** Returns the initial state. */
  S initial();

  /** Returns whether a state is final, that is, has no transitions. */
  boolean isFinal(S state);

  /**
   * Returns the transition that an event causes in a state, or empty if the event is ignored or
   * unexpected there.
   */
  Optional<Transition<S, A>> transition(S state, E event);

  /** Returns whether an event is allowed in a state and changes nothing. */
  boolean ignores(S state, E event);
}
