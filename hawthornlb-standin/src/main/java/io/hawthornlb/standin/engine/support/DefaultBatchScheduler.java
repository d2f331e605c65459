package io.hawthornlb.standin.engine.support;

import io.hawthornlb.standin.engine.BatchScheduler;
import io.hawthornlb.standin.engine.EngineMemory;
import io.hawthornlb.standin.engine.EngineTiming;
import io.hawthornlb.standin.engine.PrefixCache;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A {@link BatchScheduler} that updates its totals over the running sequences incrementally, so
 * that the computing time of a step depends on the size of the batch only.
 */
public final class DefaultBatchScheduler implements BatchScheduler {

  private final EngineTiming timing;
  private final EngineMemory memory;
  private final PrefixCache cache;
  private final Map<String, SequenceSpec> waiting = new LinkedHashMap<>();
  private final Map<String, Running> running = new LinkedHashMap<>();
  private int kvUsed;
  private long decodingContext;
  private int decoding;

  /** Creates a scheduler without sequences. */
  public DefaultBatchScheduler(EngineTiming timing, EngineMemory memory, PrefixCache cache) {
    this.timing = timing;
    this.memory = memory;
    this.cache = cache;
  }

  @Override
  public void submit(SequenceSpec sequence) {
    waiting.put(sequence.id(), sequence);
  }

  @Override
  public boolean cancel(String id) {
    if (waiting.remove(id) != null) {
      return true;
    }
    Running sequence = running.remove(id);
    if (sequence == null) {
      return false;
    }
    release(sequence);
    return true;
  }

  @Override
  public Step step() {
    admit();
    if (running.isEmpty()) {
      return new Step(0, List.of(), List.of());
    }
    int sequences = decoding;
    long context = decodingContext;
    List<String> tokens = new ArrayList<>(running.size());
    int prefilled = advance(tokens);
    List<String> finished = removeFinished(tokens);
    return new Step(timing.stepNanos(prefilled, sequences, context), tokens, finished);
  }

  @Override
  public BatchLoad load() {
    return new BatchLoad(running.size(), waiting.size(), kvUsed);
  }

  private void admit() {
    Iterator<SequenceSpec> queue = waiting.values().iterator();
    while (queue.hasNext() && running.size() < memory.slots()) {
      SequenceSpec next = queue.next();
      if (kvUsed + next.finalContext() > memory.kvTokens()) {
        return;
      }
      queue.remove();
      Running sequence = new Running(next, tokensToPrefill(next));
      running.put(next.id(), sequence);
      kvUsed += next.finalContext();
      if (sequence.toPrefill == 0) {
        startDecoding(sequence);
      }
    }
  }

  private int tokensToPrefill(SequenceSpec sequence) {
    if (sequence.contextReady()) {
      return 0;
    }
    int cached = cache.lookup(sequence.prompt());
    return sequence.prompt().tokens() + sequence.done() - cached;
  }

  /**
   * Decodes or prefills each running sequence and adds the ids of sequences that got a token to
   * {@code tokens}. Returns the number of prefilled tokens.
   */
  private int advance(List<String> tokens) {
    int budget = timing.prefillChunkTokens();
    for (Running sequence : running.values()) {
      if (sequence.toPrefill == 0) {
        sequence.done++;
        decodingContext++;
        tokens.add(sequence.spec.id());
        continue;
      }
      int part = Math.min(budget, sequence.toPrefill);
      budget -= part;
      sequence.toPrefill -= part;
      if (sequence.toPrefill == 0) {
        cache.store(sequence.spec.prompt());
        sequence.done++;
        startDecoding(sequence);
        tokens.add(sequence.spec.id());
      }
    }
    return timing.prefillChunkTokens() - budget;
  }

  private List<String> removeFinished(List<String> tokens) {
    List<String> finished = new ArrayList<>();
    for (String id : tokens) {
      Running sequence = running.get(id);
      if (sequence.done >= sequence.spec.total()) {
        running.remove(id);
        release(sequence);
        finished.add(id);
      }
    }
    return finished;
  }

  private void startDecoding(Running sequence) {
    decoding++;
    decodingContext += sequence.context();
  }

  private void release(Running sequence) {
    kvUsed -= sequence.spec.finalContext();
    if (sequence.toPrefill == 0) {
      decoding--;
      decodingContext -= sequence.context();
    }
  }

  private static final class Running {

    private final SequenceSpec spec;
    private int toPrefill;
    private int done;

    Running(SequenceSpec spec, int toPrefill) {
      this.spec = spec;
      this.toPrefill = toPrefill;
      this.done = spec.done();
    }

    int context() {
      return spec.prompt().tokens() + done;
    }
  }
}
