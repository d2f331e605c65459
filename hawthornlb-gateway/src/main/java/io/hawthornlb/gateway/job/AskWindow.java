package io.hawthornlb.gateway.job;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Lets a bounded number of a partition's items wait for slots, those that are to go first.
 *
 * <p>Load pattern: after an outage thousands of items wait, and each asks its coordinator anew
 * every two seconds in case that one is gone. 2,000 items make 3,000 datagrams a second for slots
 * that they do not get (worked out), and the coordinator answers online requests late. Now 24
 * partitions keep at most 384 waiting, as many as there are slots in a trough.
 */
final class AskWindow {

  /** Items of a partition that wait at a time; 12 partitions keep 192 waiting for 104 slots. */
  static final int MAX_ASKING = 16;

  private final List<Asker> idle = new ArrayList<>();
  private int asking;
  private boolean admitting;
  private boolean closed;

  /** An item that wants a slot. */
  interface Asker {

    /** Returns its order now; the lowest goes first. */
    long rank();

    /** Asks for a slot; {@link #left()} follows once it waits no more. */
    void ask();
  }

  /** Takes an item that wants a slot; it asks at once if there is room. */
  void enter(Asker asker) {
    idle.add(asker);
    admit();
  }

  /** Takes back an item that has not asked yet. */
  void withdraw(Asker asker) {
    idle.remove(asker);
  }

  /** Takes that an item which asked waits no more. */
  void left() {
    asking--;
    admit();
  }

  /** Lets no item ask any more. */
  void close() {
    closed = true;
    idle.clear();
  }

  /** Lets the first ones ask; an answer may come while one asks, and is taken in the same loop. */
  private void admit() {
    if (admitting || closed) {
      return;
    }
    admitting = true;
    while (asking < MAX_ASKING && !idle.isEmpty()) {
      Asker first = idle.stream().min(Comparator.comparingLong(Asker::rank)).orElseThrow();
      idle.remove(first);
      asking++;
      first.ask();
    }
    admitting = false;
  }
}
