package io.hawthornlb.core.chart;

import java.util.List;

/**
 * Transition that an event causes.
 *
 * @param <S> the states
 * @param <A> the actions
 * @param target the next state
 * @param actions the actions to perform, in this order
 */
public record Transition<S, A>(S target, List<A> actions) {

  /** Copies the list of actions. */
  public Transition {
    actions = List.copyOf(actions);
  }
}
