package io.hawthornlb.gateway.decode;

import java.io.IOException;
import java.nio.charset.CodingErrorAction;
import java.time.Duration;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Decodes MessagePack from untrusted writers.
 *
 * <p>A length field of five bytes may claim 2 GB, and a number may exceed the range of a duration
 * or an index. The process could run out of memory, or an exception could occur far from the
 * reader. The reader therefore checks each length against the remaining bytes and each number
 * against its bounds, and reports any error as an {@link UnreadableException}.
 */
public final class MessageReader {

  private static final MessagePack.UnpackerConfig CONFIG =
      new MessagePack.UnpackerConfig()
          .withActionOnMalformedString(CodingErrorAction.REPORT)
          .withActionOnUnmappableString(CodingErrorAction.REPORT);

  private final MessageUnpacker unpacker;
  private final int size;

  private MessageReader(MessageUnpacker unpacker, int size) {
    this.unpacker = unpacker;
    this.size = size;
  }

  /** Decodes the fields of a value. */
  public interface Body<T> {

    /** Decodes and returns the value. */
    T read(MessageReader reader) throws IOException;
  }

  /**
   * Decodes bytes.
   *
   * @param what name of the value, for the error
   * @throws UnreadableException if the bytes are no valid value
   */
  public static <T> T read(String what, byte[] bytes, Body<T> body) {
    try (MessageUnpacker unpacker = CONFIG.newUnpacker(bytes)) {
      return body.read(new MessageReader(unpacker, bytes.length));
    } catch (UnreadableException e) {
      throw e;
    } catch (MessagePackException e) {
      throw new UnreadableException(what, e.getClass().getSimpleName());
    } catch (IOException | IllegalArgumentException | ArithmeticException e) {
      throw new UnreadableException(what, String.valueOf(e.getMessage()));
    }
  }

  /** Returns whether further fields follow. */
  public boolean hasMore() throws IOException {
    return unpacker.hasNext();
  }

  /** Reads a string. */
  public String text() throws IOException {
    return unpacker.unpackString();
  }

  /** Reads a boolean. */
  public boolean flag() throws IOException {
    return unpacker.unpackBoolean();
  }

  /** Reads an integer. */
  public long number() throws IOException {
    return unpacker.unpackLong();
  }

  /** Returns a whole number between two bounds, both included. */
  public int number(String place, int min, int max) throws IOException {
    return (int) number(place, (long) min, (long) max);
  }

  /** Returns a whole number between two bounds, both included. */
  public long number(String place, long min, long max) throws IOException {
    long number = unpacker.unpackLong();
    if (number < min || number > max) {
      throw new UnreadableException(place, "not from " + min + " to " + max);
    }
    return number;
  }

  /** Reads a floating-point number greater than zero and up to a bound. */
  public double positive(String place, double max) throws IOException {
    double number = unpacker.unpackDouble();
    if (!(number > 0 && number <= max)) {
      throw new UnreadableException(place, "not above 0 and up to " + max);
    }
    return number;
  }

  /** Reads a duration in milliseconds, from zero to a bound. */
  public Duration millis(String place, Duration max) throws IOException {
    return Duration.ofMillis(number(place, 0L, max.toMillis()));
  }

  /**
   * Reads the number of elements of the list that follows; each element takes at least one byte.
   */
  public int listSize() throws IOException {
    return checkLength("list", unpacker.unpackArrayHeader());
  }

  /** Reads the number of entries of the map that follows. */
  public int mapSize() throws IOException {
    return checkLength("map", unpacker.unpackMapHeader());
  }

  /** Reads a byte array. */
  public byte[] bytes() throws IOException {
    return unpacker.readPayload(checkLength("bytes", unpacker.unpackBinaryHeader()));
  }

  private int checkLength(String place, int length) {
    if (length < 0 || length > size - unpacker.getTotalReadBytes()) {
      throw new UnreadableException(place, "longer than the remaining bytes");
    }
    return length;
  }
}
