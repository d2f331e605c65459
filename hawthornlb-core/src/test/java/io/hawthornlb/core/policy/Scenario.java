package io.hawthornlb.core.policy;

import java.util.function.DoubleUnaryOperator;

/**
 * What happens in a run.
 *
 * @param name its name in reports
 * @param seconds measured time, after the warm-up
 * @param load online load over time in parts of all slots
 * @param deskEvery seconds between bursts of bulk requests; 0 for none
 * @param deskSize requests of each such burst
 * @param lagMicros age of load reports when they arrive
 * @param crashAt second at which an engine crashes for 20 s; 0 for none
 * @param cutAt second at which one data centre is cut off for 20 s; 0 for none
 * @param rosterItems items of a job that is due at the end; 0 for none
 * @param addAt second at which one more engine is listed, cold; 0 if all are from the start
 */
record Scenario(
    String name,
    int seconds,
    DoubleUnaryOperator load,
    int deskEvery,
    int deskSize,
    long lagMicros,
    int crashAt,
    int cutAt,
    int rosterItems,
    int addAt) {

  static final int WARM_UP = 20;
  static final long DEFAULT_LAG = 1_000_000;

  static Scenario steady(double load, long lagMicros, int seconds) {
    String name = "steady day, reports lag " + lagMicros / 1_000_000 + " s";
    return new Scenario(name, seconds, at -> load, 0, 0, lagMicros, 0, 0, 0, 0);
  }

  static Scenario burst(int seconds) {
    DoubleUnaryOperator load = at -> at % 40 >= 20 && at % 40 < 30 ? 0.9 : 0.2;
    return new Scenario(
        "online burst into full batch", seconds, load, 0, 0, DEFAULT_LAG, 0, 0, 0, 0);
  }

  static Scenario desks(int size, int seconds) {
    return new Scenario("quality desks", seconds, at -> 0.25, 15, size, DEFAULT_LAG, 0, 0, 0, 0);
  }

  static Scenario roster(int items, int seconds) {
    return new Scenario(
        "night roster with a due time", seconds, at -> 0.1, 0, 0, DEFAULT_LAG, 0, 0, items, 0);
  }

  static Scenario engineLost(int seconds) {
    return new Scenario(
        "engine lost under load", seconds, at -> 0.5, 0, 0, DEFAULT_LAG, seconds / 3, 0, 0, 0);
  }

  static Scenario engineAdded(int seconds) {
    return new Scenario(
        "engine added", seconds, at -> 0.7, 0, 0, DEFAULT_LAG, 0, 0, 0, seconds / 3);
  }

  static Scenario overload(int seconds) {
    return new Scenario("ten times the load", seconds, at -> 4, 0, 0, DEFAULT_LAG, 0, 0, 0, 0);
  }

  static Scenario centreCut(int seconds) {
    return new Scenario(
        "data centre cut", seconds, at -> 0.3, 0, 0, DEFAULT_LAG, 0, seconds / 3, 0, 0);
  }
}
