package io.hawthornlb.gateway.job;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.gateway.RecordingEventLog;
import io.hawthornlb.gateway.VirtualLoop;
import io.hawthornlb.gateway.front.FrontRequest;
import io.hawthornlb.gateway.http.HttpReply;
import io.hawthornlb.gateway.store.LogStore.AppendCall;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Replays the reads of callers after all instances lost power: each job is read at several
 * instances, and no instance has read anything of the log yet.
 */
class JobReadLoadTest {

  private static final int INSTANCES = 89;
  private static final int PARTITIONS = 12;
  private static final int JOBS = 240;
  private static final int READS_OF_A_JOB = 4;
  private static final String TEXT = "x".repeat(12_300);

  private final VirtualLoop time = new VirtualLoop();
  private final PagedLogStore store = new PagedLogStore(time.loop(), PARTITIONS, 500);
  private final List<JobReplicas> replicas = new ArrayList<>();
  private final Map<Integer, String> holders = new HashMap<>();

  /**
   * Guards against jobs that cannot be read for a minute after a power cut. Each of 89 instances
   * loaded every partition for its first caller, through links of 21 Mbit/s and from one store.
   */
  @Test
  void readsTheLogOnceInsteadOfOncePerInstance() {
    long once = fill();
    long local = read(false);
    long forwarded = read(true);
    assertTrue(local > 50 * once, local + " bytes of " + once);
    assertEquals(once, forwarded);
  }

  private long fill() {
    long bytes = 0;
    JobReplicas partitioning = new JobReplicas(store, PARTITIONS, time.loop());
    for (int number = 0; number < JOBS; number++) {
      String id = "job" + number;
      int partition = partitioning.partition(id);
      List<JobItem> items = List.of(new JobItem("i", "/p", Map.of(), new byte[0]));
      Job job = new Job(id, "h", Instant.EPOCH, items);
      var records = new ArrayList<>(JobRecords.accepted(job));
      records.add(JobRecords.result(id, 0, new JobResult("i", true, TEXT)));
      store.append(new AppendCall(JobReplicas.TOPIC, partition, records, null));
      bytes += records.stream().mapToLong(record -> record.value().length).sum();
    }
    return bytes;
  }

  /**
   * Returns the number of bytes that the store delivers while all jobs are read at several
   * instances.
   */
  private long read(boolean forwardToHolders) {
    replicas.clear();
    IntStream.range(0, INSTANCES)
        .forEach(any -> replicas.add(new JobReplicas(store, PARTITIONS, time.loop())));
    IntStream.range(0, PARTITIONS).forEach(partition -> holders.put(partition, name(partition)));
    long before = store.listedBytes();
    int served = 0;
    for (int number = 0; number < JOBS * READS_OF_A_JOB; number++) {
      String id = "job" + number % JOBS;
      RecordingResponder response = new RecordingResponder();
      int instance = number * 31 % INSTANCES;
      FixedJobFormat format = new FixedJobFormat(new JobCall.Read(id, 0, Duration.ZERO));
      if (forwardToHolders) {
        router(instance, format).handle(request(), response);
      } else {
        service(instance, format).answer(format.next(), request(), response);
      }
      time.advance(Duration.ofMillis(2));
      served += response.status() == 200 ? 1 : 0;
    }
    assertEquals(JOBS * READS_OF_A_JOB, served);
    return store.listedBytes() - before;
  }

  private JobService service(int instance, JobFormat format) {
    return new JobService(
        replicas.get(instance), store, format, time.loop(), time, new RecordingEventLog());
  }

  private JobRequestRouter router(int instance, FixedJobFormat format) {
    return new JobRequestRouter(
        replicas.get(instance),
        service(instance, format),
        format,
        new Peers(instance, format),
        partition -> partition == instance,
        () -> CompletableFuture.completedFuture(holders),
        time.loop(),
        time,
        new RecordingEventLog());
  }

  private FrontRequest request() {
    return new FrontRequest(
        HttpMethod.GET, "/", "/", "h", new DefaultHttpHeaders(), new byte[0], time.instant());
  }

  private static String name(int instance) {
    return "g" + instance;
  }

  /** Peers that all reply. */
  private final class Peers implements JobPeers {

    private final int instance;
    private final FixedJobFormat format;

    private Peers(int instance, FixedJobFormat format) {
      this.instance = instance;
      this.format = format;
    }

    @Override
    public String self() {
      return name(instance);
    }

    @Override
    public int instances() {
      return INSTANCES;
    }

    @Override
    public boolean reachable(String name) {
      return true;
    }

    @Override
    public Optional<String> standby(int partition, String holder) {
      return Optional.empty();
    }

    @Override
    public CompletionStage<HttpReply> forward(String name, FrontRequest request, Duration timeout) {
      RecordingResponder response = new RecordingResponder();
      int holder = Integer.parseInt(name.substring(1));
      String id = format.next().jobId();
      service(holder, format).answer(format.next(), request, response);
      time.advance(Duration.ofMillis(1));
      return CompletableFuture.completedFuture(
          new HttpReply(
              response.status(),
              Map.of(
                  JobRequestRouter.PARTITION_BYTES,
                  String.valueOf(replicas.get(holder).bytes(replicas.get(holder).partition(id)))),
              response.text().getBytes()));
    }
  }
}
