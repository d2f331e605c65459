package io.hawthornlb.net.platform.support;

import io.hawthornlb.core.log.RecordId;
import io.hawthornlb.core.model.InstanceId;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.jetbrains.kotlinx.lincheck.LinChecker;
import org.jetbrains.kotlinx.lincheck.annotations.Operation;
import org.jetbrains.kotlinx.lincheck.annotations.Param;
import org.jetbrains.kotlinx.lincheck.paramgen.IntGen;
import org.jetbrains.kotlinx.lincheck.strategy.stress.StressOptions;
import org.junit.jupiter.api.Test;

/** Callers offer records while append responses and the stream follower remove them. */
@Param(name = "id", gen = IntGen.class, conf = "0:3")
public class StreamQueueLincheckTest {

  private static final InstanceId WRITER = new InstanceId("n");

  private final StreamQueue queue = new StreamQueue(3);

  @Operation
  public boolean offer(@Param(name = "id") int id) {
    return queue
        .offer(new PendingRecord(id(id), new byte[1], Instant.EPOCH, new CompletableFuture<>()))
        .isPresent();
  }

  @Operation
  public List<Long> nextGroup() {
    return queue.nextGroup(2, 100).stream().map(entry -> entry.id().sequence()).toList();
  }

  @Operation
  public void release() {
    queue.release();
  }

  @Operation
  public boolean remove(@Param(name = "id") int id) {
    return queue.remove(id(id)).isPresent();
  }

  @Operation
  public int giveUpAll() {
    return queue.removeBefore(Instant.MAX).size();
  }

  private static RecordId id(int id) {
    return new RecordId(WRITER, id);
  }

  @Test
  public void isLinearizable() {
    StressOptions options =
        new StressOptions()
            .iterations(30)
            .invocationsPerIteration(500)
            .threads(2)
            .actorsPerThread(3)
            .sequentialSpecification(StreamQueueLincheckTest.class);
    LinChecker.check(StreamQueueLincheckTest.class, options);
  }
}
