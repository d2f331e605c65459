package io.hawthornlb.gateway.loop;

import io.netty.channel.Channel;
import java.util.function.LongSupplier;

/**
 * Time and number of the work items of one event loop, by kind.
 *
 * <p>The account always attributes time to exactly one kind. Only the thread of the loop may use
 * it.
 */
public final class WorkAccount {

  private static final int KINDS = WorkKind.values().length;

  private final LongSupplier nanoTime;
  private final long[] nanos = new long[KINDS];
  private final long[] counts = new long[KINDS];
  private WorkKind current = WorkKind.LOOP;
  private long since;
  private long flushes;

  /** Creates an account that uses a monotonic clock in nanoseconds. */
  public WorkAccount(LongSupplier nanoTime) {
    this.nanoTime = nanoTime;
    this.since = nanoTime.getAsLong();
  }

  /**
   * Sets the kind of the current work item once a handler has found out what its channel's event
   * is.
   */
  public static void noteKind(Channel channel, WorkKind kind) {
    if (channel.eventLoop() instanceof AccountedEventLoop loop) {
      loop.account().mark(kind);
    }
  }

  /** Counts that bytes of a channel are passed to the system. */
  public static void flushed(Channel channel) {
    if (channel.eventLoop() instanceof AccountedEventLoop loop) {
      loop.account().flushes++;
    }
  }

  /** Starts a work item, which ends the previous one. */
  public void begin(WorkKind kind) {
    long now = nanoTime.getAsLong();
    nanos[current.ordinal()] += now - since;
    since = now;
    current = kind;
    counts[kind.ordinal()]++;
  }

  /** Changes the kind of the current work item, including the time since its start. */
  public void mark(WorkKind kind) {
    if (kind != current) {
      counts[current.ordinal()]--;
      counts[kind.ordinal()]++;
      current = kind;
    }
  }

  /** Returns the total time of the completed work items of a kind in nanoseconds. */
  public long nanos(WorkKind kind) {
    return nanos[kind.ordinal()];
  }

  /** Returns the number of work items of a kind that were started. */
  public long count(WorkKind kind) {
    return counts[kind.ordinal()];
  }

  /** Returns how often bytes were passed to the system on connections to callers. */
  public long flushes() {
    return flushes;
  }
}
