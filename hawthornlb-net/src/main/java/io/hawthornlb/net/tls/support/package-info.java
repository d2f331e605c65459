/** Implementations of peer security, which read key files and build TLS contexts. */
@NullMarked
package io.hawthornlb.net.tls.support;

import org.jspecify.annotations.NullMarked;
