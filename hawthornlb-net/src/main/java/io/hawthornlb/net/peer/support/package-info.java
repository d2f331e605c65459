/** Peer client and server on Netty. */
@NullMarked
package io.hawthornlb.net.peer.support;

import org.jspecify.annotations.NullMarked;
