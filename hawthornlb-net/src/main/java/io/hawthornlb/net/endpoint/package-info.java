/** Calls to endpoints: whole answers, token streams and the failures of both. */
@NullMarked
package io.hawthornlb.net.endpoint;

import org.jspecify.annotations.NullMarked;
