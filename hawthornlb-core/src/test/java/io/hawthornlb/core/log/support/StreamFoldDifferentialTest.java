package io.hawthornlb.core.log.support;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.core.log.LogRecord;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class StreamFoldDifferentialTest {

  private static final int STEPS = 300;

  // An entry that boots late, from a snapshot and what the log still retains, must decide exactly
  // as one that has read the stream from its first record. Otherwise two entries hold different
  // jobs, and an item is done twice or by nobody.
  @Property(tries = 400, seed = "20261202")
  void startingAtAnyRetainedOffsetEqualsReplayingEverything(
      @ForAll long seed, @ForAll @IntRange(max = 100) int percentExpired) {
    List<LogRecord> stream = new StreamHistory(seed, STEPS).stream();
    int first = stream.size() * percentExpired / 100;
    RegisterFold fold = new RegisterFold();
    fold.restartAt(first);

    stream.subList(first, stream.size()).forEach(fold::apply);

    if (fold.complete()) {
      assertEquals(ReplayEverythingFold.replay(stream), fold.registers());
    } else {
      assertEquals(Map.of(), fold.registers());
    }
  }

  // An entry that was cut off for longer than the log retains finds its next offset gone.
  @Property(tries = 200, seed = "20261202")
  void aGapInTheMiddleEqualsReplayingEverything(
      @ForAll long seed,
      @ForAll @IntRange(max = 99) int from,
      @ForAll @IntRange(max = 50) int gap) {
    List<LogRecord> stream = new StreamHistory(seed, STEPS).stream();
    int cut = stream.size() * from / 100;
    int back = Math.min(stream.size() - 1, cut + gap);
    RegisterFold fold = new RegisterFold();
    stream.subList(0, cut).forEach(fold::apply);
    Map<Integer, RegisterState> atCut = fold.registers();
    fold.restartAt(back);

    stream.subList(back, stream.size()).forEach(fold::apply);

    Map<Integer, RegisterState> expected =
        fold.complete() ? ReplayEverythingFold.replay(stream) : atCut;
    assertEquals(expected, fold.registers());
  }

  @Property(tries = 100, seed = "20261202")
  void snapshotsOfAllFoldsAreTheSame(
      @ForAll long seed, @ForAll @IntRange(max = 60) int percentExpired) {
    List<LogRecord> stream = new StreamHistory(seed, STEPS).stream();
    RegisterFold whole = new RegisterFold();
    stream.forEach(whole::apply);
    int first = stream.size() * percentExpired / 100;
    RegisterFold late = new RegisterFold();
    late.restartAt(first);
    stream.subList(first, stream.size()).forEach(late::apply);

    if (late.complete()) {
      assertEquals(whole.snapshot(), late.snapshot());
    }
  }

  @Test
  void mostHistoriesHaveAUsableSnapshot() {
    long complete = 0;
    for (int seed = 0; seed < 100; seed++) {
      List<LogRecord> stream = new StreamHistory(seed, STEPS).stream();
      RegisterFold fold = new RegisterFold();
      fold.restartAt(stream.size() / 2);
      stream.subList(stream.size() / 2, stream.size()).forEach(fold::apply);
      complete += fold.complete() ? 1 : 0;
    }
    assertTrue(complete > 90, "only " + complete + " of 100 histories test the start");
  }

  @Test
  void aFoldWithoutTheDuplicateFilterBreaks() {
    List<LogRecord> stream = new StreamHistory(1, STEPS).stream();

    assertNotEquals(
        ReplayEverythingFold.replay(stream), UnguardedFolds.withoutDuplicateFilter(stream));
  }

  @Test
  void aFoldThatTakesEverySnapshotGoesBack() {
    List<LogRecord> stream = new StreamHistory(1, STEPS).stream();
    RegisterFold fold = new RegisterFold();
    int wrong = 0;
    for (int end = 1; end <= stream.size(); end++) {
      List<LogRecord> read = stream.subList(0, end);
      fold.apply(stream.get(end - 1));
      assertEquals(ReplayEverythingFold.replay(read), fold.registers());
      wrong += fold.registers().equals(UnguardedFolds.withEverySnapshot(read)) ? 0 : 1;
    }

    assertTrue(wrong > 0, "no late snapshot in this history");
  }
}
