package io.hawthornlb.core.policy;

import java.util.function.DoubleUnaryOperator;

/**
 * The load and the faults of a simulation.
 *
 * @param name name of the scenario in reports
 * @param seconds measured time in seconds, after the warm-up
 * @param load online load over time, as a fraction of the capacity of all slots
 * @param bulkEverySeconds seconds between bursts of bulk requests; 0 for none
 * @param bulkBurstSize number of requests in each burst
 * @param lagMicros age of load reports when they arrive, in microseconds
 * @param crashAt second at which an engine crashes for 20 s; 0 for none
 * @param cutAt second at which one data centre is cut off for 20 s; 0 for none
 * @param dueJobItems number of items of a job that is due at the end; 0 for none
 * @param addAt second at which one more engine is added to the list, in a cold state; 0 if all
 *     engines are listed from the start
 */
record Scenario(
    String name,
    int seconds,
    DoubleUnaryOperator load,
    int bulkEverySeconds,
    int bulkBurstSize,
    long lagMicros,
    int crashAt,
    int cutAt,
    int dueJobItems,
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

  static Scenario bulkBursts(int size, int seconds) {
    return new Scenario("quality desks", seconds, at -> 0.25, 15, size, DEFAULT_LAG, 0, 0, 0, 0);
  }

  static Scenario dueJob(int items, int seconds) {
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

  static Scenario centreCutOff(int seconds) {
    return new Scenario(
        "data centre cut", seconds, at -> 0.3, 0, 0, DEFAULT_LAG, 0, seconds / 3, 0, 0);
  }
}
