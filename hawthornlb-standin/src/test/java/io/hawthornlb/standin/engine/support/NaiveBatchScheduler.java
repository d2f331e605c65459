package io.hawthornlb.standin.engine.support;

import io.hawthornlb.standin.engine.BatchScheduler;
import io.hawthornlb.standin.engine.EngineMemory;
import io.hawthornlb.standin.engine.EngineTiming;
import io.hawthornlb.standin.engine.PrefixCache;
import java.util.ArrayList;
import java.util.List;

/**
 * Reference implementation that follows the contract of {@link BatchScheduler} literally and
 * recomputes every total in each step.
 */
final class NaiveBatchScheduler implements BatchScheduler {

  private final EngineTiming timing;
  private final EngineMemory memory;
  private final PrefixCache cache;
  private final List<SequenceSpec> waiting = new ArrayList<>();
  private final List<Slot> running = new ArrayList<>();

  private static final class Slot {
    private final SequenceSpec spec;
    private int toPrefill;
    private int done;

    private Slot(SequenceSpec spec) {
      this.spec = spec;
      this.done = spec.done();
    }
  }

  NaiveBatchScheduler(EngineTiming timing, EngineMemory memory, PrefixCache cache) {
    this.timing = timing;
    this.memory = memory;
    this.cache = cache;
  }

  @Override
  public void submit(SequenceSpec sequence) {
    waiting.add(sequence);
  }

  @Override
  public boolean cancel(String id) {
    return waiting.removeIf(sequence -> sequence.id().equals(id))
        | running.removeIf(slot -> slot.spec.id().equals(id));
  }

  @Override
  public Step step() {
    while (!waiting.isEmpty() && running.size() < memory.slots() && fits(waiting.get(0))) {
      Slot slot = new Slot(waiting.remove(0));
      if (!slot.spec.contextReady()) {
        slot.toPrefill = slot.spec.prompt().tokens() + slot.done - cache.lookup(slot.spec.prompt());
      }
      running.add(slot);
    }
    if (running.isEmpty()) {
      return new Step(0, List.of(), List.of());
    }
    List<Slot> decoding = running.stream().filter(slot -> slot.toPrefill == 0).toList();
    long context =
        decoding.stream().mapToLong(slot -> slot.spec.prompt().tokens() + slot.done).sum();
    List<String> tokens = new ArrayList<>();
    int prefilled = 0;
    for (Slot slot : running) {
      if (slot.toPrefill > 0) {
        int part = Math.min(slot.toPrefill, timing.prefillChunkTokens() - prefilled);
        prefilled += part;
        slot.toPrefill -= part;
        if (slot.toPrefill > 0) {
          continue;
        }
        cache.store(slot.spec.prompt());
      }
      slot.done++;
      tokens.add(slot.spec.id());
    }
    List<String> finished =
        running.stream()
            .filter(slot -> slot.toPrefill == 0 && slot.done >= slot.spec.total())
            .map(slot -> slot.spec.id())
            .toList();
    running.removeIf(slot -> finished.contains(slot.spec.id()));
    return new Step(timing.stepNanos(prefilled, decoding.size(), context), tokens, finished);
  }

  @Override
  public BatchLoad load() {
    return new BatchLoad(running.size(), waiting.size(), reserved());
  }

  private boolean fits(SequenceSpec sequence) {
    return reserved() + sequence.finalContext() <= memory.kvTokens();
  }

  private int reserved() {
    return running.stream().mapToInt(slot -> slot.spec.finalContext()).sum();
  }
}
