package io.hawthornlb.core.peer;

/**
 * Marker for immutable messages between entry instances.
 *
 * <p>Implementations are records. The codec writes the registered type name before the content.
 */
public interface PeerMessage {}
