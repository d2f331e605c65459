package io.hawthornlb.core.chart.support;

import io.hawthornlb.core.chart.ChartTypes;
import io.hawthornlb.core.chart.StateChart;
import io.hawthornlb.core.chart.Transition;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** State chart that looks up transitions in tables by state and event. */
final class TableStateChart<S extends Enum<S>, E extends Enum<E>, A extends Enum<A>>
    implements StateChart<S, E, A> {

  private final String name;
  private final S initial;
  private final Set<S> finals;
  private final Map<S, Map<E, Transition<S, A>>> transitions;
  private final Map<S, Set<E>> ignored;

  TableStateChart(String name, S initial, ChartTypes<S, E, A> types, ChartTable<S, E, A> table) {
    this.name = name;
    this.initial = initial;
    this.finals = EnumSet.noneOf(types.states());
    this.transitions = new EnumMap<>(types.states());
    this.ignored = new EnumMap<>(types.states());
    finals.addAll(table.finals());
    for (S state : types.states().getEnumConstants()) {
      transitions.put(state, new EnumMap<>(table.transitions(state)));
      ignored.put(state, Set.copyOf(table.ignored(state)));
    }
  }

  @Override
  public String name() {
    return name;
  }

  @Override
  public S initial() {
    return initial;
  }

  @Override
  public boolean isFinal(S state) {
    return finals.contains(state);
  }

  @Override
  public Optional<Transition<S, A>> transition(S state, E event) {
    return Optional.ofNullable(transitions.get(state).get(event));
  }

  @Override
  public boolean ignores(S state, E event) {
    return ignored.get(state).contains(event);
  }
}
