package io.hawthornlb.gateway.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.gateway.VirtualLoop;
import io.hawthornlb.gateway.endpoint.EndpointDirectory;
import io.hawthornlb.gateway.route.ConfigHolder;
import io.hawthornlb.gateway.store.LogStore.AppendCall;
import io.hawthornlb.gateway.store.LogStore.FencedWriter;
import io.hawthornlb.gateway.store.LogStore.GroupJoin;
import io.hawthornlb.gateway.store.LogStore.KeyedRecord;
import io.hawthornlb.gateway.store.StoreException;
import io.hawthornlb.gateway.store.support.InMemoryLogStore;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

class JobRunnersTest {

  private final VirtualLoop time = new VirtualLoop();
  private final InMemoryLogStore store = new InMemoryLogStore(time.loop(), 2);

  /**
   * A bay is listed at two positions. A holder was frozen, another one took over and listed the
   * bay, and the first one woke and listed it once more where it thought the list ended.
   */
  @Test
  void refusesWhatAFormerHolderWrites() {
    List<KeyedRecord> results =
        List.of(JobRecords.result("j", 0, new JobResult("i1", true, "one")));
    store.append(call(List.of(), new FencedWriter("w", 1, 0)));
    store.append(call(results, new FencedWriter("w", 1, 0)));
    store.append(call(List.of(), new FencedWriter("w", 2, 0)));
    StoreException refused =
        assertThrows(
            StoreException.class, () -> store.append(call(results, new FencedWriter("w", 1, 1))));
    assertEquals(StoreException.Kind.FENCED, refused.kind());
  }

  /** An outcome is listed twice because the answer of its append was lost and it was sent again. */
  @Test
  void carriesARepeatedAppendOutOnce() {
    List<KeyedRecord> results =
        List.of(JobRecords.result("j", 0, new JobResult("i1", true, "one")));
    store.append(call(results, new FencedWriter("w", 1, 0)));
    store.append(call(results, new FencedWriter("w", 1, 0)));
    assertEquals(1, join(store.read("t", 0, 0, Duration.ZERO)).records().size());
  }

  /**
   * A caller reads eight results at one process and none at the next one, which had not followed
   * the log since.
   */
  @Test
  void readsToTheEndBeforeItSaysThatThereIsNothing() {
    JobReplicas replicas = new JobReplicas(store, 2, time.loop());
    int partition = replicas.partition("j");
    JobReplica replica = replicas.of("j");
    Job job =
        new Job("j", "h", Instant.EPOCH, List.of(new JobItem("i1", "/p", Map.of(), new byte[0])));
    append(partition, JobRecords.accepted(job));
    replica.refresh();
    time.advance(Duration.ofMillis(1));
    assertTrue(replica.table().find("j").isPresent());
    append(partition, List.of(JobRecords.result("j", 0, new JobResult("i1", true, "one"))));
    assertEquals(0, replica.table().find("j").orElseThrow().resultCount());
    replica.refresh();
    time.advance(Duration.ofMillis(1));
    assertEquals(1, replica.table().find("j").orElseThrow().resultCount());
  }

  /**
   * Reports of a large fleet stand still for a moment with each restart of any gateway: it took
   * itself for the only one, joined those that share the partitions, and all of them moved.
   */
  @Test
  void joinsNobodyBeforeTheFleetIsKnown() {
    OptionalInt[] rank = {OptionalInt.empty()};
    JobRunners runners =
        new JobRunners(
            JobFixture.parts(store, time.loop(), time, new ConfigHolder(), new EndpointDirectory()),
            new JobFixture.NoCalls(),
            new JobFixture.SilentNotices(),
            new ScriptedJobPeers("g1"),
            2,
            () -> rank[0]);
    runners.start();
    time.advance(Duration.ofSeconds(2));
    assertEquals(1, generation("other"));
    rank[0] = OptionalInt.of(0);
    time.advance(Duration.ofSeconds(2));
    assertEquals(2, generation("other"));
  }

  /**
   * A result that a caller has read is nowhere later: a process left its partition and held it
   * anew, and the store took what it wrote for a repeat of what it had written before.
   */
  @Test
  void holdsAPartitionAnewUnderALaterEpoch() {
    List<Long> epochs = new ArrayList<>();
    InMemoryLogStore deaf =
        new InMemoryLogStore(time.loop(), 1) {
          @Override
          public CompletionStage<Appended> append(AppendCall call) {
            epochs.add(call.writer().epoch());
            return super.append(call);
          }

          @Override
          public CompletionStage<Void> leave(String name, String member) {
            return CompletableFuture.failedFuture(
                new StoreException(StoreException.Kind.UNKNOWN, "cut"));
          }
        };
    int[] rank = {0};
    JobRunners runners =
        new JobRunners(
            JobFixture.parts(deaf, time.loop(), time, new ConfigHolder(), new EndpointDirectory()),
            new JobFixture.NoCalls(),
            new JobFixture.SilentNotices(),
            new ScriptedJobPeers("g1"),
            1,
            () -> OptionalInt.of(rank[0]));
    runners.start();
    time.advance(Duration.ofSeconds(1));
    rank[0] = 100;
    time.advance(Duration.ofSeconds(12));
    rank[0] = 0;
    time.advance(Duration.ofSeconds(1));
    assertEquals(2, epochs.size());
    assertTrue(epochs.get(0) < epochs.get(1), epochs.toString());
  }

  private long generation(String member) {
    GroupJoin join = new GroupJoin("runners", member, JobReplicas.TOPIC, Duration.ofSeconds(3), 0);
    return join(store.join(join)).generation();
  }

  @Test
  void spreadsJobsOverAllPartitions() {
    JobReplicas replicas = new JobReplicas(store, 12, time.loop());
    long used =
        IntStream.range(0, 200)
            .map(number -> replicas.partition("job-" + number))
            .distinct()
            .count();
    assertEquals(12, used);
  }

  private void append(int partition, List<KeyedRecord> records) {
    store.append(new AppendCall(JobReplicas.TOPIC, partition, records, null));
  }

  private static AppendCall call(List<KeyedRecord> records, FencedWriter writer) {
    return new AppendCall("t", 0, records, writer);
  }

  private static <T> T join(CompletionStage<T> stage) {
    return stage.toCompletableFuture().join();
  }
}
