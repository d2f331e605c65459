package io.hawthornlb.core.log.support;

import io.hawthornlb.core.log.LogRecord;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Folds that each lack one protection of the real fold. */
final class UnprotectedFolds {

  private UnprotectedFolds() {}

  /** Applies duplicates too. */
  static Map<Integer, RegisterState> withoutDuplicateFilter(List<LogRecord> stream) {
    Map<Integer, RegisterState> registers = new TreeMap<>();
    stream.forEach(entry -> put(registers, entry));
    return registers;
  }

  /** Installs every snapshot as the state at its own offset. */
  static Map<Integer, RegisterState> withEverySnapshot(List<LogRecord> stream) {
    Map<Integer, RegisterState> registers = new TreeMap<>();
    for (LogRecord entry : stream) {
      if (entry.body() instanceof RegisterSnapshot part) {
        registers.keySet().removeIf(register -> register % part.parts() == part.part());
        registers.putAll(part.registers());
      }
      put(registers, entry);
    }
    return registers;
  }

  private static void put(Map<Integer, RegisterState> registers, LogRecord entry) {
    if (entry.body() instanceof RegisterPut put) {
      RegisterState before = registers.getOrDefault(put.register(), RegisterState.ZERO);
      registers.put(put.register(), before.put(entry.offset(), put));
    }
  }
}
