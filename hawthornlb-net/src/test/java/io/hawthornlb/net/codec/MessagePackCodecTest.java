package io.hawthornlb.net.codec;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.hawthornlb.core.log.RecordBody;
import io.hawthornlb.core.model.JobId;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

class MessagePackCodecTest {

  record Sample(JobId job, Instant at, Duration age, Optional<String> note, List<Long> offsets)
      implements RecordBody {}

  private final MessagePackCodec<RecordBody> codec =
      new MessagePackCodec<>(
          TypeRegistry.<RecordBody>builder().register("sample", Sample.class).build());

  @Test
  void decodesEncodedValue() {
    Sample sample =
        new Sample(
            new JobId("j-1"),
            Instant.parse("2026-01-02T03:04:05.678Z"),
            Duration.ofMillis(1_500),
            Optional.of("note"),
            List.of(1L, 1L << 40));

    assertEquals(Optional.of(sample), codec.decode(codec.encode(sample)));
  }

  // Guards against messages that cannot be encoded. With Jackson's default time format, encoding
  // fails for each time that is not an exact double. Nearly all times read from a clock have such
  // nanoseconds, so the entry instances would receive no more messages from each other.
  @Test
  void keepsTimesToTheNanosecond() {
    Sample sample =
        new Sample(
            new JobId("j-1"),
            Instant.ofEpochSecond(1_796_245_139L, 78_127_541),
            Duration.ofNanos(-1_234_567_891),
            Optional.empty(),
            List.of());

    assertEquals(Optional.of(sample), codec.decode(codec.encode(sample)));
  }

  @Test
  void decodesUnknownTypeToEmpty() {
    MessagePackCodec<RecordBody> newer =
        new MessagePackCodec<>(
            TypeRegistry.<RecordBody>builder().register("other", Sample.class).build());
    byte[] bytes =
        newer.encode(
            new Sample(new JobId("j"), Instant.EPOCH, Duration.ZERO, Optional.empty(), List.of()));

    assertEquals(Optional.empty(), codec.decode(bytes));
  }

  @Test
  void rejectsInvalidBytes() {
    assertThrows(CodecException.class, () -> codec.decode(new byte[] {1, 2, 3}));
  }
}
