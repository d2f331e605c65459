package io.hawthornlb.standin.engine.support;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.standin.engine.BatchScheduler;
import io.hawthornlb.standin.engine.BatchScheduler.SequenceSpec;
import io.hawthornlb.standin.engine.BatchScheduler.Step;
import io.hawthornlb.standin.engine.ChatMessage;
import io.hawthornlb.standin.engine.EngineMemory;
import io.hawthornlb.standin.engine.EngineTiming;
import io.hawthornlb.standin.engine.PrefixCache;
import io.hawthornlb.standin.engine.Prompt;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class BatchSchedulerTest {

  private static final PrefixCache.Listener NO_LISTENER = (hash, stored) -> {};
  private static final EngineTiming TIMING = EngineTiming.builder().prefillChunkTokens(64).build();

  private static SequenceSpec sequence(String id, int prefix, int length, int done, int total) {
    Prompt prompt =
        Prompt.of(
            List.of(
                new ChatMessage("system", "p".repeat(40 * prefix)),
                new ChatMessage("user", "x".repeat(length))));
    return new SequenceSpec(id, prompt, done, done > 0 && length % 2 == 0, total);
  }

  private static BatchScheduler scheduler(EngineMemory memory) {
    return new DefaultBatchScheduler(
        TIMING, memory, new LruPrefixCache(memory.cacheTokens(), NO_LISTENER));
  }

  @Property(tries = 300, seed = "4711")
  void matchesTheReferenceImplementation(@ForAll long seed) {
    EngineMemory memory = EngineMemory.builder().slots(4).kvTokens(600).cacheTokens(120).build();
    BatchScheduler tested = scheduler(memory);
    BatchScheduler naive =
        new NaiveBatchScheduler(
            TIMING, memory, new LruPrefixCache(memory.cacheTokens(), NO_LISTENER));
    Random random = new Random(seed);
    int submitted = 0;
    for (int action = 0; action < 150; action++) {
      int choice = random.nextInt(10);
      if (choice < 3) {
        int done = random.nextInt(4) == 0 ? random.nextInt(3) : 0;
        SequenceSpec next =
            sequence(
                "s" + submitted++,
                random.nextInt(6),
                random.nextInt(400),
                done,
                done + 1 + random.nextInt(20));
        tested.submit(next);
        naive.submit(next);
      } else if (choice == 3) {
        String id = "s" + random.nextInt(submitted + 1);
        assertEquals(naive.cancel(id), tested.cancel(id));
      } else {
        assertEquals(naive.step(), tested.step());
      }
      assertEquals(naive.load(), tested.load());
    }
  }

  @Test
  void tokensOfALargerBatchTakeLonger() {
    assertTrue(decodeNanos(8) > decodeNanos(2));
    assertTrue(decodeNanos(2) > decodeNanos(1));
  }

  private static long decodeNanos(int batch) {
    BatchScheduler scheduler = scheduler(EngineMemory.builder().build());
    for (int index = 0; index < batch; index++) {
      scheduler.submit(sequence("s" + index, 0, 4, 0, 100));
    }
    scheduler.step();
    return scheduler.step().nanos();
  }

  @Test
  void cachedPrefixesShortenThePrefill() {
    BatchScheduler scheduler = scheduler(EngineMemory.builder().build());
    scheduler.submit(sequence("cold", 100, 40, 0, 1));
    long cold = nanosUntilFinished(scheduler, "cold");
    scheduler.submit(sequence("warm", 100, 44, 0, 1));
    long warm = nanosUntilFinished(scheduler, "warm");

    assertTrue(warm < cold / 4, "warm: " + warm + " ns, cold: " + cold + " ns");
  }

  private static long nanosUntilFinished(BatchScheduler scheduler, String id) {
    long nanos = 0;
    while (true) {
      Step step = scheduler.step();
      nanos += step.nanos();
      if (step.finished().contains(id)) {
        return nanos;
      }
    }
  }

  @Test
  void cancelFreesTheSlotAndItsContext() {
    BatchScheduler scheduler = scheduler(EngineMemory.builder().slots(1).build());
    scheduler.submit(sequence("first", 0, 4, 0, 1_000));
    scheduler.submit(sequence("second", 0, 4, 0, 1));
    scheduler.step();
    assertEquals(1, scheduler.load().waiting());

    assertTrue(scheduler.cancel("first"));

    assertEquals(0, scheduler.load().kvUsedTokens());
    assertEquals(List.of("second"), scheduler.step().finished());
  }
}
