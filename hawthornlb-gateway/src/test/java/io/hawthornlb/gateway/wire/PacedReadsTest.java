package io.hawthornlb.gateway.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class PacedReadsTest {

  private static final int MILLIS = (int) PacedReads.EVERY.toMillis();

  private final ReadCounter reads = new ReadCounter();
  private final EmbeddedChannel channel = new EmbeddedChannel(reads);
  private final PacedReads paced = new PacedReads(channel.eventLoop());

  /** Guards against items whose every event wakes the process: 50 events a second, ten reads. */
  @Test
  void readsTenTimesInASecond() {
    channel.freezeTime();
    paced.add(channel);
    reads.count = 0;
    for (int i = 0; i < 1_000 / MILLIS; i++) {
      pass(MILLIS);
    }
    assertEquals(10, reads.count);
    assertFalse(channel.config().isAutoRead());
  }

  /** Guards against a kept connection whose end nobody sees, since it is not read any more. */
  @Test
  void readsAConnectionAsBeforeOnceItsAnswerHasEnded() {
    channel.freezeTime();
    paced.add(channel);
    paced.remove(channel);
    reads.count = 0;
    pass(10 * MILLIS);
    assertEquals(0, reads.count);
    assertTrue(channel.config().isAutoRead());
  }

  private void pass(int millis) {
    channel.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
    channel.runScheduledPendingTasks();
  }

  /** Counts the reads that are asked for. */
  private static final class ReadCounter extends ChannelOutboundHandlerAdapter {

    private int count;

    @Override
    public void read(ChannelHandlerContext ctx) {
      count++;
      ctx.read();
    }
  }
}
