package io.hawthornlb.core.effect;

/**
 * Marks an immutable request of the decision core to its adapters.
 *
 * <p>Deciders take typed events together with the current time and return effects; they hold no
 * thread, socket or clock of their own.
 */
public interface Effect {}
