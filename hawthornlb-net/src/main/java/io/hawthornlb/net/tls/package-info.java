/** Authentication between peers: mutual TLS with key files, or none on loopback. */
@NullMarked
package io.hawthornlb.net.tls;

import org.jspecify.annotations.NullMarked;
