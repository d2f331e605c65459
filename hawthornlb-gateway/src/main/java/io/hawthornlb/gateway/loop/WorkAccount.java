package io.hawthornlb.gateway.loop;

import io.netty.channel.Channel;
import java.util.function.LongSupplier;

/**
 * Time and number of the pieces of work of one event loop, by kind.
 *
 * <p>Always at one kind; used by the thread of the loop alone.
 */
public final class WorkAccount {

  private static final int KINDS = WorkKind.values().length;

  private final LongSupplier nanoTime;
  private final long[] nanos = new long[KINDS];
  private final long[] counts = new long[KINDS];
  private WorkKind current = WorkKind.LOOP;
  private long since;
  private long flushes;

  /** Creates an account by a steady clock in nanoseconds. */
  public WorkAccount(LongSupplier nanoTime) {
    this.nanoTime = nanoTime;
    this.since = nanoTime.getAsLong();
  }

  /** Notes that a handler has found out what kind of event its channel is being read for. */
  public static void noteKind(Channel channel, WorkKind kind) {
    if (channel.eventLoop() instanceof AccountedEventLoop loop) {
      loop.account().mark(kind);
    }
  }

  /** Notes that bytes of a channel are handed to the system. */
  public static void flushed(Channel channel) {
    if (channel.eventLoop() instanceof AccountedEventLoop loop) {
      loop.account().flushes++;
    }
  }

  /** Begins a piece of work, which ends the one before. */
  public void begin(WorkKind kind) {
    long now = nanoTime.getAsLong();
    nanos[current.ordinal()] += now - since;
    since = now;
    current = kind;
    counts[kind.ordinal()]++;
  }

  /** Takes the present piece of work for one of another kind, from its beginning. */
  public void mark(WorkKind kind) {
    if (kind != current) {
      counts[current.ordinal()]--;
      counts[kind.ordinal()]++;
      current = kind;
    }
  }

  /** Returns the time that pieces of a kind took, those that have ended. */
  public long nanos(WorkKind kind) {
    return nanos[kind.ordinal()];
  }

  /** Returns how many pieces of a kind were begun. */
  public long count(WorkKind kind) {
    return counts[kind.ordinal()];
  }

  /** Returns how often bytes were handed to the system on connections to callers. */
  public long flushes() {
    return flushes;
  }
}
