package io.hawthornlb.gateway.decode;

import static org.junit.jupiter.api.Assertions.assertTrue;

import com.sun.management.ThreadMXBean;
import java.lang.management.ManagementFactory;
import java.time.Duration;
import java.util.Arrays;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;

/**
 * Creates corrupted bytes as another writer may write them, and limits the cost of reading them.
 */
public final class ForeignBytes {

  /** Seed of the property tests, so that each build has the same result. */
  public static final String SEED = "20261203";

  /** Memory that a read may allocate for buffers, in addition to a multiple of the value's size. */
  private static final long MAX_BASE_BYTES = 1 << 20;

  private static final long MAX_BYTES_PER_BYTE = 200;

  /** Time limit for reading one value, which takes well under a millisecond. */
  private static final Duration TIME_LIMIT = Duration.ofSeconds(5);

  /** Reads values on a separate thread, so that a read that does not terminate is detected. */
  private static final ExecutorService READER =
      Executors.newSingleThreadExecutor(
          task -> {
            Thread thread = new Thread(task, "foreign-values");
            thread.setDaemon(true);
            return thread;
          });

  /** MessagePack headers that claim large lengths, and numbers at their bounds. */
  private static final byte[][] CLAIMS = {
    {(byte) 0xc6, (byte) 0x7f, (byte) 0xff, (byte) 0xff, (byte) 0xff},
    {(byte) 0xdb, (byte) 0x7f, (byte) 0xff, (byte) 0xff, (byte) 0xff},
    {(byte) 0xdd, (byte) 0x7f, (byte) 0xff, (byte) 0xff, (byte) 0xff},
    {(byte) 0xdf, (byte) 0x7f, (byte) 0xff, (byte) 0xff, (byte) 0xff},
    {(byte) 0xdd, (byte) 0xff, (byte) 0xff, (byte) 0xff, (byte) 0xff},
    {(byte) 0xd3, (byte) 0x7f, -1, -1, -1, -1, -1, -1, -1},
    {(byte) 0xd3, (byte) 0x80, 0, 0, 0, 0, 0, 0, 0},
    {(byte) 0xcb, (byte) 0x7f, (byte) 0xf8, 0, 0, 0, 0, 0, 0},
    {(byte) 0xcb, (byte) 0xff, (byte) 0xf0, 0, 0, 0, 0, 0, 0},
    {(byte) 0xa2, (byte) 0xff, (byte) 0xfe},
    {(byte) 0xc0},
    {(byte) 0xa0},
    {(byte) 0xff},
    {(byte) 0x7f}
  };

  private ForeignBytes() {}

  /** Returns a copy of valid bytes with random changes. */
  public static byte[] of(byte[] valid, Random random) {
    byte[] bytes = valid.clone();
    int changes = 1 + random.nextInt(3);
    for (int i = 0; i < changes; i++) {
      bytes = changed(bytes, random);
    }
    return bytes;
  }

  private static byte[] changed(byte[] bytes, Random random) {
    int at = random.nextInt(bytes.length + 1);
    switch (random.nextInt(5)) {
      case 0:
        return Arrays.copyOf(bytes, at);
      case 1:
        if (at < bytes.length) {
          bytes[at] = (byte) random.nextInt(256);
        }
        return bytes;
      case 2:
        byte[] noise = new byte[random.nextInt(100)];
        random.nextBytes(noise);
        return noise;
      default:
        byte[] claim = CLAIMS[random.nextInt(CLAIMS.length)];
        byte[] longer = Arrays.copyOf(bytes, Math.max(bytes.length, at + claim.length));
        System.arraycopy(claim, 0, longer, at, claim.length);
        return longer;
    }
  }

  /**
   * Reads a value within limits of time and memory; empty if it is unreadable. Any other exception
   * fails the test.
   */
  public static <T> Optional<T> read(int length, Supplier<T> decoder) {
    Future<Optional<T>> read = READER.submit(() -> readHere(length, decoder));
    try {
      return read.get(TIME_LIMIT.toMillis(), TimeUnit.MILLISECONDS);
    } catch (TimeoutException e) {
      throw new AssertionError("reading " + length + " bytes did not terminate", e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException("the test was interrupted", e);
    } catch (ExecutionException e) {
      throw new AssertionError("reading failed with an unexpected exception", e.getCause());
    }
  }

  private static <T> Optional<T> readHere(int length, Supplier<T> decoder) {
    long before = allocated();
    Optional<T> value;
    try {
      value = Optional.of(decoder.get());
    } catch (UnreadableException e) {
      assertTrue(!e.reason().isBlank() && e.getMessage().length() < 500, e.getMessage());
      value = Optional.empty();
    }
    long allocatedBytes = allocated() - before;
    assertTrue(
        allocatedBytes < MAX_BASE_BYTES + MAX_BYTES_PER_BYTE * length,
        "reading " + length + " bytes allocated " + allocatedBytes + " bytes");
    return value;
  }

  private static long allocated() {
    return ((ThreadMXBean) ManagementFactory.getThreadMXBean())
        .getThreadAllocatedBytes(Thread.currentThread().getId());
  }
}
