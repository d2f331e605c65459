/** Endpoint client on the Micronaut HTTP client. */
@NullMarked
package io.hawthornlb.net.endpoint.support;

import org.jspecify.annotations.NullMarked;
