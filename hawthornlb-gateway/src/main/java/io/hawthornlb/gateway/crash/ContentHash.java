package io.hawthornlb.gateway.crash;

import com.dynatrace.hash4j.hashing.Hashing;

/** Hash by which a request is recognized when it is sent again under another id. */
public final class ContentHash {

  private ContentHash() {}

  /** Returns the hash of a request's path, with its query, and its body. */
  public static long of(String path, byte[] body) {
    return Hashing.wyhashFinal4().hashStream().putString(path).putBytes(body).getAsLong();
  }
}
