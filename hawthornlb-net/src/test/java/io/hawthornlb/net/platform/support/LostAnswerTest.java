package io.hawthornlb.net.platform.support;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.hawthornlb.core.effect.AppendRecord;
import io.hawthornlb.core.log.RecordIdSource;
import io.hawthornlb.core.log.StreamName;
import io.hawthornlb.core.model.InstanceId;
import java.io.IOException;
import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.awaitility.Awaitility;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class LostAnswerTest {

  private static final StreamName STREAM = new StreamName("s");
  private static final int NOTES = 40;

  private final FakePlatform platform = new FakePlatform();
  private final HttpPlatformLogClient client = new HttpPlatformLogClient(platform.uri());
  private final ScheduledExecutorService timers = Executors.newSingleThreadScheduledExecutor();
  private final RecordIdSource ids = new RecordIdSource(new InstanceId("n"));
  private final GroupingLogWriter writer =
      new GroupingLogWriter(
          client,
          NoteFold.CODEC,
          timers,
          InstantSource.system(),
          new Random(1),
          WriterSettings.DEFAULT);

  LostAnswerTest() throws IOException {}

  @AfterEach
  void stop() {
    timers.shutdownNow();
    client.close();
    platform.close();
  }

  // Guards against lost, duplicated or reordered records. The platform applies appends but loses
  // some responses, rejects calls over its rate limit and is down for a moment. Each record must be
  // folded exactly once and in order, although the stream contains some twice, since the follower
  // in this test does not notify the writer of the records that it reads.
  @Test
  void recordsAreFoldedOnceDespiteLostResponsesAndRejections() throws Exception {
    NoteFold fold = new NoteFold();
    List<CompletableFuture<Long>> appended = new ArrayList<>();
    try (StreamFollower follower =
        StreamFollower.builder(STREAM, fold, client, NoteFold.CODEC)
            .executors(timers, timers)
            .build()) {
      follower.start();
      for (int number = 0; number < NOTES; number++) {
        injectFault(number);
        AppendRecord effect = new AppendRecord(STREAM, ids.next(), new NoteFold.Note(number));
        appended.add(writer.append(effect).toCompletableFuture());
        Awaitility.await().pollDelay(Duration.ofMillis(2)).until(() -> true);
      }
      platform.down = false;
      CompletableFuture.allOf(appended.toArray(CompletableFuture[]::new)).get(20, TimeUnit.SECONDS);
      List<Integer> expected = IntStream.range(0, NOTES).boxed().toList();
      Awaitility.await().until(() -> fold.numbers().equals(expected));
    }
    assertTrue(platform.size(STREAM.value()) > NOTES, "the stream contains no record twice");
    assertEquals(0, writer.statistics().pending());
  }

  private void injectFault(int number) {
    if (number == 0 || number == 20) {
      platform.responsesToLose.set(2);
    }
    if (number == 10) {
      platform.callsOverRate.set(1);
    }
    platform.down = number >= 30;
  }
}
