/** Calls to endpoints with complete or streamed responses, and their failures. */
@NullMarked
package io.hawthornlb.net.endpoint;

import org.jspecify.annotations.NullMarked;
