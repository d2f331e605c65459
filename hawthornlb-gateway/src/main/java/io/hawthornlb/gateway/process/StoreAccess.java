package io.hawthornlb.gateway.process;

import io.hawthornlb.gateway.http.HttpCaller;
import io.hawthornlb.gateway.store.LogStore;
import java.net.InetSocketAddress;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * How a platform's log is reached.
 *
 * @param client creates a client that makes its calls with a caller
 * @param address where the log is now, for calls that are made for peers
 */
public record StoreAccess(
    Function<HttpCaller, LogStore> client, Supplier<InetSocketAddress> address) {

  /** Returns the access to a log in the process itself, which makes no calls. */
  public static StoreAccess local(LogStore store) {
    return new StoreAccess(caller -> store, () -> InetSocketAddress.createUnresolved("local", 0));
  }
}
