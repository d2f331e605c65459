package io.hawthornlb.gateway.slot;

/**
 * Names a request for a slot in the whole fleet.
 *
 * @param holder start of the gateway that asks
 * @param number number that the gateway gave the request
 */
public record SlotKey(String holder, long number) {

  // Written out, as in other keys: the generated ones are linked at run time, in some milliseconds.
  @Override
  public boolean equals(Object other) {
    return other instanceof SlotKey key && number == key.number && holder.equals(key.holder);
  }

  @Override
  public int hashCode() {
    return 31 * holder.hashCode() + Long.hashCode(number);
  }
}
