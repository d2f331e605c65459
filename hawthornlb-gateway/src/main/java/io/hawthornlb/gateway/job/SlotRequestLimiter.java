package io.hawthornlb.gateway.job;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.BooleanSupplier;

/**
 * Bounds the number of a partition's items that have an open slot request. The items with the
 * lowest rank go first.
 *
 * <p>After an outage thousands of items wait, and each of them repeats its request every two
 * seconds in case its coordinator is gone. 2,000 items send 3,000 datagrams a second (a calculated
 * value) for slots that they do not get, which delays the coordinator's answers to online requests.
 * With this bound 24 partitions keep at most 384 requests open, as many as there are slots in a
 * trough.
 */
final class SlotRequestLimiter {

  /** Open slot requests of a partition; 12 partitions keep 192 requests open for 104 slots. */
  static final int MAX_REQUESTS = 16;

  private final List<Requester> waiting = new ArrayList<>();
  private final BooleanSupplier open;
  private int openRequests;
  private boolean sending;
  private boolean closed;

  /** An item that needs a slot. */
  interface Requester {

    /** Returns the current rank of the item; the lowest goes first. */
    long rank();

    /** Sends a slot request. The item calls {@link #leave()} once its request is no longer open. */
    void requestSlot();
  }

  /** Creates a limiter that sends requests at any time. */
  SlotRequestLimiter() {
    this(() -> true);
  }

  /**
   * Creates a limiter.
   *
   * @param open whether requests may be sent; {@link #resume()} must be called once they may again
   */
  SlotRequestLimiter(BooleanSupplier open) {
    this.open = open;
  }

  /** Sends the requests that waited until requests may be sent. */
  void resume() {
    sendNext();
  }

  /** Returns whether requests may be sent, and granted slots be used. */
  boolean isOpen() {
    return open.getAsBoolean();
  }

  /** Adds an item that needs a slot. Its request is sent at once if the bound allows it. */
  void enter(Requester requester) {
    waiting.add(requester);
    sendNext();
  }

  /** Removes an item whose request has not been sent. */
  void withdraw(Requester requester) {
    waiting.remove(requester);
  }

  /** Takes note that a request is no longer open, and sends the next one. */
  void leave() {
    openRequests--;
    sendNext();
  }

  /** Drops all waiting items and sends no further request. */
  void close() {
    closed = true;
    waiting.clear();
  }

  /**
   * Sends requests for the first waiting items. An answer may arrive while a request is being sent;
   * the running loop then handles it.
   */
  private void sendNext() {
    if (sending || closed || !isOpen()) {
      return;
    }
    sending = true;
    while (openRequests < MAX_REQUESTS && !waiting.isEmpty()) {
      Requester first =
          waiting.stream().min(Comparator.comparingLong(Requester::rank)).orElseThrow();
      waiting.remove(first);
      openRequests++;
      first.requestSlot();
    }
    sending = false;
  }
}
