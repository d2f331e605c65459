package io.hawthornlb.gateway.slot;

/**
 * Names a request for a slot in the whole fleet.
 *
 * @param holder start of the gateway that asks
 * @param number number that the gateway gave the request
 */
public record SlotKey(String holder, long number) {}
