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

  // An instance that starts from a snapshot and the records that the log still retains must have
  // exactly the same state as an instance that has read the stream from its first record. Otherwise
  // two instances know different jobs, and an item runs twice or never.
  @Property(tries = 400, seed = "20261202")
  void startAtAnyRetainedOffsetEqualsFullReplay(
      @ForAll long seed, @ForAll @IntRange(max = 100) int percentExpired) {
    List<LogRecord> stream = new StreamHistory(seed, STEPS).stream();
    int first = stream.size() * percentExpired / 100;
    RegisterFold fold = new RegisterFold();
    fold.restartAt(first);

    stream.subList(first, stream.size()).forEach(fold::apply);

    if (fold.complete()) {
      assertEquals(FullReplayFold.replay(stream), fold.registers());
    } else {
      assertEquals(Map.of(), fold.registers());
    }
  }

  // An instance that was disconnected for longer than the log retention finds that the record at
  // its next offset was dropped.
  @Property(tries = 200, seed = "20261202")
  void gapInTheMiddleEqualsFullReplay(
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

    Map<Integer, RegisterState> expected = fold.complete() ? FullReplayFold.replay(stream) : atCut;
    assertEquals(expected, fold.registers());
  }

  @Property(tries = 100, seed = "20261202")
  void snapshotsOfAllFoldsAreEqual(
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
    assertTrue(complete > 90, "only " + complete + " of 100 histories have a usable snapshot");
  }

  @Test
  void foldWithoutTheDuplicateFilterDiffers() {
    List<LogRecord> stream = new StreamHistory(1, STEPS).stream();

    assertNotEquals(FullReplayFold.replay(stream), UnprotectedFolds.withoutDuplicateFilter(stream));
  }

  @Test
  void foldThatInstallsEverySnapshotMovesBack() {
    List<LogRecord> stream = new StreamHistory(1, STEPS).stream();
    RegisterFold fold = new RegisterFold();
    int wrong = 0;
    for (int end = 1; end <= stream.size(); end++) {
      List<LogRecord> read = stream.subList(0, end);
      fold.apply(stream.get(end - 1));
      assertEquals(FullReplayFold.replay(read), fold.registers());
      wrong += fold.registers().equals(UnprotectedFolds.withEverySnapshot(read)) ? 0 : 1;
    }

    assertTrue(wrong > 0, "this history has no late snapshot");
  }
}
