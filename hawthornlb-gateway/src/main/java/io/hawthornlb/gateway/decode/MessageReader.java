package io.hawthornlb.gateway.decode;

import java.io.IOException;
import java.nio.charset.CodingErrorAction;
import java.time.Duration;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Reads MessagePack that anybody may have written.
 *
 * <p>Failure: a length in five bytes claims 2 GB, a number is beyond what a time or an index can
 * be. It shows as a process out of memory, or as an exception far from the reader. Guard: each
 * length is held against the bytes that are left and each number against its bounds, and whatever
 * is wrong comes out as one {@link UnreadableException}.
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

  /** Reads the fields of a value. */
  public interface Body<T> {

    /** Returns the value. */
    T read(MessageReader reader) throws IOException;
  }

  /**
   * Returns what bytes hold.
   *
   * @param what name of the value, for the error
   * @throws UnreadableException if they do not hold it
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

  /** Returns a text. */
  public String text() throws IOException {
    return unpacker.unpackString();
  }

  /** Returns whether something holds. */
  public boolean flag() throws IOException {
    return unpacker.unpackBoolean();
  }

  /** Returns a whole number. */
  public long number() throws IOException {
    return unpacker.unpackLong();
  }

  /** Returns a whole number between two bounds, both included. */
  public int number(String place, int least, int most) throws IOException {
    return (int) number(place, (long) least, (long) most);
  }

  /** Returns a whole number between two bounds, both included. */
  public long number(String place, long least, long most) throws IOException {
    long number = unpacker.unpackLong();
    if (number < least || number > most) {
      throw new UnreadableException(place, "not from " + least + " to " + most);
    }
    return number;
  }

  /** Returns a fraction above zero, up to a bound. */
  public double positive(String place, double most) throws IOException {
    double number = unpacker.unpackDouble();
    if (!(number > 0 && number <= most)) {
      throw new UnreadableException(place, "not above 0 and up to " + most);
    }
    return number;
  }

  /** Returns a time in milliseconds, from zero to a bound. */
  public Duration millis(String place, Duration most) throws IOException {
    return Duration.ofMillis(number(place, 0L, most.toMillis()));
  }

  /** Returns the number of elements of a list that follows; each takes a byte or more. */
  public int listSize() throws IOException {
    return fitting("list", unpacker.unpackArrayHeader());
  }

  /** Returns the number of entries of a map that follows. */
  public int mapSize() throws IOException {
    return fitting("map", unpacker.unpackMapHeader());
  }

  /** Returns bytes. */
  public byte[] bytes() throws IOException {
    return unpacker.readPayload(fitting("bytes", unpacker.unpackBinaryHeader()));
  }

  private int fitting(String place, int length) {
    if (length < 0 || length > size - unpacker.getTotalReadBytes()) {
      throw new UnreadableException(place, "longer than what is left");
    }
    return length;
  }
}
