package io.hawthornlb.gateway.slot;

/**
 * Identifies a request for a slot, unique in the fleet.
 *
 * @param holder id of the gateway process that sends the request
 * @param number number of the request at this gateway process
 */
public record SlotKey(String holder, long number) {

  // Written by hand, as in other keys, because the JVM links the generated methods at run time,
  // which takes some milliseconds.
  @Override
  public boolean equals(Object other) {
    return other instanceof SlotKey key && number == key.number && holder.equals(key.holder);
  }

  @Override
  public int hashCode() {
    return 31 * holder.hashCode() + Long.hashCode(number);
  }
}
