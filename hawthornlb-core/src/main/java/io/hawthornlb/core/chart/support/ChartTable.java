package io.hawthornlb.core.chart.support;

import io.hawthornlb.core.chart.ChartTypes;
import io.hawthornlb.core.chart.Transition;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.Map;
import java.util.Set;

/** States, transitions and ignored events, as read from a chart file. */
final class ChartTable<S extends Enum<S>, E extends Enum<E>, A extends Enum<A>> {

  private final ChartTypes<S, E, A> types;
  private final Set<S> finals;
  private final Map<S, Map<E, Transition<S, A>>> transitions;
  private final Map<S, Set<E>> ignored;

  ChartTable(ChartTypes<S, E, A> types) {
    this.types = types;
    this.finals = EnumSet.noneOf(types.states());
    this.transitions = new EnumMap<>(types.states());
    this.ignored = new EnumMap<>(types.states());
    for (S state : types.states().getEnumConstants()) {
      transitions.put(state, new EnumMap<>(types.events()));
      ignored.put(state, EnumSet.noneOf(types.events()));
    }
  }

  void addFinal(S state) {
    finals.add(state);
  }

  void addTransition(S state, E event, Transition<S, A> transition) {
    transitions.get(state).put(event, transition);
  }

  void addIgnored(S state, E event) {
    ignored.get(state).add(event);
  }

  Set<S> finals() {
    return finals;
  }

  Map<E, Transition<S, A>> transitions(S state) {
    return transitions.get(state);
  }

  Set<E> ignored(S state) {
    return ignored.get(state);
  }

  /** Returns the events that at least one state handles or ignores. */
  Set<E> usedEvents() {
    Set<E> used = EnumSet.noneOf(types.events());
    transitions.values().forEach(byEvent -> used.addAll(byEvent.keySet()));
    ignored.values().forEach(used::addAll);
    return used;
  }

  /** Returns the states that can be reached from a state, including that state. */
  Set<S> reachableFrom(S start) {
    Set<S> reached = EnumSet.of(start);
    Deque<S> open = new ArrayDeque<>(reached);
    while (!open.isEmpty()) {
      for (Transition<S, A> transition : transitions.get(open.remove()).values()) {
        if (reached.add(transition.target())) {
          open.add(transition.target());
        }
      }
    }
    return reached;
  }
}
