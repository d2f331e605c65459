package io.hawthornlb.core.chart;

import java.util.Optional;

/**
 * A checked state chart.
 *
 * <p>Every state can be reached from the initial one, and a final state can be reached from every
 * state; in an endless chart every state leads to another. In a state an event leads to one
 * transition, is ignored, or is unexpected.
 *
 * @param <S> the states
 * @param <E> the events
 * @param <A> the actions
 */
public interface StateChart<S extends Enum<S>, E extends Enum<E>, A extends Enum<A>> {

  /** Returns the name of the chart. */
  String name();

  /** Returns the state that instances start in. */
  S initial();

  /** Returns whether no event leads out of a state. */
  boolean isFinal(S state);

  /** Returns where an event leads from a state; empty if it is ignored or unexpected there. */
  Optional<Transition<S, A>> transition(S state, E event);

  /** Returns whether an event is allowed in a state and changes nothing. */
  boolean ignores(S state, E event);
}
