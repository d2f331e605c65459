package io.hawthornlb.net.platform.support;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.hawthornlb.core.effect.AppendRecord;
import io.hawthornlb.core.log.LogRecord;
import io.hawthornlb.core.log.RecordBody;
import io.hawthornlb.core.log.RecordId;
import io.hawthornlb.core.log.StreamName;
import io.hawthornlb.core.log.UnknownRecord;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.net.codec.CodecException;
import io.hawthornlb.net.codec.TypeRegistry;
import io.hawthornlb.net.platform.StoredRecord;
import java.io.IOException;
import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;

class RecordCodecTest {

  record Note(String text, long number) implements RecordBody {}

  record NewerNote(List<String> text, long number) implements RecordBody {}

  private static final RecordId ID = new RecordId(new InstanceId("n-1"), 1L << 33);

  private final RecordCodec codec = codec("note");
  private final byte[] data =
      codec.encode(new AppendRecord(new StreamName("s"), ID, new Note("text", -5)));

  @Test
  void decodesEncodedRecord() {
    assertEquals(
        new LogRecord(9, Instant.EPOCH, ID, new Note("text", -5)), codec.decode(stored(data)));
  }

  @Test
  void writesAnArrayOfFourMembers() throws IOException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(data)) {
      assertEquals(4, unpacker.unpackArrayHeader());
      assertEquals("n-1", unpacker.unpackString());
      assertEquals(1L << 33, unpacker.unpackLong());
      assertEquals("note", unpacker.unpackString());
      assertEquals(2, unpacker.unpackMapHeader());
    }
  }

  @Test
  void keepsIdOfRecordOfNewerVersion() {
    assertEquals(
        new LogRecord(9, Instant.EPOCH, ID, new UnknownRecord("note")),
        codec("other").decode(stored(data)));
  }

  // Guards against losing a record of a newer version, for example one with an enum constant that
  // this version does not have. If the record were skipped as unreadable, the next snapshot of this
  // version would not contain its effect.
  @Test
  void decodesUnreadableBodyAsUnknownRecord() {
    RecordCodec newer =
        new RecordCodec(
            TypeRegistry.<RecordBody>builder().register("note", NewerNote.class).build());
    byte[] written =
        newer.encode(new AppendRecord(new StreamName("s"), ID, new NewerNote(List.of("text"), 1)));

    assertEquals(new UnknownRecord("note"), codec.decode(stored(written)).body());
  }

  @Test
  void rejectsInvalidBytes() {
    assertThrows(CodecException.class, () -> codec.decode(stored(new byte[] {1, 2})));
    assertThrows(CodecException.class, () -> codec.decode(stored(new byte[0])));
  }

  private static StoredRecord stored(byte[] data) {
    return new StoredRecord(9, Instant.EPOCH, data);
  }

  private static RecordCodec codec(String name) {
    return new RecordCodec(TypeRegistry.<RecordBody>builder().register(name, Note.class).build());
  }
}
