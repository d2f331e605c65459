package io.hawthornlb.core.log.support;

import io.hawthornlb.core.log.LogRecord;
import io.hawthornlb.core.log.RecordId;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/** Naive reference implementation, which replays the whole stream and keeps every record id. */
final class FullReplayFold {

  private FullReplayFold() {}

  static Map<Integer, RegisterState> replay(List<LogRecord> stream) {
    Map<Integer, RegisterState> registers = new TreeMap<>();
    Set<RecordId> seen = new HashSet<>();
    for (LogRecord entry : stream) {
      if (seen.add(entry.id()) && entry.body() instanceof RegisterPut put) {
        RegisterState before = registers.getOrDefault(put.register(), RegisterState.ZERO);
        registers.put(put.register(), before.put(entry.offset(), put));
      }
    }
    return registers;
  }
}
