package io.hawthornlb.gateway.process;

import io.hawthornlb.gateway.http.HttpCaller;
import io.hawthornlb.gateway.store.LogStore;
import java.net.InetSocketAddress;
import java.util.function.Function;
import java.util.function.Supplier;

/**
 * Access to the log store of a platform.
 *
 * @param client creates a client that performs its calls with the given caller
 * @param address current address of the log store, for calls relayed on behalf of peers
 */
public record StoreAccess(
    Function<HttpCaller, LogStore> client, Supplier<InetSocketAddress> address) {

  /** Returns access to a log store within this process, which performs no calls. */
  public static StoreAccess local(LogStore store) {
    return new StoreAccess(caller -> store, () -> InetSocketAddress.createUnresolved("local", 0));
  }
}
