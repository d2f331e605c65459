package io.hawthornlb.net.platform.support;

import io.hawthornlb.core.effect.AppendRecord;
import io.hawthornlb.core.log.LogRecord;
import io.hawthornlb.core.log.RecordBody;
import io.hawthornlb.core.log.RecordId;
import io.hawthornlb.core.log.UnknownRecord;
import io.hawthornlb.core.model.InstanceId;
import io.hawthornlb.net.codec.CodecException;
import io.hawthornlb.net.codec.MessagePackCodec;
import io.hawthornlb.net.codec.TypeRegistry;
import io.hawthornlb.net.platform.StoredRecord;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/** Encodes log records as the MessagePack array {@code [writer, sequence, typeName, content]}. */
public final class RecordCodec {

  private static final int MEMBERS = 4;
  private static final int BODY_MEMBERS = 2;
  private static final int BODY_HEADER_BYTES = 1;

  private final MessagePackCodec<RecordBody> bodies;

  /** Creates a codec for the registered record types. */
  public RecordCodec(TypeRegistry<RecordBody> registry) {
    this.bodies = new MessagePackCodec<>(registry);
  }

  /** Returns the encoded record. */
  public byte[] encode(AppendRecord effect) {
    byte[] body = bodies.encode(effect.body());
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packArrayHeader(MEMBERS);
      packer.packString(effect.id().writer().value());
      packer.packLong(effect.id().sequence());
      packer.writePayload(body, BODY_HEADER_BYTES, body.length - BODY_HEADER_BYTES);
      return packer.toByteArray();
    } catch (IOException e) {
      throw new CodecException("cannot encode a record", e);
    }
  }

  /**
   * Returns the decoded record. Its body is an {@link UnknownRecord} if this version cannot read
   * it.
   *
   * @throws CodecException if the bytes are not a record of any version
   */
  public LogRecord decode(StoredRecord stored) {
    byte[] data = stored.data();
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(data)) {
      if (unpacker.unpackArrayHeader() != MEMBERS) {
        throw new CodecException("expected writer, sequence, type name and content", null);
      }
      InstanceId writer = new InstanceId(unpacker.unpackString());
      RecordId id = new RecordId(writer, unpacker.unpackLong());
      int bodyStart = (int) unpacker.getTotalReadBytes();
      String typeName = unpacker.unpackString();
      RecordBody body = decodeBody(typeName, bodyArray(data, bodyStart));
      return new LogRecord(stored.offset(), stored.appendedAt(), id, body);
    } catch (IOException | MessagePackException | IllegalArgumentException e) {
      throw new CodecException("cannot decode the record at offset " + stored.offset(), e);
    }
  }

  /**
   * Returns the body, or an {@link UnknownRecord} if this version cannot read it.
   *
   * <p>A newer version may write a value that this version rejects, such as a new enum constant. If
   * the record were skipped as undecodable, the instance would not know that its state is
   * incomplete. With an {@link UnknownRecord} the fold knows, and writes no snapshot.
   */
  private RecordBody decodeBody(String typeName, byte[] body) {
    try {
      return bodies.decode(body).orElseGet(() -> new UnknownRecord(typeName));
    } catch (CodecException e) {
      return new UnknownRecord(typeName);
    }
  }

  private static byte[] bodyArray(byte[] data, int bodyStart) throws IOException {
    ByteArrayOutputStream array = new ByteArrayOutputStream(data.length - bodyStart + 1);
    try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
      packer.packArrayHeader(BODY_MEMBERS);
      array.write(packer.toByteArray());
    }
    array.write(data, bodyStart, data.length - bodyStart);
    return array.toByteArray();
  }
}
