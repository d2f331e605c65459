package io.hawthornlb.net.platform.support;

import io.hawthornlb.core.effect.AppendRecord;
import io.hawthornlb.core.log.RecordBody;
import io.hawthornlb.core.log.RecordId;
import io.hawthornlb.core.log.StreamName;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.net.codec.TypeRegistry;
import io.hawthornlb.net.platform.StoredRecord;
import java.time.Instant;
import java.util.Locale;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/** Measures the encoded size of each record type and its encoding and decoding time. */
@Tag("bench")
class RecordSizeBench {

  private static final int ROUNDS = 200_000;

  @Test
  void sizes() {
    RecordCodec codec = new RecordCodec(SharedRecordTypes.register(TypeRegistry.builder()).build());
    for (RecordBody body : SharedRecordTypesTest.records()) {
      RecordId id = new RecordId(new InstanceId("n-1"), 100_000);
      AppendRecord effect = new AppendRecord(StreamName.CLAIMS, id, body);
      StoredRecord stored = new StoredRecord(1, Instant.EPOCH, codec.encode(effect));
      double encode = nanos(() -> codec.encode(effect));
      double decode = nanos(() -> codec.decode(stored));
      System.out.printf(
          Locale.ROOT,
          "| %s | %d bytes | %.1f us to encode | %.1f us to decode |%n",
          body.getClass().getSimpleName(),
          stored.data().length,
          encode / 1_000,
          decode / 1_000);
    }
  }

  private static double nanos(Runnable call) {
    long start = 0;
    for (int round = 0; round < 2 * ROUNDS; round++) {
      if (round == ROUNDS) {
        start = System.nanoTime();
      }
      call.run();
    }
    return (System.nanoTime() - start) / (double) ROUNDS;
  }
}
