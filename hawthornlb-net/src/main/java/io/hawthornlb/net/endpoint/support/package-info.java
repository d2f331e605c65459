/** Endpoint calls over the HTTP client of the framework. */
@NullMarked
package io.hawthornlb.net.endpoint.support;

import org.jspecify.annotations.NullMarked;
