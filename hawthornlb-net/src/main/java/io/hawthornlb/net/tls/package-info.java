/** How peers authenticate each other: mutual TLS from key files, or nothing on loopback. */
@NullMarked
package io.hawthornlb.net.tls;

import org.jspecify.annotations.NullMarked;
