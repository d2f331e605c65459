package io.hawthornlb.core.chart;

/**
 * Enum types of the states, events and actions of a chart. In chart files the constants are written
 * in lower case with hyphens.
 *
 * @param <S> the states
 * @param <E> the events
 * @param <A> the actions
 * @param states the type of the states
 * @param events the type of the events
 * @param actions the type of the actions
 */
public record ChartTypes<S extends Enum<S>, E extends Enum<E>, A extends Enum<A>>(
    Class<S> states, Class<E> events, Class<A> actions) {

  /** Returns the types of a chart without actions. */
  public static <S extends Enum<S>, E extends Enum<E>> ChartTypes<S, E, NoAction> of(
      Class<S> states, Class<E> events) {
    return new ChartTypes<>(states, events, NoAction.class);
  }
}
