package io.hawthornlb.core.effect;

/**
 * Marker for immutable instructions of the decision core to its adapters.
 *
 * <p>The deciding classes of the core receive typed events together with the current time and
 * return effects. They own no threads, sockets or clocks.
 */
public interface Effect {}
