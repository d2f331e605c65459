package io.hawthornlb.core.chart.support;

import io.hawthornlb.core.chart.ChartTypes;
import io.hawthornlb.core.chart.StateChart;
import io.hawthornlb.core.chart.Transition;
import io.hawthornlb.core.config.ConfigBinding;
import io.hawthornlb.core.config.ConfigSection;
import io.hawthornlb.core.config.EnumNames;
import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;

/** Fills a {@link ChartTable} from the sections of a chart file, and checks it as a graph. */
final class StateChartBinding<S extends Enum<S>, E extends Enum<E>, A extends Enum<A>>
    implements ConfigBinding<StateChart<S, E, A>> {

  private final ChartTypes<S, E, A> types;

  StateChartBinding(ChartTypes<S, E, A> types) {
    this.types = types;
  }

  @Override
  public Supplier<StateChart<S, E, A>> bind(ConfigSection root) {
    root.require("chart", "initial", "states");
    Optional<String> name = root.text("chart");
    Optional<S> initial = root.choice("initial", types.states());
    boolean endless = root.flag("endless").orElse(false);
    ConfigSection states = root.section("states");
    ChartTable<S, E, A> table = new ChartTable<>(types);
    Map<S, ConfigSection> sections = readStates(states, table);
    checkEvents(root, table);
    checkExits(states, table, sections, endless);
    initial.ifPresent(state -> checkReachable(states, table, sections, state));
    return () -> new TableStateChart<>(name.orElseThrow(), initial.orElseThrow(), types, table);
  }

  private Map<S, ConfigSection> readStates(ConfigSection states, ChartTable<S, E, A> table) {
    Map<S, ConfigSection> sections = new EnumMap<>(types.states());
    for (String key : states.keys()) {
      ConfigSection section = states.section(key);
      Optional<S> state = EnumNames.find(types.states(), key);
      if (state.isEmpty()) {
        states.reject(key, "unknown state; known: " + EnumNames.all(types.states()));
      }
      state.ifPresent(known -> sections.put(known, section));
      readState(section, state, table);
    }
    for (S state : types.states().getEnumConstants()) {
      if (!sections.containsKey(state)) {
        states.require(EnumNames.name(state));
      }
    }
    return sections;
  }

  private void readState(ConfigSection section, Optional<S> state, ChartTable<S, E, A> table) {
    ConfigSection handled = section.section("on");
    for (String key : handled.keys()) {
      ConfigSection target = handled.section(key);
      Optional<E> event = event(handled, key, key);
      Optional<Transition<S, A>> transition = transition(target);
      if (state.isPresent() && event.isPresent() && transition.isPresent()) {
        table.addTransition(state.get(), event.get(), transition.get());
      }
    }
    for (String key : section.texts("ignore")) {
      Optional<E> event = event(section, "ignore", key);
      if (state.isPresent() && event.isPresent()) {
        table.addIgnored(state.get(), event.get());
      }
    }
    if (section.flag("final").orElse(false)) {
      state.ifPresent(table::addFinal);
    }
  }

  private Optional<E> event(ConfigSection section, String key, String name) {
    Optional<E> event = EnumNames.find(types.events(), name);
    if (event.isEmpty()) {
      String known = EnumNames.all(types.events());
      section.reject(key, "unknown event " + name + "; known: " + known);
    }
    return event;
  }

  private Optional<Transition<S, A>> transition(ConfigSection section) {
    section.require("to");
    Optional<S> target = section.choice("to", types.states());
    List<A> actions = new ArrayList<>();
    for (String name : section.texts("do")) {
      Optional<A> action = EnumNames.find(types.actions(), name);
      if (action.isEmpty()) {
        String known = EnumNames.all(types.actions());
        section.reject("do", "unknown action " + name + "; known: " + known);
      }
      action.ifPresent(actions::add);
    }
    return target.map(state -> new Transition<>(state, actions));
  }

  private void checkEvents(ConfigSection root, ChartTable<S, E, A> table) {
    Set<E> used = table.usedEvents();
    for (E event : types.events().getEnumConstants()) {
      if (!used.contains(event)) {
        root.reject("states", "no state handles or ignores event " + EnumNames.name(event));
      }
    }
  }

  private void checkExits(
      ConfigSection states,
      ChartTable<S, E, A> table,
      Map<S, ConfigSection> sections,
      boolean endless) {
    sections.forEach(
        (state, section) -> {
          checkDeterministic(section, table, state);
          String key = EnumNames.name(state);
          boolean hasExit = !table.transitions(state).isEmpty();
          if (table.finals().contains(state)) {
            checkFinal(states, key, hasExit, endless);
          } else if (endless) {
            if (table.reachableFrom(state).size() == 1) {
              states.reject(key, "dead end: no transition leads to another state");
            }
          } else if (Collections.disjoint(table.reachableFrom(state), table.finals())) {
            states.reject(key, "dead end: no final state can be reached from here");
          }
        });
  }

  private static void checkFinal(
      ConfigSection states, String key, boolean hasExit, boolean endless) {
    if (hasExit) {
      states.reject(key, "a final state has no transitions; remove on or final");
    }
    if (endless) {
      states.reject(key, "an endless chart has no final state; remove endless or final");
    }
  }

  private void checkDeterministic(ConfigSection section, ChartTable<S, E, A> table, S state) {
    for (E event : table.ignored(state)) {
      if (table.transitions(state).containsKey(event)) {
        section.reject("ignore", "event " + EnumNames.name(event) + " is both handled and ignored");
      }
    }
  }

  private void checkReachable(
      ConfigSection states, ChartTable<S, E, A> table, Map<S, ConfigSection> sections, S initial) {
    Set<S> reachable = table.reachableFrom(initial);
    for (S state : sections.keySet()) {
      if (!reachable.contains(state)) {
        states.reject(EnumNames.name(state), "cannot be reached from " + EnumNames.name(initial));
      }
    }
  }
}
