package io.hawthornlb.core.runonce;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.core.harness.NodeParts.Variant;
import io.hawthornlb.core.log.LogRecord;
import io.hawthornlb.core.log.RecordId;
import io.hawthornlb.core.model.Epoch;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.model.RequestId;
import io.hawthornlb.core.runonce.support.RunOnceFold;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class RunOnceFoldPropertyTest {

  private static final int KEYS = 4;

  // Guards against two instances that disagree on whether a request has run because they read its
  // intent and outcome repeatedly or in another order.
  @Property(tries = 500, seed = "20261203")
  void stateOfAKeyIsItsGreatestEntryInAnyOrder(@ForAll long seed) {
    Random random = new Random(seed);
    List<RunOnceEntry> entries = new ArrayList<>();
    for (int i = 0; i < 30; i++) {
      entries.add(entry(random));
    }
    Map<RunOnceKey, RunOnceEntry> expected = new HashMap<>();
    entries.forEach(entry -> expected.merge(entry.key(), entry, (a, b) -> b.supersedes(a) ? b : a));
    entries.addAll(List.copyOf(entries.subList(0, 10)));
    Collections.shuffle(entries, random);

    RunOnceFold fold = fold(entries);
    assertEquals(expected.size(), fold.size());
    expected.forEach(
        (key, entry) -> {
          KeyState state = fold.key(key).orElseThrow();
          assertEquals(entry.attempt(), state.attempt());
          assertEquals(entry.state(), state.state());
          RunOnceEntry stored = entries.get((int) state.offset());
          assertEquals(entry, stored);
        });
  }

  // Guards against the loss of results when the platform drops their records after the log
  // retention. Without a refresh the result is unreadable later, and an instance that starts then
  // takes the key for new.
  @Test
  void resultsStayReadableAfterTheLogDropsTheirRecords() {
    Duration retention = Duration.ofMinutes(2);
    RunOnceSettings settings = RunOnceSettings.builder().logRetention(retention).build();
    RunOnceScenario scenario = new RunOnceScenario(5, settings, Variant.STANDARD);
    scenario.settle(0);
    RunOnceKey key = RunOnceScenario.key("waiter-7");
    RequestId first = scenario.send(3, key, false);
    scenario.await(first);
    scenario.cluster().run(Duration.ofMinutes(10));
    KeyState state = scenario.node(4).runOnceFold().key(key).orElseThrow();
    Instant oldest = scenario.cluster().now().minus(retention);

    assertTrue(scenario.cluster().log().at(state.offset()).appendedAt().isAfter(oldest));
    assertEquals(scenario.answer(first), scenario.await(scenario.send(4, key, false)));
  }

  private static RunOnceFold fold(List<RunOnceEntry> entries) {
    RunOnceFold fold = new RunOnceFold();
    for (int offset = 0; offset < entries.size(); offset++) {
      EntriesRecorded body = new EntriesRecorded(new Epoch(1), List.of(entries.get(offset)));
      RecordId id = new RecordId(new InstanceId("w"), offset);
      fold.apply(new LogRecord(offset, Instant.EPOCH, id, body));
    }
    return fold;
  }

  private static RunOnceEntry entry(Random random) {
    AttemptId attempt = new AttemptId(new Epoch(random.nextInt(2)), random.nextInt(2));
    RunOnceKey key = RunOnceScenario.key("k" + random.nextInt(KEYS));
    RunOnceEntry intent =
        new RunOnceEntry(
            key,
            "f",
            attempt,
            EntryState.INTENT,
            Optional.empty(),
            "",
            Instant.EPOCH.plusSeconds(60));
    return switch (random.nextInt(4)) {
      case 0 -> intent;
      case 1 -> intent.ended(EntryState.UNKNOWN, "");
      case 2 -> intent.ended(EntryState.ABANDONED, "");
      default -> intent.completed(new ServiceResult(200, List.of(), "done " + key));
    };
  }
}
