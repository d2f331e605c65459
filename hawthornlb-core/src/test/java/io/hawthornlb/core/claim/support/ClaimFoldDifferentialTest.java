package io.hawthornlb.core.claim.support;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.core.claim.Claim;
import io.hawthornlb.core.claim.ClaimRecord;
import io.hawthornlb.core.log.LogRecord;
import io.hawthornlb.core.log.RecordBody;
import io.hawthornlb.core.log.RecordId;
import io.hawthornlb.core.model.Epoch;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.core.model.PartitionId;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class ClaimFoldDifferentialTest {

  private static final int STEPS = 150;
  private static final PartitionId PARTITION = new PartitionId(0);

  @Property(tries = 200, seed = "20261202")
  void foldFromAnyRetainedOffsetEqualsFullReplay(
      @ForAll long seed, @ForAll @IntRange(max = 80) int percentExpired) {
    List<LogRecord> stream = new ClaimHistory(seed, STEPS).stream();
    int first = stream.size() * percentExpired / 100;
    ClaimFold fold = new ClaimFold(ClaimHistory.PARTITIONS);
    fold.restartAt(first);

    stream.subList(first, stream.size()).forEach(fold::apply);

    Map<PartitionId, Claim> expected = fold.complete() ? NaiveClaims.replay(stream) : Map.of();
    assertEquals(expected, holders(fold));
  }

  // Guards against two holders of one partition in one epoch, which would dispatch the same items
  // and accept the same run-once requests. Every reader, however late, must see only one holder for
  // an epoch, and the epochs of a partition must never decrease.
  @Property(tries = 100, seed = "20261202")
  void anEpochHasOneHolderForEveryReader(@ForAll long seed) {
    List<LogRecord> stream = new ClaimHistory(seed, STEPS).stream();
    Map<Epoch, InstanceId> holderOfEpoch = new HashMap<>();
    Map<PartitionId, Epoch> last = new HashMap<>();
    ClaimFold fold = new ClaimFold(ClaimHistory.PARTITIONS);
    for (LogRecord entry : stream) {
      fold.apply(entry);
      for (Claim claim : holders(fold).values()) {
        InstanceId before = holderOfEpoch.putIfAbsent(claim.epoch(), claim.holder());
        assertTrue(before == null || before.equals(claim.holder()));
        Epoch previous = last.put(claim.partition(), claim.epoch());
        assertTrue(previous == null || previous.compareTo(claim.epoch()) <= 0);
      }
    }
  }

  // Two instances consider the holder silent and claim its partition at the same moment.
  @Test
  void firstOfTwoConcurrentClaimsInTheStreamWins() {
    ClaimFold fold = new ClaimFold(1);
    fold.apply(claim(0, "a", 0, Epoch.NONE));
    fold.apply(claim(1, "b", 0, new Epoch(0)));
    fold.apply(claim(2, "c", 0, new Epoch(0)));

    assertEquals(new InstanceId("b"), fold.current(PARTITION).orElseThrow().holder());
    assertEquals(new Epoch(1), fold.epoch(PARTITION));
  }

  // The answer to the claim of b is lost, c supersedes b, and then the resent claim of b arrives.
  // The resent claim is void even if it is not recognized as a duplicate, because its superseded
  // epoch is no longer current. A claim by the paused holder a must be void for the same reason.
  @Test
  void resentClaimAndClaimOfAPausedHolderAreVoid() {
    ClaimFold fold = new ClaimFold(1);
    fold.apply(claim(0, "a", 0, Epoch.NONE));
    fold.apply(claim(1, "b", 0, new Epoch(0)));
    fold.apply(claim(2, "c", 0, new Epoch(1)));
    fold.apply(claim(3, "b", 0, new Epoch(0)));
    fold.apply(claim(4, "a", 1, new Epoch(0)));

    assertEquals(new InstanceId("c"), fold.current(PARTITION).orElseThrow().holder());
  }

  @Test
  void onlyTheHolderHandsAPartitionOver() {
    ClaimFold fold = new ClaimFold(1);
    fold.apply(claim(0, "a", 0, Epoch.NONE));
    fold.apply(record(1, "b", 0, handOver("c", new Epoch(0))));
    assertEquals(new InstanceId("a"), fold.current(PARTITION).orElseThrow().holder());

    fold.apply(record(2, "a", 1, handOver("c", new Epoch(0))));
    assertEquals(new InstanceId("c"), fold.current(PARTITION).orElseThrow().holder());
  }

  @Test
  void withoutTheEpochCheckAPausedHolderTakesItsPartitionBack() {
    List<LogRecord> stream =
        List.of(
            claim(0, "a", 0, Epoch.NONE),
            claim(1, "b", 0, new Epoch(0)),
            claim(2, "a", 1, new Epoch(0)));

    assertEquals("b", NaiveClaims.replay(stream).get(PARTITION).holder().value());
    assertEquals("a", NaiveClaims.lastClaimWins(stream).get(PARTITION).holder().value());
  }

  @Test
  void withoutTheEpochCheckStaleClaimantsTakePartitionsInRandomHistories() {
    List<LogRecord> stream = new ClaimHistory(1, STEPS).stream();
    int differing = 0;
    for (int end = 1; end <= stream.size(); end++) {
      List<LogRecord> read = stream.subList(0, end);
      boolean same = NaiveClaims.replay(read).equals(NaiveClaims.lastClaimWins(read));
      differing += same ? 0 : 1;
    }

    assertTrue(differing > STEPS / 4, "only " + differing + " states differ");
  }

  private static LogRecord claim(long offset, String writer, long sequence, Epoch superseded) {
    return record(offset, writer, sequence, handOver(writer, superseded));
  }

  private static ClaimRecord handOver(String holder, Epoch superseded) {
    return new ClaimRecord(PARTITION, new InstanceId(holder), superseded, List.of());
  }

  private static LogRecord record(long offset, String writer, long sequence, RecordBody body) {
    RecordId id = new RecordId(new InstanceId(writer), sequence);
    return new LogRecord(offset, Instant.EPOCH, id, body);
  }

  private static Map<PartitionId, Claim> holders(ClaimFold fold) {
    Map<PartitionId, Claim> holders = new TreeMap<>();
    for (int number = 0; number < fold.partitions(); number++) {
      fold.current(new PartitionId(number))
          .ifPresent(claim -> holders.put(claim.partition(), claim));
    }
    return holders;
  }
}
