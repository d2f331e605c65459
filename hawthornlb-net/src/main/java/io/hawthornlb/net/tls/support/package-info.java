/** Reads key files and builds the TLS contexts. */
@NullMarked
package io.hawthornlb.net.tls.support;

import org.jspecify.annotations.NullMarked;
