package io.hawthornlb.core.log.support;

import io.hawthornlb.core.log.LogRecord;
import io.hawthornlb.core.log.WriterWindow;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Test fold that computes values of registers, with a snapshot in two parts. */
final class RegisterFold extends AbstractStreamFold<RegisterSnapshot> {

  private static final int PARTS = 2;

  private final Map<Integer, RegisterState> registers = new TreeMap<>();

  RegisterFold() {
    super(RegisterSnapshot.class, 1);
  }

  Map<Integer, RegisterState> registers() {
    return Map.copyOf(registers);
  }

  @Override
  protected void applyFirst(LogRecord entry) {
    RegisterPut put = (RegisterPut) entry.body();
    RegisterState before = registers.getOrDefault(put.register(), RegisterState.ZERO);
    registers.put(put.register(), before.put(entry.offset(), put));
  }

  @Override
  protected List<RegisterSnapshot> createSnapshot(long upTo, List<WriterWindow> writers) {
    List<RegisterSnapshot> parts = new ArrayList<>();
    for (int part = 0; part < PARTS; part++) {
      Map<Integer, RegisterState> half = new TreeMap<>(registers);
      int remainder = part;
      half.keySet().removeIf(register -> register % PARTS != remainder);
      List<WriterWindow> carried = part == 0 ? writers : List.of();
      parts.add(new RegisterSnapshot(1, upTo, part, PARTS, carried, half));
    }
    return parts;
  }

  @Override
  protected void install(List<RegisterSnapshot> parts) {
    registers.clear();
    parts.forEach(part -> registers.putAll(part.registers()));
  }
}
