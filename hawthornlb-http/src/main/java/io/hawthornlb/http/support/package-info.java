/** The grammar of responses, and the handler that checks the bytes of a connection by it. */
@NullMarked
package io.hawthornlb.http.support;

import org.jspecify.annotations.NullMarked;
