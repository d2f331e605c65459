package io.hawthornlb.core.chart;

import java.util.List;

/**
 * Where an event leads.
 *
 * @param <S> the states
 * @param <A> the actions
 * @param target the next state
 * @param actions what to do, in this order
 */
public record Transition<S, A>(S target, List<A> actions) {

  /** Copies the actions. */
  public Transition {
    actions = List.copyOf(actions);
  }
}
