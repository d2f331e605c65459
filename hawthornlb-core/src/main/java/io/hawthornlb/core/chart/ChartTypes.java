package io.hawthornlb.core.chart;

/**
 * The types that a chart's names stand for; in files they are lower case with hyphens.
 *
 * @param <S> the states
 * @param <E> the events
 * @param <A> the actions
 * @param states the type of its states
 * @param events the type of its events
 * @param actions the type of its actions
 */
public record ChartTypes<S extends Enum<S>, E extends Enum<E>, A extends Enum<A>>(
    Class<S> states, Class<E> events, Class<A> actions) {

  /** Returns the types of a chart without actions. */
  public static <S extends Enum<S>, E extends Enum<E>> ChartTypes<S, E, NoAction> of(
      Class<S> states, Class<E> events) {
    return new ChartTypes<>(states, events, NoAction.class);
  }
}
