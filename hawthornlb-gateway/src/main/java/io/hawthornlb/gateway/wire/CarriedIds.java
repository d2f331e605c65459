package io.hawthornlb.gateway.wire;

import com.dynatrace.hash4j.hashing.Hashing;
import io.netty.util.collection.LongObjectHashMap;
import org.jspecify.annotations.Nullable;

/**
 * Ids of the requests that a connection has carried.
 *
 * <p>An endpoint may send an answer a second time, late, where the next answer is expected. The
 * copy names the id of its request, so it is recognized unless the next request has the same id, as
 * further attempts at an item or at a caller's request do. A connection therefore carries each id
 * once, and an answer with the id of the waiting request is the answer to that attempt.
 */
final class CarriedIds {

  /** Number of ids after which a connection is closed; bounds the ids to 12 KiB a connection. */
  private static final int MAX_IDS = 500;

  /** The hashes of the ids. Two ids with the same hash cost a connection and do no harm. */
  private final LongObjectHashMap<Boolean> hashes = new LongObjectHashMap<>();

  /** Adds the id of a request that is about to be sent. */
  void add(@Nullable String id) {
    hashes.put(hash(id), Boolean.TRUE);
  }

  /** Returns whether the connection has carried a request with an id. */
  boolean contains(@Nullable String id) {
    return hashes.containsKey(hash(id));
  }

  /** Returns how many ids the connection has carried. */
  int size() {
    return hashes.size();
  }

  /** Returns whether the connection should carry no further request. */
  boolean full() {
    return hashes.size() >= MAX_IDS;
  }

  private static long hash(@Nullable String id) {
    return id == null ? 0 : Hashing.wyhashFinal4().hashCharsToLong(id);
  }
}
